package follow

import (
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evClosed     = meter.Event{Number: 5151, Level: slog.LevelWarn, Text: "failure domain closed, its upstreams get no further requests"}
	evOpened     = meter.Event{Number: 5152, Level: slog.LevelInfo, Text: "failure domain opened"}
	evBadClosure = meter.Event{Number: 5153, Level: slog.LevelWarn, Text: "request to close a failure domain cannot be used"}
	evNoUpstream = meter.Event{Number: 5154, Level: slog.LevelWarn, Text: "failure domain closed in which no upstream is known"}
)

// closureGrace is how long a closure stays in force that an older copy of the store
// lacks. The operator writes again what the store has lost.
const closureGrace = 5 * time.Second

// DecodeClosure decodes a row that closes a failure domain, or the deletion of such a
// row, which opens it. It reports false for other rows.
type DecodeClosure func(ro feed.Row) (ident.Domain, bool, error)

// Closure is the operator's request to send no work to the upstreams of a failure
// domain.
type Closure struct {
	Domain ident.Domain
	// Position is that of the row.
	Position epoch.Position
	// Until is when a closure ends that the store has lost, or the zero time.
	Until time.Time
}

// WithUntil returns a copy that ends at a time.
func (cl Closure) WithUntil(until time.Time) Closure {
	cl.Until = until
	return cl
}

// ended reports whether the closure is one that the store has lost and that has ended.
func (cl Closure) ended(now time.Time) bool { return !cl.Until.IsZero() && !now.Before(cl.Until) }

// ClosureState is the closures that are in force at a position in the history of the
// store.
type ClosureState struct {
	Position epoch.Position
	Closures []Closure
}

// Closures holds the failure domains that are closed. It is a Sink of the feed with the
// rows of the operator.
type Closures struct {
	decode DecodeClosure
	apply  func(place.DomainSet, time.Time)
	// upstreams returns the number of known upstreams in a domain.
	upstreams func(ident.Domain) int
	meter     meter.Meter

	mu sync.Mutex
	// position is the latest one whose state is known.
	position epoch.Position
	known    bool
	closed   map[ident.Domain]Closure
	inForce  place.DomainSet
	// refused holds the positions of the rows that could not be decoded.
	refused map[string]epoch.Position
}

// NewClosures returns Closures that know no state yet. They set the closed failure
// domains of the upstreams.
func NewClosures(decode DecodeClosure, us *Upstreams, me meter.Meter) *Closures {
	return &Closures{
		decode: decode, apply: us.SetClosed, meter: me, closed: map[ident.Domain]Closure{}, refused: map[string]epoch.Position{},
		upstreams: func(domain ident.Domain) int { return us.Load().DomainLen(domain) },
	}
}

// Known reports whether the state is known from the store or another router.
func (cs *Closures) Known() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.known
}

// State returns the state that other routers may request, and false while none is
// known.
func (cs *Closures) State() (ClosureState, bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	st := ClosureState{Position: cs.position}
	for _, domain := range cs.inForce.List() {
		st.Closures = append(st.Closures, cs.closed[domain])
	}
	return st, cs.known
}

// Offer puts the state that another router knows in force if it is later than the own
// one. The source appears in log records.
func (cs *Closures) Offer(st ClosureState, source string, now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.known && !st.Position.After(cs.position) {
		return
	}
	next := make(map[ident.Domain]Closure, len(st.Closures))
	for _, cl := range st.Closures {
		next[cl.Domain] = cl
	}
	cs.replace(next, st.Position, source, now)
}

// Replace replaces all closures. In a new era, closures that are not among the rows stay
// in force for a while, because the copy may lack them.
func (cs *Closures) Replace(ba feed.Batch, now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.known && ba.Position.Before(cs.position) {
		return
	}
	next := map[ident.Domain]Closure{}
	for _, ro := range ba.Rows {
		domain, ok, err := cs.decodeRow(ro)
		if err != nil {
			// A row that cannot be used is no news about its domain.
			if cl, ok := cs.closed[domain]; ok {
				next[domain] = cl
			}
			continue
		}
		if ok && !ro.Deleted {
			next[domain] = Closure{Domain: domain, Position: ro.Position}
		}
	}
	cs.replace(next, ba.Position, "store", now)
}

// replace puts the closures at a position in force. Those that a new era of the store
// lacks end later.
func (cs *Closures) replace(next map[ident.Domain]Closure, position epoch.Position, source string, now time.Time) {
	newEra := cs.known && position.Era > cs.position.Era
	for domain, cl := range cs.closed {
		if _, ok := next[domain]; ok {
			continue
		}
		if newEra && cl.Until.IsZero() {
			cl = cl.WithUntil(now.Add(closureGrace))
		}
		if !cl.Until.IsZero() {
			next[domain] = cl
		}
	}
	cs.closed, cs.position, cs.known = next, position, true
	cs.publish(source, now)
}

// ApplyChanges applies the changed rows that are later than the known state.
func (cs *Closures) ApplyChanges(ba feed.Batch, now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, ro := range ba.Rows {
		if !ro.Position.After(cs.position) {
			continue
		}
		domain, ok, err := cs.decodeRow(ro)
		switch {
		case err != nil || !ok:
		case ro.Deleted:
			delete(cs.closed, domain)
		default:
			cs.closed[domain] = Closure{Domain: domain, Position: ro.Position}
		}
	}
	if ba.Position.After(cs.position) {
		cs.position = ba.Position
	}
	cs.publish("store", now)
}

// Lost does nothing: the closures in force stay in force.
func (*Closures) Lost(time.Time) {}

// Recovered does nothing.
func (*Closures) Recovered(time.Time) {}

// RemoveEnded opens the domains whose closures the store has lost and that nobody has
// closed again in time.
func (cs *Closures) RemoveEnded(now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.publish("store", now)
}

// decodeRow decodes a row. An error is logged once for each version of the row.
func (cs *Closures) decodeRow(ro feed.Row) (ident.Domain, bool, error) {
	domain, ok, err := cs.decode(ro)
	if err == nil {
		delete(cs.refused, ro.Key)
		return domain, ok, nil
	}
	if cs.refused[ro.Key] != ro.Position {
		cs.refused[ro.Key] = ro.Position
		cs.meter.Log(evBadClosure, slog.String("key", shorten(ro.Key)), slog.Uint64("version", ro.Position.Version), slog.String("error", err.Error()))
	}
	return domain, false, err
}

// publish puts the closures that have not ended in force.
func (cs *Closures) publish(source string, now time.Time) {
	var domains []ident.Domain
	for domain, cl := range cs.closed {
		if cl.ended(now) {
			delete(cs.closed, domain)
			continue
		}
		domains = append(domains, domain)
	}
	next, before := place.NewDomainSet(domains...), cs.inForce
	if next.Equal(before) {
		return
	}
	cs.inForce = next
	cs.apply(next, now)
	at := slog.Uint64("version", cs.position.Version)
	for _, domain := range next.Without(before) {
		count := cs.upstreams(domain)
		ev := evClosed
		if count == 0 {
			ev = evNoUpstream
		}
		cs.meter.Log(ev, slog.String("domain", string(domain)), at, slog.String("source", source), slog.Int("upstreams", count))
	}
	for _, domain := range before.Without(next) {
		cs.meter.Log(evOpened, slog.String("domain", string(domain)), at, slog.String("source", source))
	}
	cs.meter.Gauge("closedDomains", "", "", float64(len(domains)))
}

// maxLoggedKey bounds the part of a key of a row that is logged.
const maxLoggedKey = 80

func shorten(key string) string { return key[:min(len(key), maxLoggedKey)] }
