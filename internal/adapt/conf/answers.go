package conf

import (
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/intake"
)

// LoadPlan reads the answers of the questionnaire and generates the plan from
// them and the present configuration. The error is of type Findings and holds
// the faults of the file as well as the contradictions between the answers.
func LoadPlan(path string, present config.Snapshot) (intake.Plan, error) {
	var an intake.Answers
	de, err := decodeFile(path, &an)
	if err != nil {
		return intake.Plan{}, err
	}
	pl, finds := intake.Generate(present, an)
	faulty := len(de.finds)
	for _, fi := range finds {
		at := de.places.Find(fi.Path)
		// A value that cannot be read is reported once.
		if slices.ContainsFunc(de.finds[:faulty], func(it Finding) bool { return it.Path == fi.Path }) {
			continue
		}
		de.finds = append(de.finds, Finding{File: path, Line: at.Line, Column: at.Column, Path: fi.Path, Text: fi.Text})
	}
	if err := de.finds.asError(); err != nil {
		return intake.Plan{}, err
	}
	return pl, nil
}

// EncodeAnswers returns the answers in the form that LoadPlan reads.
func EncodeAnswers(an intake.Answers) ([]byte, error) { return yaml.Marshal(an) }
