package update_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

var codecs = update.Codecs{
	Head:   codec.JSON[update.Head]{},
	Audit:  codec.JSON[update.Audit]{},
	Config: codec.Config{},
}

func account(id string) config.Account {
	return config.Account{ID: ident.Account(id), Preference: config.AvoidRefusal}
}

func proposal(base ident.Revision, by, op string) update.Proposal {
	return update.Proposal{
		Base: base, Author: ident.Operator(by), Op: ident.Op(op),
		Snapshot: config.Snapshot{}.WithAccount(account(by)),
	}
}

// TestInvalidRefused guards against an invalid configuration that is accepted,
// and against an error that contains only the first finding.
func TestInvalidRefused(t *testing.T) {
	me := newMemory()
	ac := update.NewAcceptor(&port{memory: me}, codecs)
	pr := proposal(0, "ann", "1")
	pr.Snapshot = pr.Snapshot.WithAccount(config.Account{ID: "a/b"})
	_, err := ac.Accept(t.Context(), pr)
	var in *update.InvalidError
	if !errors.As(err, &in) || len(in.Findings) != 2 {
		t.Errorf("error is %v, want 2 findings", err)
	}
	if len(me.rows) != 0 {
		t.Errorf("%d rows written", len(me.rows))
	}
}

// TestOperatorsRacing guards against two operators who are both told that their
// change was accepted.
func TestOperatorsRacing(t *testing.T) {
	me := newMemory()
	errs := make([]error, 8)
	var wg sync.WaitGroup
	for ix := range errs {
		wg.Go(func() {
			ac := update.NewAcceptor(&port{memory: me}, codecs)
			_, errs[ix] = ac.Accept(t.Context(), proposal(0, fmt.Sprint("op", ix), fmt.Sprint(ix)))
		})
	}
	wg.Wait()
	accepted := -1
	for ix, err := range errs {
		if err == nil && accepted >= 0 {
			t.Fatalf("the changes of operators %d and %d were both accepted", accepted, ix)
		}
		if err == nil {
			accepted = ix
		}
	}
	for ix, err := range errs {
		var co *update.ConflictError
		if ix == accepted {
			continue
		}
		if !errors.As(err, &co) {
			t.Fatalf("operator %d: %v, want a conflict", ix, err)
		}
		want := update.ConflictError{Base: 0, Revision: 1, Author: ident.Operator(fmt.Sprint("op", accepted))}
		if diff := cmp.Diff(want, *co); diff != "" {
			t.Errorf("conflict (-want +got):\n%s", diff)
		}
	}
}

// TestLostResponses guards against a change that is reported as failed although
// it was accepted, or that is accepted twice, when the responses to commits are
// lost.
func TestLostResponses(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []fault
		other  bool
		want   string
	}{
		{"effect before the response was lost", []fault{lostAfter}, false, "accepted"},
		{"no effect", []fault{lostBefore, lostBefore}, false, "accepted"},
		{"effect after reading back", []fault{lostLate}, false, "accepted"},
		{"effect after reading back several times", []fault{lostLate, lostBefore, lostBefore, lostBefore}, false, "accepted"},
		{"no response at all", []fault{lostBefore, lostBefore, lostBefore, lostBefore, lostBefore}, false, "unknown"},
		{"other change accepted meanwhile", []fault{lostBefore}, true, "conflict"},
		{"other change accepted afterwards", []fault{lostAfter}, true, "accepted"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				me := newMemory()
				po := &port{memory: me, fault: tc.faults}
				ac := update.NewAcceptor(po, codecs)
				if tc.other {
					go func() {
						time.Sleep(50 * time.Millisecond)
						oa := update.NewAcceptor(&port{memory: me}, codecs)
						cur, _ := oa.Current(t.Context())
						_, _ = oa.Accept(t.Context(), proposal(cur.Revision(), "bob", "rival"))
					}()
				}
				pr := proposal(0, "ann", "1")
				_, err := ac.Accept(t.Context(), pr)
				if got := outcome(err); got != tc.want {
					t.Fatalf("%s (%v), want %s", got, err, tc.want)
				}
				time.Sleep(5 * time.Second)
				if tc.want == "conflict" {
					return
				}
				if _, err := ac.Accept(t.Context(), pr); err != nil {
					t.Errorf("the same op again: %v", err)
				}
				rows, err := ac.History(t.Context(), 0, 10)
				if err != nil || rows[0].Op != "1" || len(rows) > 2 || len(rows) == 2 && !tc.other {
					t.Errorf("audit is %v, %v", rows, err)
				}
			})
		})
	}
}

