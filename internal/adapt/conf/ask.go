package conf

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/intake"
)

// prompter asks for the values of the fields of a struct. The tag `ask` of a field
// holds its question.
type prompter struct {
	in  *bufio.Scanner
	out io.Writer
}

// AskQuestions asks the questions of the questionnaire on out and reads the
// answers from in. It repeats a question after an invalid answer. If the input
// ends early, it returns io.ErrUnexpectedEOF.
func AskQuestions(in io.Reader, out io.Writer) (intake.Answers, error) {
	pr := &prompter{in: bufio.NewScanner(in), out: out}
	var an intake.Answers
	if err := pr.askStruct(reflect.ValueOf(&an).Elem(), ""); err != nil {
		return intake.Answers{}, err
	}
	return an, nil
}

// askLine writes a question and reads one line.
func (pr *prompter) askLine(format string, args ...any) (string, error) {
	if _, err := fmt.Fprintf(pr.out, format, args...); err != nil {
		return "", err
	}
	if !pr.in.Scan() {
		if err := pr.in.Err(); err != nil {
			return "", err
		}
		return "", io.ErrUnexpectedEOF
	}
	return strings.TrimSpace(pr.in.Text()), nil
}

// askStruct asks for the fields of a struct. firstAnswer is the value of the first
// field if that question was already asked.
func (pr *prompter) askStruct(va reflect.Value, firstAnswer string) error {
	for fd := range keyedFields(va.Type()) {
		if !applies(va, fd) {
			continue
		}
		fv := va.FieldByIndex(fd.Index)
		if firstAnswer != "" {
			fv.SetString(firstAnswer)
			firstAnswer = ""
			continue
		}
		if err := pr.askField(fv, fd); err != nil {
			return err
		}
	}
	return nil
}

// applies reports whether the question is asked for the kind of work, which the
// tag `when` of the field restricts.
func applies(va reflect.Value, fd reflect.StructField) bool {
	when := fd.Tag.Get("when")
	return when == "" || slices.Contains(strings.Split(when, "|"), va.FieldByName("Kind").String())
}

// askField asks for one value until the answer is valid.
func (pr *prompter) askField(va reflect.Value, fd reflect.StructField) error {
	if va.Kind() == reflect.Slice && va.Type().Elem().Kind() == reflect.Struct {
		return pr.askList(va, fd)
	}
	for {
		text, err := pr.askLine("%s%s ", fd.Tag.Get("ask"), formatHint(va, parseRules(fd)))
		if err != nil {
			return err
		}
		fault := setValue(va, text, parseRules(fd))
		if fault == "" {
			return nil
		}
		if _, err := fmt.Fprintln(pr.out, "  "+fault); err != nil {
			return err
		}
	}
}

// askList asks for the items of a list until the answer to the first question of
// an item is empty.
func (pr *prompter) askList(va reflect.Value, fd reflect.StructField) error {
	if _, err := fmt.Fprintln(pr.out, "\n"+fd.Tag.Get("ask")); err != nil {
		return err
	}
	item := va.Type().Elem()
	var firstField reflect.StructField
	for first := range keyedFields(item) {
		firstField = first
		break
	}
	for {
		text, err := pr.askLine("%s (empty: no more) ", firstField.Tag.Get("ask"))
		if err != nil {
			return err
		}
		switch {
		case text != "":
			nv := reflect.New(item).Elem()
			if err := pr.askStruct(nv, text); err != nil {
				return err
			}
			va.Set(reflect.Append(va, nv))
		case parseRules(fd).required && va.Len() == 0:
			if _, err := fmt.Fprintln(pr.out, "  at least one is required"); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// formatHint returns the text that tells which answers are accepted.
func formatHint(va reflect.Value, ru rules) string {
	switch {
	case len(ru.oneof) > 0:
		return " [" + strings.Join(ru.oneof, ", ") + "]"
	case va.Kind() == reflect.Bool:
		return " [yes, no]"
	case va.Kind() == reflect.Slice:
		return " (separated by commas)"
	default:
		return ""
	}
}

// setValue sets the value from the text. It returns what is wrong with the text,
// or an empty string.
func setValue(va reflect.Value, text string, ru rules) string {
	if text == "" {
		if ru.required {
			return "an answer is required"
		}
		return ""
	}
	switch va.Kind() {
	case reflect.Bool:
		if text != "yes" && text != "no" {
			return "want yes or no"
		}
		va.SetBool(text == "yes")
	case reflect.Int, reflect.Int64:
		num, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 10, 64)
		if err != nil {
			return "want an integer"
		}
		va.SetInt(num)
	case reflect.Slice:
		for part := range strings.SplitSeq(text, ",") {
			it := reflect.New(va.Type().Elem()).Elem()
			it.SetString(strings.TrimSpace(part))
			va.Set(reflect.Append(va, it))
		}
	default:
		va.SetString(text)
	}
	return ru.check(va)
}
