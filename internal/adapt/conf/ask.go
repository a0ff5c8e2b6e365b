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

// asker asks for the values of fields with the tag `ask`.
type asker struct {
	in  *bufio.Scanner
	out io.Writer
}

// Ask asks the questions of the questionnaire one after the other. A wrong
// answer is asked again. It ends with io.ErrUnexpectedEOF when the answers end
// too early.
func Ask(in io.Reader, out io.Writer) (intake.Answers, error) {
	as := &asker{in: bufio.NewScanner(in), out: out}
	var an intake.Answers
	if err := as.mapping(reflect.ValueOf(&an).Elem(), ""); err != nil {
		return intake.Answers{}, err
	}
	return an, nil
}

func (as *asker) line(format string, args ...any) (string, error) {
	if _, err := fmt.Fprintf(as.out, format, args...); err != nil {
		return "", err
	}
	if !as.in.Scan() {
		if err := as.in.Err(); err != nil {
			return "", err
		}
		return "", io.ErrUnexpectedEOF
	}
	return strings.TrimSpace(as.in.Text()), nil
}

// mapping asks for the fields of a struct. first is the answer to the first
// question when that was asked already.
func (as *asker) mapping(va reflect.Value, first string) error {
	for fd := range fields(va.Type()) {
		if !applies(va, fd) {
			continue
		}
		fv := va.FieldByIndex(fd.Index)
		if first != "" {
			fv.SetString(first)
			first = ""
			continue
		}
		if err := as.field(fv, fd); err != nil {
			return err
		}
	}
	return nil
}

// applies reports whether the question is asked for this kind of work.
func applies(va reflect.Value, fd reflect.StructField) bool {
	when := fd.Tag.Get("when")
	return when == "" || slices.Contains(strings.Split(when, "|"), va.FieldByName("Kind").String())
}

func (as *asker) field(va reflect.Value, fd reflect.StructField) error {
	if va.Kind() == reflect.Slice && va.Type().Elem().Kind() == reflect.Struct {
		return as.list(va, fd)
	}
	for {
		text, err := as.line("%s%s ", fd.Tag.Get("ask"), hint(va, parseRules(fd)))
		if err != nil {
			return err
		}
		fault := fill(va, text, parseRules(fd))
		if fault == "" {
			return nil
		}
		if _, err := fmt.Fprintln(as.out, "  "+fault); err != nil {
			return err
		}
	}
}

// list asks for items until the answer to the first question is empty.
func (as *asker) list(va reflect.Value, fd reflect.StructField) error {
	if _, err := fmt.Fprintln(as.out, "\n"+fd.Tag.Get("ask")); err != nil {
		return err
	}
	item := va.Type().Elem()
	var head reflect.StructField
	for first := range fields(item) {
		head = first
		break
	}
	for {
		text, err := as.line("%s (empty: no more) ", head.Tag.Get("ask"))
		if err != nil {
			return err
		}
		switch {
		case text != "":
			nv := reflect.New(item).Elem()
			if err := as.mapping(nv, text); err != nil {
				return err
			}
			va.Set(reflect.Append(va, nv))
		case parseRules(fd).required && va.Len() == 0:
			if _, err := fmt.Fprintln(as.out, "  at least one is needed"); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func hint(va reflect.Value, ru rules) string {
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

// fill sets the value from the text, or returns what is wrong with it.
func fill(va reflect.Value, text string, ru rules) string {
	if text == "" {
		if ru.required {
			return "an answer is needed"
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
