package escrow

import (
	"sync"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// ReferenceLedger is a ledger in a single process with one mutex. Differential
// tests compare the distributed ledger with it.
type ReferenceLedger struct {
	mu       sync.Mutex
	prepaid  ident.Tokens
	settled  ident.Tokens
	reserved map[ident.Request]ident.Tokens
	topUps   map[ident.Op]bool
}

// NewReferenceLedger returns a reference ledger with a prepaid amount.
func NewReferenceLedger(prepaid ident.Tokens) *ReferenceLedger {
	return &ReferenceLedger{
		prepaid:  prepaid,
		reserved: make(map[ident.Request]ident.Tokens),
		topUps:   make(map[ident.Op]bool),
	}
}

// Reserve reserves tokens for the request if they are free.
func (rl *ReferenceLedger) Reserve(rq ident.Request, tokens ident.Tokens) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if tokens > rl.free() {
		return false
	}
	rl.reserved[rq] = tokens
	return true
}

// Settle ends the reservation of the request and charges its use, but not more
// than was reserved. A second call for the request has no effect.
func (rl *ReferenceLedger) Settle(rq ident.Request, used ident.Tokens) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	res, ok := rl.reserved[rq]
	if !ok {
		return
	}
	delete(rl.reserved, rq)
	rl.settled += min(used, res)
}

// TopUp adds prepaid tokens, once per operation id.
func (rl *ReferenceLedger) TopUp(op ident.Op, amount ident.Tokens) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !rl.topUps[op] {
		rl.topUps[op] = true
		rl.prepaid += amount
	}
}

// Balance returns the prepaid, settled and free tokens.
func (rl *ReferenceLedger) Balance() (prepaid, settled, free ident.Tokens) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.prepaid, rl.settled, rl.free()
}

func (rl *ReferenceLedger) free() ident.Tokens {
	free := rl.prepaid - rl.settled
	for _, res := range rl.reserved {
		free -= res
	}
	return free
}
