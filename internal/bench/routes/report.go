package routes

import (
	"bytes"
	"fmt"
	"image/color"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/balsamwood/balsamwood/internal/core/route"
)

// Arms returns the arms that are compared: each policy with and without admission,
// and the default policy with preemption, with and without admission.
func Arms() []Arm {
	var out []Arm
	for _, name := range route.Names() {
		out = append(out, Arm{Policy: name}, Arm{Policy: name, Admission: true})
	}
	return append(out, Arm{Policy: route.ExpectedFinish, Preemption: true},
		Arm{Policy: route.ExpectedFinish, Admission: true, Preemption: true})
}

// RunAll runs each scenario with each arm on the same arrivals. Each run uses its
// own goroutine.
func RunAll(seed uint64) ([]Result, error) {
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	scenarios, arms := Scenarios(), Arms()
	out := make([]Result, len(scenarios)*len(arms))
	for ix := range out {
		group.Go(func() error {
			var err error
			out[ix], err = Run(scenarios[ix/len(arms)], arms[ix%len(arms)], seed)
			return err
		})
	}
	return out, group.Wait()
}

// Table renders the results as aligned text.
func Table(results []Result) string {
	var buf bytes.Buffer
	tw := tabwriter.NewWriter(&buf, 0, 0, 2, ' ', tabwriter.AlignRight)
	// Writes to a bytes.Buffer do not fail.
	_, _ = fmt.Fprintln(tw, "scenario\tarm\turgent\tnormal\tbatch\tother accounts\trefused\tfalse\tgoodput\trecovery\tcache\tp95 first\tpreempted\t")
	last := ""
	for _, re := range results {
		name := re.Scenario
		if name == last {
			name = ""
		}
		last = re.Scenario
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.2f\t%.3f\t%v\t%d\t\n",
			name, re.Arm, re.OnTime[0], re.OnTime[1], re.OnTime[2], re.OtherAccounts, re.Refused, re.FalseRefusals, re.Goodput,
			re.Recovery, re.CacheHits, re.FirstTokenP95.Round(time.Millisecond), re.Preempted)
	}
	_ = tw.Flush()
	return buf.String()
}

// barColors holds the colours of the arms. They can be told apart in greyscale
// print.
var barColors = []color.Color{
	color.RGBA{R: 0x9e, G: 0xca, B: 0xe1, A: 0xff}, color.RGBA{R: 0x42, G: 0x92, B: 0xc6, A: 0xff},
	color.RGBA{R: 0xc7, G: 0xe9, B: 0xc0, A: 0xff}, color.RGBA{R: 0x41, G: 0xab, B: 0x5d, A: 0xff},
	color.RGBA{R: 0xfd, G: 0xd0, B: 0xa2, A: 0xff}, color.RGBA{R: 0xe6, G: 0x55, B: 0x0d, A: 0xff},
	color.RGBA{R: 0xbd, G: 0xbd, B: 0xbd, A: 0xff}, color.RGBA{R: 0x63, G: 0x63, B: 0x63, A: 0xff},
}

// Plot renders the on-time share of urgent requests as bars, in a format of
// gonum plot such as "svg" or "png".
func Plot(results []Result, format string) ([]byte, error) {
	pl := plot.New()
	pl.Title.Text = "Urgent requests served in time"
	pl.Y.Label.Text = "share"
	// The space above 1 is for the legend.
	pl.Y.Min, pl.Y.Max = 0, 1.7
	pl.Legend.Top = true
	values, scenarios := valuesByArm(results)
	const width = 9
	for ix, ar := range Arms() {
		ba, err := plotter.NewBarChart(values[ar], vg.Points(width))
		if err != nil {
			return nil, fmt.Errorf("bars of %s: %w", ar, err)
		}
		ba.Color, ba.LineStyle.Width = barColors[ix%len(barColors)], 0
		ba.Offset = vg.Points(width * (float64(ix) - float64(len(Arms())-1)/2))
		pl.Add(ba)
		pl.Legend.Add(ar.String(), ba)
	}
	pl.NominalX(scenarios...)
	wt, err := pl.WriterTo(vg.Points(110*float64(len(scenarios))), vg.Points(320), format)
	if err != nil {
		return nil, fmt.Errorf("plot as %s: %w", format, err)
	}
	var buf bytes.Buffer
	if _, err := wt.WriteTo(&buf); err != nil {
		return nil, fmt.Errorf("plot as %s: %w", format, err)
	}
	return buf.Bytes(), nil
}

// valuesByArm returns the values of each arm in the order of the scenarios.
func valuesByArm(results []Result) (map[Arm]plotter.Values, []string) {
	values := make(map[Arm]plotter.Values)
	var scenarios []string
	for _, re := range results {
		if len(scenarios) == 0 || scenarios[len(scenarios)-1] != re.Scenario {
			scenarios = append(scenarios, re.Scenario)
		}
		values[re.Arm] = append(values[re.Arm], re.OnTime[0])
	}
	return values, scenarios
}

// FormatReasons renders the numbers of refusals and time-outs by reason as text.
func FormatReasons(re Result) string {
	var out []string
	for _, reason := range sortedReasons(re) {
		out = append(out, fmt.Sprintf("%s %d", reason, re.Reasons[reason]))
	}
	return strings.Join(out, ", ")
}
