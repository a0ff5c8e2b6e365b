package cmdln_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/role/cmdln"
)

const sejinAnswers = "../../../docs/examples/sejin.yaml"

// run runs a command and returns the exit code and both outputs.
func run(t *testing.T, in string, args ...string) (int, string, string) {
	t.Helper()
	var out, errOut strings.Builder
	code := cmdln.Main(t.Context(), args, strings.NewReader(in), &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestIntakePresent guards against a printed difference that omits a change, and
// against a generated configuration without the present API keys.
func TestIntakePresent(t *testing.T) {
	code, doc, msg := run(t, "", "intake", "--json", sejinAnswers)
	if code != errs.ExitOK {
		t.Fatal(msg)
	}
	sn, err := codec.Config{}.Decode([]byte(doc))
	if err != nil {
		t.Fatal(err)
	}
	ac, _ := sn.Account("harbour")
	sn = sn.WithAccount(ac.WithKey(config.HashAPIKey("k")).WithoutBudget("roll-call")).WithRevision(4, "ann")
	data, _ := codec.Config{}.Encode(sn.WithoutUpstream("engine-07"))
	path := filepath.Join(t.TempDir(), "present.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	_, out, _ := run(t, "", "intake", "--present", path, sejinAnswers)
	_, got, _ := strings.Cut(out, "Difference to the present configuration:\n")
	want := "  account harbour budgets: attendance-summary, door-question, voucher-issue -> " +
		"attendance-summary, door-question, roll-call, voucher-issue\n  upstream engine-07 added\n"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("difference (-want +got):\n%s", diff)
	}
}

const questionnaireInput = `refusal
ask
poem
question
atOnce
m
1_000

e1
v1
fd-1
nowhere
10.0.0.1:7443
m, n
maybe
yes
e2
v2
fd-2
10.0.0.2:7443
m
no


desk

ask
500
30


`

// TestIntakeAsk guards against an answers file that the command cannot read back,
// against contradictory answers that are reported without their place in the file
// or with a wrong exit code, and against an incomplete file that is left behind.
func TestIntakeAsk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "answers.yaml")
	code, out, msg := run(t, questionnaireInput, "intake", "--ask", path)
	if code != errs.ExitConfig || !strings.Contains(msg, path+":27:") ||
		!strings.Contains(msg, "teams[0].uses[0].perMonth: 500 tokens per month do not pay for one request, which may need 1000") {
		t.Errorf("exit code %d, %s", code, msg)
	}
	for _, text := range []string{"want one of question, draft", `want ip:port, got "nowhere"`, "want yes or no"} {
		if !strings.Contains(out, text) {
			t.Errorf("the question was not asked again with %q after a wrong answer", text)
		}
	}
	fixed, _ := os.ReadFile(path)
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(string(fixed), "perMonth: 500", "perMonth: 5000")), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, msg := run(t, "", "intake", path); code != errs.ExitOK {
		t.Errorf("exit code %d, %s", code, msg)
	}
	if code, _, _ := run(t, questionnaireInput, "intake", "--ask", path); code != errs.ExitUsage {
		t.Errorf("exit code %d with an existing file, want %d", code, errs.ExitUsage)
	}
	other := filepath.Join(t.TempDir(), "b.yaml")
	if code, _, _ := run(t, questionnaireInput[:40], "intake", "--ask", other); code != errs.ExitUsage {
		t.Errorf("exit code %d after incomplete answers, want %d", code, errs.ExitUsage)
	}
	if _, err := os.Stat(other); err == nil {
		t.Error("the file with incomplete answers was not removed")
	}
}

// TestIntakeApplied guards against a generated configuration that the
// administration API rejects, or that replaces a newer revision than its base.
func TestIntakeApplied(t *testing.T) {
	ap := newTestAPI(t)
	dir := t.TempDir()
	present, next := filepath.Join(dir, "present.json"), filepath.Join(dir, "next.json")
	_, doc, _ := ap.run("desk", "config", "show")
	if err := os.WriteFile(present, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	code, doc, msg := run(t, "", "intake", "--json", "--present", present, sejinAnswers)
	if err := os.WriteFile(next, []byte(doc), 0o600); code != errs.ExitOK || err != nil {
		t.Fatal(code, msg, err)
	}
	if code, out, msg := ap.run("desk", "config", "apply", next); code != errs.ExitOK {
		t.Errorf("exit code %d, %s%s", code, out, msg)
	}
	if code, _, msg := ap.run("desk", "config", "apply", next); code != errs.ExitConflict {
		t.Errorf("exit code %d for the same base again, want %d, %s", code, errs.ExitConflict, msg)
	}
}
