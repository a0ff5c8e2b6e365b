package conf

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// checker is implemented by settings with rules that span several keys.
type checker interface {
	check(report func(path, format string, args ...any))
}

// decoder fills values from YAML nodes and collects findings. Fields are named
// by the tag `yaml` and constrained by the tag `rule`.
type decoder struct {
	file   string
	finds  Findings
	places Places
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	syntaxLine   = regexp.MustCompile(`line (\d+)`)
)

// decodeFile fills into from the file at path. Values that are set before the
// call are defaults.
func decodeFile(path string, into any) (*decoder, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Findings{{File: path, Line: 1, Column: 1, Text: err.Error()}}
	}
	de := &decoder{file: path, places: Places{}}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		line := 1
		if ma := syntaxLine.FindStringSubmatch(err.Error()); ma != nil {
			line, _ = strconv.Atoi(ma[1])
		}
		return nil, Findings{{File: path, Line: line, Column: 1, Text: err.Error()}}
	}
	root := &yaml.Node{Kind: yaml.MappingNode, Line: 1, Column: 1}
	if len(doc.Content) > 0 {
		root = doc.Content[0]
	}
	de.value(root, reflect.ValueOf(into).Elem(), rules{}, "")
	return de, nil
}

func (de *decoder) report(no *yaml.Node, path, format string, args ...any) {
	de.finds = append(de.finds, Finding{
		File: de.file, Line: no.Line, Column: no.Column, Path: path,
		Text: fmt.Sprintf(format, args...),
	})
}

func (de *decoder) value(no *yaml.Node, va reflect.Value, ru rules, path string) {
	de.places[path] = Place{Line: no.Line, Column: no.Column}
	switch {
	case no.Kind == yaml.AliasNode:
		de.report(no, path, "aliases are not supported")
	case va.Type() == durationType:
		de.duration(no, va, ru, path)
	case va.Kind() == reflect.Struct:
		de.mapping(no, va, path)
	case va.Kind() == reflect.Slice:
		de.sequence(no, va, ru, path)
	default:
		de.scalar(no, va, ru, path)
	}
}

func (de *decoder) mapping(no *yaml.Node, va reflect.Value, path string) {
	if no.Kind != yaml.MappingNode && no.Tag != "!!null" {
		de.report(no, path, "want a mapping, got %s", describe(no))
		return
	}
	before := len(de.finds)
	seen := map[string]bool{}
	for ix := 0; ix+1 < len(no.Content); ix += 2 {
		key, val := no.Content[ix], no.Content[ix+1]
		at := join(path, key.Value)
		fd, ok := fieldNamed(va.Type(), key.Value)
		switch {
		case seen[key.Value]:
			de.report(key, at, "duplicate key")
		case !ok:
			de.report(key, at, "unknown key%s", suggestion(key.Value, fieldNames(va.Type())))
		default:
			de.value(val, va.FieldByIndex(fd.Index), parseRules(fd), at)
		}
		seen[key.Value] = true
	}
	for _, name := range fieldNames(va.Type()) {
		fd, _ := fieldNamed(va.Type(), name)
		if !seen[name] && parseRules(fd).required {
			de.report(no, join(path, name), "missing key")
		}
	}
	// Rules that span keys would only repeat findings about single keys.
	if ch, ok := va.Addr().Interface().(checker); ok && len(de.finds) == before {
		ch.check(func(sub, format string, args ...any) {
			pl := de.places.Find(join(path, sub))
			if path == "" && sub == "" || pl == (Place{1, 1}) {
				pl = Place{no.Line, no.Column}
			}
			de.report(&yaml.Node{Line: pl.Line, Column: pl.Column}, join(path, sub), format, args...)
		})
	}
}

func (de *decoder) sequence(no *yaml.Node, va reflect.Value, ru rules, path string) {
	if no.Kind != yaml.SequenceNode {
		de.report(no, path, "want a list, got %s", describe(no))
		return
	}
	if ru.required && len(no.Content) == 0 {
		de.report(no, path, "the list is empty")
	}
	out := reflect.MakeSlice(va.Type(), len(no.Content), len(no.Content))
	for ix, it := range no.Content {
		de.value(it, out.Index(ix), ru, fmt.Sprintf("%s[%d]", path, ix))
	}
	va.Set(out)
}

func (de *decoder) duration(no *yaml.Node, va reflect.Value, ru rules, path string) {
	du, err := time.ParseDuration(no.Value)
	if no.Kind != yaml.ScalarNode || err != nil {
		de.report(no, path, "want a duration such as 2s, got %s", describe(no))
		return
	}
	if text := ru.checkDuration(du); text != "" {
		de.report(no, path, "%s", text)
		return
	}
	va.SetInt(int64(du))
}

func (de *decoder) scalar(no *yaml.Node, va reflect.Value, ru rules, path string) {
	if no.Kind != yaml.ScalarNode || no.Tag == "!!null" {
		de.report(no, path, "want %s, got %s", wanted(va.Kind()), describe(no))
		return
	}
	var err error
	switch va.Kind() {
	case reflect.String:
		// Plain scalars that YAML reads as numbers are names as well.
		va.SetString(no.Value)
	case reflect.Bool, reflect.Int, reflect.Int64, reflect.Float64:
		err = no.Decode(va.Addr().Interface())
	default:
		err = fmt.Errorf("unsupported type %s", va.Type())
	}
	if err != nil {
		de.report(no, path, "want %s, got %s", wanted(va.Kind()), describe(no))
		return
	}
	if text := ru.check(va); text != "" {
		de.report(no, path, "%s", text)
	}
}

func join(path, name string) string {
	if path == "" || name == "" {
		return path + name
	}
	return path + "." + name
}

func describe(no *yaml.Node) string {
	switch {
	case no.Kind == yaml.MappingNode:
		return "a mapping"
	case no.Kind == yaml.SequenceNode:
		return "a list"
	case no.Tag == "!!null":
		return "no value"
	default:
		return strconv.Quote(no.Value)
	}
}

func wanted(ki reflect.Kind) string {
	switch ki {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}
