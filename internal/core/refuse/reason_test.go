package refuse_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// TestReasonsDocumented guards against a reason that is missing from the
// operators' page or listed under the wrong outcome.
func TestReasonsDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "outcomes.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, re := range refuse.All() {
		_, section, _ := strings.Cut(string(page), "## Reasons with the outcome "+string(re.Outcome()))
		section, _, _ = strings.Cut(section, "\n## ")
		if !strings.Contains(section, "\n| `"+string(re)+"` |") {
			t.Errorf("%s is not listed under %s", re, re.Outcome())
		}
	}
}