func outcome(err error) string {
	var (
		uo *update.UnknownOutcomeError
		co *update.ConflictError
	)
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &uo):
		return "unknown"
	case errors.As(err, &co):
		return "conflict"
	default:
		return "failed"
	}
}

// TestOpReused guards against a proposal that is reported as accepted because a
// proposal with another document has used the same op.
func TestOpReused(t *testing.T) {
	ac := update.NewAcceptor(&port{memory: newMemory()}, codecs)
	if _, err := ac.Accept(t.Context(), proposal(0, "ann", "1")); err != nil {
		t.Fatal(err)
	}
	pr := proposal(0, "ann", "1")
	pr.Snapshot = pr.Snapshot.WithAccount(account("other"))
	if _, err := ac.Accept(t.Context(), pr); err == nil {
		t.Error("another document with the same op is reported as accepted")
	}
}

// TestChangeRepeated guards against a change that is applied twice when the
// response is lost between the router and the operator, who sends it again.
func TestChangeRepeated(t *testing.T) {
	ac := update.NewAcceptor(&port{memory: newMemory()}, codecs)
	runs := 0
	change := func(sn config.Snapshot) (config.Snapshot, error) {
		runs++
		return sn.WithAccount(account(fmt.Sprint("a", runs))), nil
	}
	for _, op := range []ident.Op{"1", "2", "1"} {
		if _, err := ac.Change(t.Context(), "ann", op, change); err != nil {
			t.Fatal(err)
		}
	}
	sn, err := ac.Current(t.Context())
	if err != nil || runs != 2 || sn.Revision() != 2 || len(sn.Accounts()) != 2 {
		t.Errorf("%d runs, revision %d, %v", runs, sn.Revision(), err)
	}
}

// largeConfig returns a configuration with 1,000 budgets per account.
func largeConfig(accounts int) config.Snapshot {
	sn := config.Snapshot{}
	for ix := range accounts {
		it := account(fmt.Sprint("account-", ix))
		for jx := range 1000 {
			it.Budgets = append(it.Budgets, ident.Budget(fmt.Sprint("budget-", jx)))
		}
		sn = sn.WithAccount(it)
	}
	return sn
}

// TestLargeDocument guards against a configuration of the planned size that
// does not fit in a row, and against rows of old documents that are never
// removed.
func TestLargeDocument(t *testing.T) {
	me := newMemory()
	ac := update.NewAcceptor(&port{memory: me}, codecs)
	planned, small := largeConfig(110), largeConfig(20)
	for re, sn := range []config.Snapshot{small, small, small, small, planned} {
		if _, err := ac.Accept(t.Context(), update.Proposal{Base: ident.Revision(re), Snapshot: sn, Author: "ann"}); err != nil {
			t.Fatal(err)
		}
	}
	got, err := ac.Current(t.Context())
	if err != nil || len(config.Diff(planned, got)) != 0 {
		t.Errorf("the configuration read back differs: %v", err)
	}
	documents := 0
	for key, it := range me.rows {
		if len(it.Value) > 400<<10 {
			t.Errorf("row %s has %d bytes", key, len(it.Value))
		}
		if len(key) > 16 && key[:16] == "config/document/" {
			documents += len(it.Value)
		}
	}
	one, _ := codec.Config{}.Encode(got)
	if documents > 2*len(one) {
		t.Errorf("%d bytes of documents are kept for a document of %d bytes", documents, len(one))
	}
}

var _ store.Table = (*port)(nil)
