package logs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// declaration is the declaration of an event. number is empty if it is not a
// literal.
type declaration struct{ number, position string }

// TestCatalogue guards against two events with one number and against events
// that operators cannot look up in docs/events.md.
func TestCatalogue(t *testing.T) {
	listed := listedEvents(t)
	seen := map[string]string{}
	for _, de := range declaredEvents(t, "../../..") {
		switch {
		case de.number == "":
			t.Errorf("%s: the number of the event is not a literal", de.position)
		case seen[de.number] != "":
			t.Errorf("%s: event %s is also declared at %s", de.position, de.number, seen[de.number])
		case !listed[de.number]:
			t.Errorf("%s: event %s is not in docs/events.md", de.position, de.number)
		}
		seen[de.number] = de.position
	}
	for number := range listed {
		if seen[number] == "" {
			t.Errorf("docs/events.md lists event %s, which no source file declares", number)
		}
	}
}

// TestCatalogueFindsDeclarations guards against a scan of the source that misses
// declarations.
func TestCatalogueFindsDeclarations(t *testing.T) {
	src := `package x
import "m/meter"
var a = meter.Event{Number: 1001, Text: "a"}
var b = []meter.Event{{1002, 0, "b"}, {Number: n}}`
	got := parseEvents(t, "x.go", src)
	if len(got) != 3 || got[0].number != "1001" || got[1].number != "1002" || got[2].number != "" {
		t.Errorf("events are %v", got)
	}
}

// listedEvents returns the numbers of the events in docs/events.md.
func listedEvents(t *testing.T) map[string]bool {
	t.Helper()
	data, err := os.ReadFile("../../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, ma := range regexp.MustCompile(`(?m)^\| (\d{4}) \|`).FindAllStringSubmatch(string(data), -1) {
		if listed[ma[1]] {
			t.Errorf("docs/events.md lists event %s twice", ma[1])
		}
		listed[ma[1]] = true
	}
	return listed
}

// declaredEvents returns the event declarations in the source below root.
func declaredEvents(t *testing.T, root string) []declaration {
	t.Helper()
	var out []declaration
	for _, dir := range []string{"internal", "cmd", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			out = append(out, parseEvents(t, path, nil)...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// parseEvents returns the event declarations in one source file.
func parseEvents(t *testing.T, path string, src any) []declaration {
	t.Helper()
	fset := token.NewFileSet()
	fi, err := parser.ParseFile(fset, path, src, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []declaration
	ast.Inspect(fi, func(no ast.Node) bool {
		li, ok := no.(*ast.CompositeLit)
		if !ok {
			return true
		}
		if isEvent(li.Type) {
			out = append(out, declaration{eventNumber(li), fset.Position(li.Pos()).String()})
		}
		if ar, ok := li.Type.(*ast.ArrayType); ok && isEvent(ar.Elt) {
			for _, el := range li.Elts {
				if in, ok := el.(*ast.CompositeLit); ok && in.Type == nil {
					out = append(out, declaration{eventNumber(in), fset.Position(in.Pos()).String()})
				}
			}
		}
		return true
	})
	return out
}

func isEvent(ex ast.Expr) bool {
	se, ok := ex.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	pa, ok := se.X.(*ast.Ident)
	return ok && pa.Name == "meter" && se.Sel.Name == "Event"
}

// eventNumber returns the literal number of the event, or an empty string.
func eventNumber(li *ast.CompositeLit) string {
	for ix, el := range li.Elts {
		if kv, ok := el.(*ast.KeyValueExpr); ok {
			if key, ok := kv.Key.(*ast.Ident); !ok || key.Name != "Number" {
				continue
			}
			el = kv.Value
		} else if ix > 0 {
			continue
		}
		if ba, ok := el.(*ast.BasicLit); ok && ba.Kind == token.INT {
			return ba.Value
		}
	}
	return ""
}
