package shed

import (
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// minCongested is how long the link has to be congested without interruption before
	// the router leaves the rotation. One burst counts as congestion for congestionHold.
	minCongested = 750 * time.Millisecond
	// minAbsence is the time out of the rotation, which doubles up to maxAbsence each
	// time that congestion returns within returnSpan. A balancer needs 2 s to notice.
	minAbsence = 12 * time.Second
	maxAbsence = 48 * time.Second
	returnSpan = 10 * time.Second
	// answerAge is the time for which the answer of a peer counts.
	answerAge = 2 * time.Second
	// minAnswers is the number of peers that have to answer before the router leaves,
	// and busyDivisor gives the share of them that may be without capacity.
	minAnswers  = 2
	busyDivisor = 4
)

// Answer is what another router of the failure domain has said about itself.
type Answer struct {
	From                     ident.VM
	AskedAt                  time.Time
	Congested, OutOfRotation bool
}

// Rotation decides when a router with a congested link leaves the rotation of its
// balancer, and when it returns. It is an immutable value; the zero value is a router in
// the rotation with a free link.
type Rotation struct {
	// congestedSince is when the present congestion began, or zero.
	congestedSince time.Time
	// leftAt and outUntil bound the last absence.
	leftAt, outUntil time.Time
	// answers holds the last answer of each peer.
	answers []Answer
}

// Out reports whether the router is out of the rotation.
func (ro Rotation) Out(now time.Time) bool { return now.Before(ro.outUntil) }

// OutUntil returns the end of the last absence.
func (ro Rotation) OutUntil() time.Time { return ro.outUntil }

// CongestedSince returns when the present congestion began, or zero. Congestion during
// an absence does not count.
func (ro Rotation) CongestedSince() time.Time { return ro.congestedSince }

// Peers returns the number of peers with recent answers, and of those without capacity.
func (ro Rotation) Peers(now time.Time) (answered, busy int) {
	for _, an := range ro.answers {
		if now.Sub(an.AskedAt) > answerAge {
			continue
		}
		answered++
		if an.Congested || an.OutOfRotation {
			busy++
		}
	}
	return answered, busy
}

// WithAnswers returns a copy that takes the answers of peers into account.
func (ro Rotation) WithAnswers(answers ...Answer) Rotation {
	ro.answers = slices.Clone(ro.answers)
	for _, an := range answers {
		ro.answers = slices.DeleteFunc(ro.answers, func(old Answer) bool {
			return old.From == an.From || an.AskedAt.Sub(old.AskedAt) > answerAge
		})
		ro.answers = append(ro.answers, an)
	}
	return ro
}

// WithLink returns a copy that records whether the link is congested, and that has left
// the rotation if the congestion has lasted and peers have capacity.
func (ro Rotation) WithLink(congested bool, now time.Time) Rotation {
	switch {
	case !congested || ro.Out(now):
		ro.congestedSince = time.Time{}
	case ro.congestedSince.IsZero():
		ro.congestedSince = now
	case now.Sub(ro.congestedSince) >= minCongested && ro.peersHaveCapacity(now):
		absence := ro.nextAbsence()
		ro.leftAt, ro.outUntil = now, now.Add(absence)
		ro.congestedSince = time.Time{}
	}
	return ro
}

func (ro Rotation) peersHaveCapacity(now time.Time) bool {
	answered, busy := ro.Peers(now)
	return answered >= minAnswers && busy <= answered/busyDivisor
}

// nextAbsence returns the duration of an absence that begins with the present congestion.
func (ro Rotation) nextAbsence() time.Duration {
	if ro.congestedSince.Sub(ro.outUntil) > returnSpan {
		return minAbsence
	}
	return min(maxAbsence, 2*ro.outUntil.Sub(ro.leftAt))
}
