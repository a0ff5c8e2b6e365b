package budget

import (
	"log/slog"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// slot tells whether a hold is open. Its lowest bit is set while the hold is
// kept; the other bits count the holds that used the slot. A hold whose mark
// does not match is finished, so slots can be reused without an allocation.
type slot struct{ state atomic.Uint64 }

const keptBit = 1

// Hold is the reservation of one request. Each of its methods takes effect at
// most once, and only the first of Settle and Release does. The zero Hold does
// nothing. A hold that is never finished stays held.
type Hold struct {
	hd     *Holder
	hg     *holding
	sl     *slot
	mark   uint64
	tokens ident.Tokens
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
	ho.hd.slots.Put(ho.sl)
	return true
}

// Release frees the whole reservation. It reports whether this call took
// effect.
func (ho Hold) Release() bool {
	if !ho.finish() {
		return false
	}
	ho.hg.pool.Release(ho.tokens)
	ho.hd.slots.Put(ho.sl)
	return true
}

// Keep leaves the reservation held because its use is unknown. A later Settle
// or Release still finishes it; otherwise it is recovered on evidence.
func (ho Hold) Keep() bool {
	if ho.sl == nil || !ho.sl.state.CompareAndSwap(ho.mark, ho.mark|keptBit) {
		return false
	}
	ho.hg.pool.Keep(ho.tokens)
	return true
}

// finish closes the hold for this caller only. A kept one counts as reserved
// again.
func (ho Hold) finish() bool {
	if ho.sl == nil {
		return false
	}
	next := ho.mark + 2
	if ho.sl.state.CompareAndSwap(ho.mark, next) {
		return true
	}
	if !ho.sl.state.CompareAndSwap(ho.mark|keptBit, next) {
		return false
	}
	ho.hg.pool.Unkeep(ho.tokens)
	return true
}
