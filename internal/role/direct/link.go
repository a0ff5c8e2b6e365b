package direct

import (
	"context"
	"log/slog"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evCongested   = meter.Event{Number: 9331, Level: slog.LevelWarn, Text: "the link of the router is congested"}
	evUncongested = meter.Event{Number: 9332, Level: slog.LevelInfo, Text: "the link of the router is no longer congested"}
)

const (
	// linkWatchInterval is the time between two looks at the link.
	linkWatchInterval = 250 * time.Millisecond
	// linkEventInterval is the shortest time between two log lines about the link.
	linkEventInterval = 2 * time.Second
)

// NewLink returns the network link of the VM, or nil if its rate is not known.
func NewLink(set conf.DirectRouter) *shed.Link {
	if set.LinkMbps <= 0 {
		return nil
	}
	return shed.NewLink(set.LinkMbps, time.Now())
}

// WithLink sets the network link of the VM. The adapters to the platform are expected to
// count their bytes on it. The default is none: nothing is refused.
func WithLink(li *shed.Link) Option { return func(ro *Router) { ro.link = li } }

// admitToLink decides on a request before its body is read.
func (ro *Router) admitToLink(ar entry.Arrival) *refuse.Refusal {
	return ro.service.Admit(ar.Info, ar.BodyLength, ar.At)
}

// congested reports whether the link of the router is congested.
func (ro *Router) congested(now time.Time) bool { return ro.link != nil && ro.link.Congested(now) }

// watchLink records the state of the link.
func (ro *Router) watchLink(ctx context.Context) {
	if ro.link == nil {
		return
	}
	tk := time.NewTicker(linkWatchInterval)
	defer tk.Stop()
	defer ro.rotation.wait()
	logged, congested := time.Time{}, false
	for {
		select {
		case <-ctx.Done():
			return
		case answers := <-ro.rotation.answers:
			ro.rotation.record(answers)
		case now := <-tk.C:
			ro.rotation.check(ctx, now)
			in, out := ro.link.Waits(now)
			ro.met.Gauge("linkWait", "direction", "in", in.Seconds())
			ro.met.Gauge("linkWait", "direction", "out", out.Seconds())
			if is := ro.link.Congested(now); is != congested && now.Sub(logged) >= linkEventInterval {
				congested, logged = is, now
				ev := evUncongested
				if is {
					ev = evCongested
				}
				ro.met.Log(ev, slog.Duration("in", in), slog.Duration("out", out))
			}
		}
	}
}
