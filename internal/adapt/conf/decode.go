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

// checker is implemented by settings with rules that involve several keys.
type checker interface {
	check(report func(path, format string, args ...any))
}

// decoder decodes YAML nodes into values and collects findings. The tag `yaml` of
// a field holds its key, the tag `rule` its constraints.
type decoder struct {
	file      string
	findings  Findings
	positions Positions
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	syntaxLine   = regexp.MustCompile(`line (\d+)`)
)

// decodeFile decodes the file at path into target. Values that target has before
// the call are the defaults.
func decodeFile(path string, target any) (*decoder, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Findings{{File: path, Line: 1, Column: 1, Text: err.Error()}}
	}
	de := &decoder{file: path, positions: Positions{}}
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
	de.value(root, reflect.ValueOf(target).Elem(), rules{}, "")
	return de, nil
}

func (de *decoder) report(no *yaml.Node, path, format string, args ...any) {
	de.findings = append(de.findings, Finding{
		File: de.file, Line: no.Line, Column: no.Column, Path: path,
		Text: fmt.Sprintf(format, args...),
	})
}

func (de *decoder) value(no *yaml.Node, va reflect.Value, ru rules, path string) {
	de.positions[path] = Position{Line: no.Line, Column: no.Column}
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
		de.report(no, path, "want a mapping, got %s", describeNode(no))
		return
	}
	earlierFindings := len(de.findings)
	seen := map[string]bool{}
	for ix := 0; ix+1 < len(no.Content); ix += 2 {
		key, val := no.Content[ix], no.Content[ix+1]
		keyPath := joinPath(path, key.Value)
		fd, ok := fieldByKey(va.Type(), key.Value)
		switch {
		case seen[key.Value]:
			de.report(key, keyPath, "duplicate key")
		case !ok:
			de.report(key, keyPath, "unknown key%s", suggestion(key.Value, keysOf(va.Type())))
		default:
			de.value(val, va.FieldByIndex(fd.Index), parseRules(fd), keyPath)
		}
		seen[key.Value] = true
	}
	for _, name := range keysOf(va.Type()) {
		fd, _ := fieldByKey(va.Type(), name)
		if !seen[name] && parseRules(fd).required {
			de.report(no, joinPath(path, name), "missing key")
		}
	}
	// Rules that involve several keys are skipped after findings about single
	// keys, because they would report the same errors again.
	if ch, ok := va.Addr().Interface().(checker); ok && len(de.findings) == earlierFindings {
		ch.check(func(sub, format string, args ...any) {
			pos := de.positions.Find(joinPath(path, sub))
			if path == "" && sub == "" || pos == (Position{1, 1}) {
				pos = Position{no.Line, no.Column}
			}
			de.report(&yaml.Node{Line: pos.Line, Column: pos.Column}, joinPath(path, sub), format, args...)
		})
	}
}

func (de *decoder) sequence(no *yaml.Node, va reflect.Value, ru rules, path string) {
	if no.Kind != yaml.SequenceNode {
		de.report(no, path, "want a list, got %s", describeNode(no))
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
		de.report(no, path, "want a duration such as 2s, got %s", describeNode(no))
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
		de.report(no, path, "want %s, got %s", describeKind(va.Kind()), describeNode(no))
		return
	}
	var err error
	switch va.Kind() {
	case reflect.String:
		// A plain scalar is accepted as a string also if YAML resolves it to
		// a number.
		va.SetString(no.Value)
	case reflect.Bool, reflect.Int, reflect.Int64, reflect.Float64:
		err = no.Decode(va.Addr().Interface())
	default:
		err = fmt.Errorf("unsupported type %s", va.Type())
	}
	if err != nil {
		de.report(no, path, "want %s, got %s", describeKind(va.Kind()), describeNode(no))
		return
	}
	if text := ru.check(va); text != "" {
		de.report(no, path, "%s", text)
	}
}

func joinPath(path, name string) string {
	if path == "" || name == "" {
		return path + name
	}
	return path + "." + name
}

// describeNode returns the actual value for a message.
func describeNode(no *yaml.Node) string {
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

// describeKind returns the expected kind of value for a message.
func describeKind(ki reflect.Kind) string {
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
