package cmdln

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/intake"
)

// answersFileMode lets only the owner read the answers file, because it names
// addresses of the fleet.
const answersFileMode = 0o600

type intakeCmd struct {
	File    string `arg:"" type:"path" help:"Answers of the questionnaire in YAML."`
	Ask     bool   `help:"Ask the questions here and write the answers to FILE, which must not exist."`
	Present string `type:"existingfile" help:"Present configuration as a JSON document. Its API keys are kept, and the difference to it is shown."`
	JSON    bool   `name:"json" help:"Print only the configuration, as a JSON document."`
}

// Run generates the configuration from the answers to the questionnaire.
func (ic intakeCmd) Run(en *env) error {
	present, err := ic.loadPresent()
	if err != nil {
		return err
	}
	if ic.Ask {
		if err := ic.askQuestions(en); err != nil {
			return err
		}
	}
	pl, err := conf.LoadPlan(ic.File, present)
	if err != nil {
		return errs.Config.Wrap(err, "%s", ic.File)
	}
	doc, err := codec.Config{}.Encode(pl.Snapshot)
	if err != nil {
		return errs.Internal.Wrap(err, "encode")
	}
	if ic.JSON {
		_, err = fmt.Fprintf(en.out, "%s\n", doc)
		return err
	}
	var tree any
	if err := json.Unmarshal(doc, &tree); err != nil {
		return errs.Internal.Wrap(err, "indent")
	}
	text, err := json.MarshalIndent(tree, "", "  ")
	if err != nil {
		return errs.Internal.Wrap(err, "indent")
	}
	_, err = fmt.Fprintf(en.out, "Configuration:\n%s\n%s", text, describe(pl, config.Diff(present, pl.Snapshot)))
	return err
}

// loadPresent reads the present configuration. It returns an empty one if no file
// is given.
func (ic intakeCmd) loadPresent() (config.Snapshot, error) {
	if ic.Present == "" {
		return config.Snapshot{}, nil
	}
	data, err := os.ReadFile(ic.Present)
	if err != nil {
		return config.Snapshot{}, errs.Usage.Wrap(err, "--present")
	}
	sn, err := codec.Config{}.Decode(data)
	if err != nil {
		return config.Snapshot{}, errs.Config.Wrap(err, "%s", ic.Present)
	}
	return sn, nil
}

// askQuestions asks the questions and writes the answers to the file.
func (ic intakeCmd) askQuestions(en *env) (err error) {
	// The file is opened first, so that a wrong path does not cost the answers.
	fi, err := os.OpenFile(ic.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, answersFileMode)
	if err != nil {
		return errs.Usage.Wrap(err, "%s", ic.File)
	}
	an, err := conf.AskQuestions(en.in, en.out)
	if err != nil {
		return errs.Usage.Wrap(errors.Join(err, fi.Close(), os.Remove(ic.File)), "the answers are not complete")
	}
	data, err := conf.EncodeAnswers(an)
	if err == nil {
		_, err = fi.Write(data)
	}
	if err = errors.Join(err, fi.Close()); err != nil {
		return errs.Internal.Wrap(err, "%s", ic.File)
	}
	_, err = io.WriteString(en.out, "\n")
	return err
}

// describe explains the plan in plain text.
func describe(pl intake.Plan, changes []config.Change) string {
	var sb strings.Builder
	sb.WriteString("\nProposed monthly top-ups:\n")
	for _, to := range pl.TopUps {
		_, _ = fmt.Fprintf(&sb, "  %s: %d tokens\n", to.Budget, to.Tokens)
	}
	sb.WriteString("\nHow requests are sent:\n")
	for _, ad := range pl.Advice {
		key := ""
		if ad.NeedsKey {
			key = ", with an idempotency key of its own for each request"
		}
		_, _ = fmt.Fprintf(&sb, "  %s: class %s%s\n", ad.Work, ad.Class, key)
	}
	sb.WriteString("\nWhy:\n")
	for _, re := range pl.Reasons {
		_, _ = fmt.Fprintf(&sb, "  %s: %s (answer %s)\n", re.Value, re.Text, re.Answer)
	}
	sb.WriteString("\nDifference to the present configuration:\n")
	for _, ch := range changes {
		_, _ = fmt.Fprintf(&sb, "  %s\n", ch)
	}
	if len(changes) == 0 {
		sb.WriteString("  none\n")
	}
	return sb.String()
}
