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

// place is where an event is declared; number is empty if it is no literal.
type place struct{ number, at string }

// TestCatalogue guards against two events with one number and against events
// that operators cannot look up in docs/events.md.
func TestCatalogue(t *testing.T) {
	listed := catalogue(t)
	seen := map[string]string{}
	for _, pl := range declared(t, "../../..") {
		switch {
		case pl.number == "":
			t.Errorf("%s: the number of the event is not a literal", pl.at)
		case seen[pl.number] != "":
			t.Errorf("%s: event %s is also declared at %s", pl.at, pl.number, seen[pl.number])
		case !listed[pl.number]:
			t.Errorf("%s: event %s is not in docs/events.md", pl.at, pl.number)
		}
		seen[pl.number] = pl.at
	}
	for number := range listed {
		if seen[number] == "" {
			t.Errorf("docs/events.md lists event %s, which no source file declares", number)
		}
	}
}

// TestCatalogueSeesFaults guards against a scan that overlooks declarations.
func TestCatalogueSeesFaults(t *testing.T) {
	src := `package x
import "m/meter"
var a = meter.Event{Number: 1001, Text: "a"}
var b = []meter.Event{{1002, 0, "b"}, {Number: n}}`
	got := events(t, "x.go", src)
	if len(got) != 3 || got[0].number != "1001" || got[1].number != "1002" || got[2].number != "" {
		t.Errorf("events are %v", got)
	}
}

func catalogue(t *testing.T) map[string]bool {
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

func declared(t *testing.T, root string) []place {
	t.Helper()
	var out []place
	for _, dir := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			out = append(out, events(t, path, nil)...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func events(t *testing.T, path string, src any) []place {
	t.Helper()
	fset := token.NewFileSet()
	fi, err := parser.ParseFile(fset, path, src, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []place
	ast.Inspect(fi, func(no ast.Node) bool {
		li, ok := no.(*ast.CompositeLit)
		if !ok {
			return true
		}
		if isEvent(li.Type) {
			out = append(out, place{number(li), fset.Position(li.Pos()).String()})
		}
		if ar, ok := li.Type.(*ast.ArrayType); ok && isEvent(ar.Elt) {
			for _, el := range li.Elts {
				if in, ok := el.(*ast.CompositeLit); ok && in.Type == nil {
					out = append(out, place{number(in), fset.Position(in.Pos()).String()})
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

func number(li *ast.CompositeLit) string {
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
