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
	// answerAge is the time for which the answer of a peer counts. The answer of one that
	// is out of the rotation counts until it returns.
	answerAge = 2 * time.Second
	// minAnswers is the number of peers that have to answer before the router leaves.
	// busyDivisor gives the share of those that may be without capacity, and outDivisor
	// that share with the router itself.
	minAnswers  = 2
	busyDivisor = 4
	outDivisor  = 3
	// enoughAsked is the number of peers that have to be asked in a larger domain, and
	// unknownBusy that of those without capacity that are assumed among the others.
	enoughAsked = 8
	unknownBusy = 2
)

// Answer is what another router of the failure domain has said about itself.
type Answer struct {
	From    ident.VM
	AskedAt time.Time
	// Silent says that the peer has not answered in time.
	Silent                   bool
	Congested, OutOfRotation bool
	// OutUntil is the time at which the peer returns to the rotation, or zero.
	OutUntil time.Time
}

// countsUntil returns the end of the time for which the answer counts.
func (an Answer) countsUntil() time.Time {
	until := an.AskedAt.Add(answerAge)
	if an.OutUntil.After(until) {
		return an.OutUntil
	}
	return until
}

// Rotation decides when a router with a congested link leaves the rotation of its
// balancer, and when it returns. It is an immutable value; the zero value is a router in
// the rotation with a free link.
type Rotation struct {
	// congestedSince is when the present congestion began, or zero.
	congestedSince time.Time
	// leftAt and outUntil bound the last absence.
	leftAt, outUntil time.Time
	// peers is the number of other routers in the failure domain, and answers holds the
	// last answer of each.
	peers   int
	answers []Answer
}

// Out reports whether the router is out of the rotation.
func (ro Rotation) Out(now time.Time) bool { return now.Before(ro.outUntil) }

// OutUntil returns the end of the last absence.
func (ro Rotation) OutUntil() time.Time { return ro.outUntil }

// CongestedSince returns when the present congestion began, or zero. Congestion during
// an absence does not count.
func (ro Rotation) CongestedSince() time.Time { return ro.congestedSince }

// KnownUntil returns the time until which an answer of the peer counts, or zero.
func (ro Rotation) KnownUntil(peer ident.VM) time.Time {
	for _, an := range ro.answers {
		if an.From == peer {
			return an.countsUntil()
		}
	}
	return time.Time{}
}

// PeerCounts are numbers of other routers of the failure domain.
type PeerCounts struct {
	// Asked is the number that were asked lately, Answered that of those that have
	// answered, and Busy that of those of them without capacity.
	Asked, Answered, Busy int
}

// Counts returns what is known about the peers.
func (ro Rotation) Counts(now time.Time) (pc PeerCounts) {
	for _, an := range ro.answers {
		if now.After(an.countsUntil()) {
			continue
		}
		pc.Asked++
		if an.Silent {
			continue
		}
		pc.Answered++
		if an.Congested || an.OutOfRotation {
			pc.Busy++
		}
	}
	return pc
}

// WithPeers returns a copy with the number of other routers in the failure domain.
func (ro Rotation) WithPeers(peers int) Rotation {
	ro.peers = peers
	return ro
}

// WithAnswers returns a copy that takes the answers of peers into account.
func (ro Rotation) WithAnswers(answers ...Answer) Rotation {
	ro.answers = slices.Clone(ro.answers)
	for _, an := range answers {
		ro.answers = slices.DeleteFunc(ro.answers, func(old Answer) bool {
			return old.From == an.From || an.AskedAt.After(old.countsUntil())
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
	pc := ro.Counts(now)
	busy := pc.Busy
	if pc.Asked < ro.peers {
		busy += unknownBusy
	}
	return pc.Asked >= min(ro.peers, enoughAsked) && pc.Answered >= minAnswers &&
		busy <= pc.Answered/busyDivisor && busy+1 <= (pc.Answered+1)/outDivisor
}

// nextAbsence returns the duration of an absence that begins with the present congestion.
func (ro Rotation) nextAbsence() time.Duration {
	if ro.congestedSince.Sub(ro.outUntil) > returnSpan {
		return minAbsence
	}
	return min(maxAbsence, 2*ro.outUntil.Sub(ro.leftAt))
}
