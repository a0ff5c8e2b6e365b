package conf

import (
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/intake"
)

// LoadPlan reads the answers of the questionnaire and generates the plan from
// them and the current configuration. The error is of type Findings and contains
// both the errors of the file and the contradictions between the answers.
func LoadPlan(path string, present config.Snapshot) (intake.Plan, error) {
	var an intake.Answers
	de, err := decodeFile(path, &an)
	if err != nil {
		return intake.Plan{}, err
	}
	pl, findings := intake.Generate(present, an)
	decodeFindings := len(de.findings)
	for _, fi := range findings {
		pos := de.positions.Find(fi.Path)
		// A value that could not be decoded is reported only once.
		if slices.ContainsFunc(de.findings[:decodeFindings], func(it Finding) bool { return it.Path == fi.Path }) {
			continue
		}
		de.findings = append(de.findings, Finding{File: path, Line: pos.Line, Column: pos.Column, Path: fi.Path, Text: fi.Text})
	}
	if err := de.findings.asError(); err != nil {
		return intake.Plan{}, err
	}
	return pl, nil
}

// EncodeAnswers returns the answers in the format that LoadPlan reads.
func EncodeAnswers(an intake.Answers) ([]byte, error) { return yaml.Marshal(an) }
