package admit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func entry(item string, account ident.Account, cl config.Class, left time.Duration) admit.Entry[string] {
	return admit.Entry[string]{Item: item, Account: account, Class: cl, Deadline: start.Add(left)}
}

func drain(qu *admit.Queue[string], now time.Time) (order, expired []string) {
	for {
		next, ok, out := qu.Pop(now)
		for _, en := range out {
			expired = append(expired, en.Item)
		}
		if !ok {
			return order, expired
		}
		order = append(order, next.Item)
	}
}

// TestQueueOrder guards against urgent entries behind other classes, starving
// batch entries, and entries that are returned as next after their latest start.
func TestQueueOrder(t *testing.T) {
	const lead = time.Minute
	cases := []struct {
		name          string
		entries       []admit.Entry[string]
		order, expire []string
	}{
		{"class, then deadline", []admit.Entry[string]{
			entry("batch", "a", config.Batch, time.Hour), entry("late", "a", config.Normal, 20*time.Minute),
			entry("early", "a", config.Normal, 10*time.Minute), entry("urgent", "a", config.Urgent, 30*time.Minute),
		}, []string{"urgent", "early", "late", "batch"}, nil},
		{"batch near its deadline ranks with normal", []admit.Entry[string]{
			entry("normal", "a", config.Normal, 2*time.Minute), entry("batch", "a", config.Batch, lead),
		}, []string{"batch", "normal"}, nil},
		{"batch shortly before its deadline ranks with urgent", []admit.Entry[string]{
			entry("urgent", "a", config.Urgent, 30*time.Second), entry("batch", "a", config.Batch, 10*time.Second),
		}, []string{"batch", "urgent"}, nil},
		{"expired", []admit.Entry[string]{
			entry("gone", "a", config.Normal, -time.Second), entry("good", "a", config.Normal, time.Second),
			{Item: "too long", Account: "a", Class: config.Batch, Deadline: start.Add(time.Hour), LatestStart: start.Add(-1)},
		}, []string{"good"}, []string{"gone", "too long"}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			qu := admit.NewQueue[string](admit.WithLeadTime(lead))
			for _, en := range ca.entries {
				if _, ok := qu.Push(en); !ok {
					t.Fatalf("%s was not queued", en.Item)
				}
			}
			order, expired := drain(qu, start)
			if diff := cmp.Diff([][]string{ca.order, ca.expire}, [][]string{order, expired}); diff != "" {
				t.Errorf("order and expired (-want +got):\n%s", diff)
			}
		})
	}
}

// TestQueueServedClass guards against batch entries near their latest start that
// are still kept out of the slots reserved for other classes.
func TestQueueServedClass(t *testing.T) {
	qu := admit.NewQueue[string](admit.WithLeadTime(time.Minute))
	qu.Push(entry("draft", "a", config.Batch, time.Hour))
	var got []config.Class
	for _, now := range []time.Time{start, start.Add(time.Hour - time.Minute)} {
		qu.PopIf(now, func(en admit.Entry[string]) bool {
			got = append(got, en.Class)
			return false
		})
	}
	if diff := cmp.Diff([]config.Class{config.Batch, config.Normal}, got); diff != "" || qu.Len() != 1 {
		t.Errorf("length %d, served as (-want +got):\n%s", qu.Len(), diff)
	}
}

// TestQueueFairness guards against a backlog of one account that delays another
// account by more than the quantum.
func TestQueueFairness(t *testing.T) {
	qu := admit.NewQueue[string](admit.WithQuantum(2))
	for ix := range 50 {
		qu.Push(entry("flood", "a", config.Normal, time.Duration(ix+1)*time.Second))
	}
	for range 3 {
		qu.Push(entry("quiet", "b", config.Normal, time.Hour))
	}
	order, _ := drain(qu, start)
	if diff := cmp.Diff([]string{"flood", "flood", "quiet", "flood", "quiet", "flood", "quiet"}, order[:7]); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestQueueFull guards against a full queue that refuses urgent entries in favour
// of lower classes, or lets one account hold all its capacity.
func TestQueueFull(t *testing.T) {
	cases := []struct {
		name      string
		en        admit.Entry[string]
		displaced []string
		ok        bool
	}{
		{"urgent displaces the latest batch entry", entry("new", "c", config.Urgent, time.Second), []string{"a3"}, true},
		{"another account displaces the largest share", entry("new", "c", config.Batch, 9*time.Hour), []string{"a3"}, true},
		{"earlier deadline of the largest share", entry("new", "a", config.Batch, time.Second), []string{"a3"}, true},
		{"later deadline of the largest share", entry("new", "a", config.Batch, 9*time.Hour), nil, false},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			qu := admit.NewQueue[string](admit.WithCapacity(4))
			qu.Push(entry("a1", "a", config.Batch, time.Hour))
			qu.Push(entry("a3", "a", config.Batch, 3*time.Hour))
			qu.Push(entry("a2", "a", config.Batch, 2*time.Hour))
			qu.Push(entry("b1", "b", config.Batch, 4*time.Hour))
			out, ok := qu.Push(ca.en)
			var displaced []string
			for _, en := range out {
				displaced = append(displaced, en.Item)
			}
			if diff := cmp.Diff(ca.displaced, displaced); diff != "" || ok != ca.ok || qu.Len() != 4 {
				t.Errorf("queued %v, length %d, displaced (-want +got):\n%s", ok, qu.Len(), diff)
			}
		})
	}
}

// TestQueueConserves guards against entries that are lost or duplicated: each
// entry must be popped, displaced, expired or refused exactly once.
func TestQueueConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		qu := admit.NewQueue[int](admit.WithCapacity(rapid.IntRange(1, 8).Draw(t, "capacity")))
		classes := []config.Class{config.Urgent, config.Normal, config.Batch}
		seen, pushed, now := map[int]int{}, 0, start
		count := func(list ...admit.Entry[int]) {
			for _, en := range list {
				seen[en.Item]++
			}
		}
		pop := func() bool {
			next, ok, expired := qu.Pop(now)
			count(expired...)
			if ok {
				count(next)
			}
			return ok
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pass")) * time.Second)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				pop()
				continue
			case 1:
				_, _, expired := qu.PopIf(now, func(admit.Entry[int]) bool { return false })
				count(expired...)
				continue
			}
			en := admit.Entry[int]{
				Item: pushed, Account: ident.Account(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
				Class:    rapid.SampledFrom(classes).Draw(t, "class"),
				Deadline: now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "left")) * time.Second),
			}
			pushed++
			displaced, ok := qu.Push(en)
			count(displaced...)
			if !ok {
				count(en)
			}
		}
		for pop() {
		}
		for ix := range pushed {
			if seen[ix] != 1 {
				t.Fatalf("entry %d was reported %d times", ix, seen[ix])
			}
		}
		if qu.Len() != 0 {
			t.Fatalf("%d entries left", qu.Len())
		}
	})
}
