package follow

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

// entry is an upstream with the position of its row. An expired entry was removed
// from the store during an outage and stays in use for a grace period. The row of an
// unusable entry cannot be decoded, and its upstream is not used.
type entry struct {
	place.Entry
	position epoch.Position
	expired  bool
	unusable bool
	// announced says that the upstream has announced in a response that it leaves.
	announced bool
	// coldUntil is when the upstream stops being cold by its entry, or by the time of its
	// service if its lifetime began while this router was running.
	coldUntil time.Time
	// lateUntil is until when a report of an earlier lifetime is taken for a late write.
	// Afterwards it is that of a new lifetime, before which the clock was set back.
	lateUntil time.Time
}

// WithColdUntil returns a copy that is cold until a time.
func (en entry) WithColdUntil(until time.Time) entry {
	en.coldUntil = until
	return en
}

// WithAnnounced returns a copy that is leaving because the upstream has announced it.
func (en entry) WithAnnounced() entry {
	en.Upstream = en.WithLeaving(true)
	en.announced = true
	return en
}

// WithExpired returns a copy that is expired.
func (en entry) WithExpired() entry {
	en.expired = true
	return en
}

// WithUnusable returns a copy with the position of a row that cannot be decoded. It
// keeps what the upstream reported before.
func (en entry) WithUnusable(po epoch.Position) entry {
	en.position, en.unusable, en.expired = po, true, false
	return en
}

// removal is an entry that was removed at a time.
type removal struct {
	entry
	at time.Time
	// unconfirmed is the entry of a row that the upstream may have written before its
	// removal, or nil, and unconfirmedAt when the first such row was read. It is that of an
	// upstream that goes on if it is written again or does not expire.
	unconfirmed   *entry
	unconfirmedAt time.Time
}

// WithUnconfirmed returns a copy with the entry of a row that may be older than the
// removal.
func (rm removal) WithUnconfirmed(en entry, now time.Time) removal {
	if rm.unconfirmed == nil {
		rm.unconfirmedAt = now
	}
	rm.unconfirmed = &en
	return rm
}

// WithoutUnconfirmed returns a copy whose upstream has no row in the store.
func (rm removal) WithoutUnconfirmed() removal {
	rm.unconfirmed = nil
	return rm
}

// mayPrecede reports whether a report of the removed lifetime may have been made before
// the removal and written late: it is later than the known ones, and no other one has
// followed. Entries that expired in an outage are written again when it has ended, and an
// upstream that is leaving gets no requests anyway.
func (rm removal) mayPrecede(next entry) bool {
	if rm.expired || next.Leaving || next.StartedMs == 0 || next.StartedMs != rm.StartedMs {
		return false
	}
	return next.Compare(rm.Entry) > 0 && (rm.unconfirmed == nil || next.Compare(rm.unconfirmed.Entry) <= 0)
}
