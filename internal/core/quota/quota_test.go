package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/quota"
)

const (
	limit = 8 << 20
	large = 1 << 20
	small = 16 << 10
	step  = 32 << 10
	stall = 500 * time.Millisecond
)

var (
	start = time.Unix(1000, 0)
	order = quota.ByProgress{StallTime: stall, Small: 64 << 10}
)

// divider divides memory among bodies.
type divider interface {
	// arrive records that a part of a body has arrived, and reports whether the body is kept.
	arrive(body int, owner string, arrived, size int64, now time.Time) bool
	end(body int)
	used() int64
}

// budget is the division under test.
type budget struct {
	bu     *quota.Budget[quota.ByProgress]
	leases map[int]*quota.Lease
}

func newBudget() divider { return budget{quota.New(limit, order), map[int]*quota.Lease{}} }

func (bu budget) arrive(body int, owner string, arrived, size int64, now time.Time) bool {
	le := bu.leases[body]
	if le == nil {
		cl := quota.NewClaim(owner, now).WithLeft(size)
		if le = bu.bu.Open(cl, func() {}, now); le == nil || !bu.bu.Admits(cl, now) {
			return false
		}
		bu.leases[body] = le
	}
	return bu.bu.Set(le, le.Claim().WithHeld(arrived).WithArrived(arrived, size-arrived, now), now)
}

func (bu budget) end(body int) {
	if le := bu.leases[body]; le != nil {
		bu.bu.Close(le)
		delete(bu.leases, body)
	}
}
func (bu budget) used() int64 { return bu.bu.Used() }

// firstCome is the naive division: a body takes what it announces, and who comes first
// is served first.
type firstCome struct{ taken map[int]int64 }

func newFirstCome() divider { return firstCome{map[int]int64{}} }

func (fc firstCome) arrive(body int, _ string, _, size int64, _ time.Time) bool {
	if fc.taken[body] == 0 && fc.used()+size > limit {
		return false
	}
	fc.taken[body] = size
	return true
}
func (fc firstCome) end(body int) { delete(fc.taken, body) }
func (fc firstCome) used() (sum int64) {
	for _, size := range fc.taken {
		sum += size
	}
	return sum
}

// runCrowd lets bodies of one owner arrive at random paces and stop one byte short of
// their ends, and sends complete bodies of other owners in between. It returns how many
// of these were kept, and the most memory in use.
func runCrowd(di divider, seed uint64) (served, sent int, most int64) {
	rd := rand.New(rand.NewPCG(seed, 1))
	arrived := map[int]int64{}
	for tick := range 100 {
		now := start.Add(time.Duration(tick) * 20 * time.Millisecond)
		for body := range 60 {
			next := min(large-1, arrived[body]+rd.Int64N(2*step))
			if arrived[body] < 0 || next == arrived[body] {
				continue
			}
			if arrived[body] = next; !di.arrive(body, "crowd", next, large, now) {
				di.end(body)
				// A client that was refused begins again.
				arrived[body] = 0
			}
			most = max(most, di.used())
		}
		if tick < 10 || tick%4 != 0 {
			continue
		}
		sent++
		size, kept := int64(small+rd.Int64N(large/2)), true
		for got := int64(0); kept && got < size; {
			got = min(size, got+step)
			kept = di.arrive(-tick, fmt.Sprint("caller", tick%3), got, size, now)
		}
		di.end(-tick)
		if kept {
			served++
		}
		most = max(most, di.used())
	}
	return served, sent, most
}

// TestCrowd guards against bodies that are never completed and keep the memory from
// others. It divides 8 MiB among 60 bodies of 1 MiB that stop short and a stream of
// complete bodies of up to 528 KiB. Memory that goes to whoever announces first fails.
func TestCrowd(t *testing.T) {
	for seed := range uint64(4) {
		served, sent, most := runCrowd(newBudget(), seed)
		if served != sent || most > limit {
			t.Errorf("seed %d: %d of %d bodies kept, at most %d bytes in use", seed, served, sent, most)
		}
		if served, sent, _ := runCrowd(newFirstCome(), seed); served*10 > sent {
			t.Errorf("seed %d: first come, first served keeps %d of %d bodies, so that the load shows nothing", seed, served, sent)
		}
	}
}

