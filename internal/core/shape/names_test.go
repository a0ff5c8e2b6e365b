package shape_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches names that the users' platform uses on the wire.
var platformNames = regexp.MustCompile(`\b(rows-tx|rows-get|rows-feed|blob-put|blob-get|Prompt-Prefix|Token-Counts|Attempt-Id|` +
	`Deadline-Ms|Expect-Instance|Instance-Load|Not-Executed|Request-Priority|Kv-From|Kv-Fetch|Kv-Backup|Pin-Ms|SinceRev|IfRev|` +
	`ApiKeys|Cold-Ms|ColdPerS|WarmupLeftMs|evacuate|MaxAttempts|GapAimMs|LatencyGoalMs|RouteType|PlatformStore|ContractParams|RetrySlack)\b`)

// TestPlatformNames guards against names of the users' platform in the source of
// the product outside the folder platform. Tests and the simulated services in
// internal/fake may use them.
func TestPlatformNames(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	for _, dir := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
				strings.Contains(filepath.ToSlash(path), "internal/fake/") {
				return err
			}
			data, err := os.ReadFile(path)
			if name := platformNames.Find(data); name != nil {
				t.Errorf("%s contains %s, a name of the users' platform", path, name)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
