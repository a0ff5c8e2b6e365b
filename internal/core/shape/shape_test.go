package shape_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const module = "github.com/balsamwood/balsamwood/"

// allowed lists, for each area below internal, the areas that its non-test
// files may import.
var allowed = map[string][]string{
	"core":  {"core"},
	"port":  {"core", "port"},
	"app":   {"core", "port", "app"},
	"adapt": {"core", "port", "app", "adapt"},
	"role":  {"core", "port", "app", "adapt", "role"},
	"fake":  {"core", "port", "app", "adapt", "fake"},
	"bench": {"core", "port", "app", "adapt", "role", "fake", "bench"},
}

// forbidden lists, for each area, the import path prefixes that its non-test
// files must not use, so that decisions do not depend on a transport or an
// encoding.
var forbidden = map[string][]string{
	"core": {"net", "os", "encoding/json", "google.golang.org/protobuf", "github.com/hashicorp/yamux", "github.com/labstack/echo"},
	"port": {"net", "os", "google.golang.org/protobuf", "github.com/hashicorp/yamux", "github.com/labstack/echo"},
	"app":  {"net", "os", "google.golang.org/protobuf", "github.com/hashicorp/yamux", "github.com/labstack/echo"},
}

// TestDependencyRule guards against decisions that depend on an encoding or a
// transport, and against imports from an outer area in an inner one.
func TestDependencyRule(t *testing.T) {
	var found []string
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		area, _, _ := strings.Cut(filepath.ToSlash(rel), "/")
		fi, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, im := range fi.Imports {
			if to := strings.Trim(im.Path.Value, `"`); !permitted(area, to) {
				found = append(found, rel+" imports "+to)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string(nil), found); diff != "" {
		t.Errorf("imports against the dependency rule (-want +got):\n%s", diff)
	}
}

// permitted reports whether files of the area may import the package to.
func permitted(area, to string) bool {
	if to == module+"platform" {
		// Only the command line and the benchmarks combine programs with the
		// platform.
		return area == "role" || area == "bench"
	}
	if rest, ok := strings.CutPrefix(to, module+"internal/"); ok {
		target, _, _ := strings.Cut(rest, "/")
		for _, ar := range allowed[area] {
			if ar == target {
				return true
			}
		}
		return false
	}
	for _, fo := range forbidden[area] {
		if to == fo || strings.HasPrefix(to, fo+"/") {
			return false
		}
	}
	return true
}