// TestOrder guards against a body that gives way although another one has made less
// progress, is further from its end, or belongs to an owner that holds more.
func TestOrder(t *testing.T) {
	now := start.Add(time.Second)
	fresh := quota.Standing{Claim: quota.Claim{Held: large, Left: large, StartedAt: start, AdvancedAt: now}, Share: large}
	change := func(change func(st *quota.Standing)) quota.Standing {
		st := fresh
		change(&st)
		return st
	}
	stalled := change(func(st *quota.Standing) { st.AdvancedAt, st.Left = now.Add(-stall), 1 })
	for _, tc := range []struct {
		name        string
		first, last quota.Standing
	}{
		{"stalled", stalled, fresh},
		{"stalled for longer", change(func(st *quota.Standing) { st.AdvancedAt, st.Left = start, 1 }), stalled},
		{"larger share", change(func(st *quota.Standing) { st.Share, st.Left = 2*large, 1 }), fresh},
		{"more left", fresh, change(func(st *quota.Standing) { st.Left = 1 })},
		{"small body", change(func(st *quota.Standing) { st.Left = 1 }), change(func(st *quota.Standing) { st.Held, st.Left = 1, small })},
		{"begun later", change(func(st *quota.Standing) { st.StartedAt = now }), fresh},
	} {
		got := []bool{order.Before(tc.first, tc.last, now), order.Before(tc.last, tc.first, now)}
		if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
}

// TestTrickle guards against single bytes that count as progress, with which a caller
// could keep a body as long as it likes.
func TestTrickle(t *testing.T) {
	cl := quota.NewClaim("a", start).WithHeld(step).WithLeft(large)
	for no := range int64(1000) {
		cl = cl.WithArrived(no, large-no, start.Add(time.Duration(no)*time.Millisecond))
	}
	if !cl.AdvancedAt.Equal(start) {
		t.Errorf("advanced at %s, want %s", cl.AdvancedAt, start)
	}
}

// TestReserve guards against complete large bodies, which do not give way, that keep
// small ones out until they have been responded to.
func TestReserve(t *testing.T) {
	bu := quota.New(limit, order)
	fixed := int64(0)
	for range 2 * limit / large {
		cl := quota.NewClaim("a", start).WithLeft(large)
		if !bu.Admits(cl, start) {
			continue
		}
		le := bu.Open(cl, func() {}, start)
		if bu.Set(le, le.Claim().WithHeld(large).WithLeft(0).WithFixed(true), start) {
			fixed += large
		}
	}
	if fixed != limit*3/4 || bu.Used() != fixed {
		t.Errorf("%d bytes fixed and %d used, want %d", fixed, bu.Used(), limit*3/4)
	}
	if !bu.Admits(quota.NewClaim("a", start).WithLeft(small), start) {
		t.Error("a small body is not admitted")
	}
}

// TestConnections guards against a connection with a request in progress that gives way,
// and against idle ones that keep others out.
func TestConnections(t *testing.T) {
	const conns = 4
	bu := quota.New(conns, quota.ByRank{StallTime: stall})
	var evicted []int
	open := func(no, rank int, at time.Time) *quota.Lease {
		return bu.Open(quota.NewClaim("a", at).WithHeld(1).WithRank(rank, at), func() { evicted = append(evicted, no) }, at)
	}
	for no, rank := range []int{2, 1, 0, 1} {
		open(no, rank, start)
	}
	now := start.Add(time.Millisecond)
	for no := range conns {
		if no == conns-1 {
			// The body has stalled by now.
			now = start.Add(stall)
		}
		le := open(conns+no, 1, now)
		if le == nil || !bu.Set(le, le.Claim().WithFixed(true), now) {
			t.Fatalf("connection %d has no room", conns+no)
		}
	}
	if len(evicted) != conns || evicted[0] != 2 || evicted[3] != 0 {
		t.Errorf("evicted %v, want 2 first and 0 last", evicted)
	}
	if open(9, 1, now) != nil || bu.Used() != conns {
		t.Errorf("%d connections, want %d with a request in progress each", bu.Used(), conns)
	}
}
