package budget

import (
	"log/slog"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// holdState says whether a hold is open. Its lowest bit is set while the hold is
// unknown; the other bits are a generation, which counts the holds that used
// this state. A hold with another generation is finished, so that states are
// reused without an allocation.
type holdState struct{ state atomic.Uint64 }

const unknownBit = 1

// Hold is the reservation of one request. Each of its methods takes effect at
// most once, and only the first of Settle and Release does. The zero Hold does
// nothing. A hold that is never settled or released stays held.
type Hold struct {
	hd         *Holder
	hg         *holding
	hs         *holdState
	generation uint64
	tokens     ident.Tokens
}

// Tokens returns the reserved tokens.
func (ho Hold) Tokens() ident.Tokens { return ho.tokens }

// Settle charges the metered use and frees the rest. It reports whether this
// call took effect.
func (ho Hold) Settle(used ident.Tokens) bool {
	if !ho.finish() {
		return false
	}
	if charged := ho.hg.pool.Settle(ho.tokens, used); charged < used {
		ho.hd.opts.meter.Log(eventUncharged, slog.String("budget", ho.hg.ref.String()),
			slog.Int64("used", int64(used)), slog.Int64("charged", int64(charged)))
	}
	ho.hd.holdStates.Put(ho.hs)
	return true
}

// Release frees the whole reservation. It reports whether this call took
// effect.
func (ho Hold) Release() bool {
	if !ho.finish() {
		return false
	}
	ho.hg.pool.Release(ho.tokens)
	ho.hd.holdStates.Put(ho.hs)
	return true
}

// MarkUnknown marks the reservation as unknown: its use is not known, so that
// it stays held. A later Settle or Release still finishes it; otherwise it is
// recovered on evidence.
func (ho Hold) MarkUnknown() bool {
	if ho.hs == nil || !ho.hs.state.CompareAndSwap(ho.generation, ho.generation|unknownBit) {
		return false
	}
	ho.hg.pool.MarkUnknown(ho.tokens)
	return true
}

// finish ends the hold and reports whether this call did so. A hold that was
// marked as unknown counts as reserved again.
func (ho Hold) finish() bool {
	if ho.hs == nil {
		return false
	}
	next := ho.generation + 2
	if ho.hs.state.CompareAndSwap(ho.generation, next) {
		return true
	}
	if !ho.hs.state.CompareAndSwap(ho.generation|unknownBit, next) {
		return false
	}
	ho.hg.pool.ClearUnknown(ho.tokens)
	return true
}
