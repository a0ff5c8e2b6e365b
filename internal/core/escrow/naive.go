package escrow

import (
	"sync"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// ReferenceLedger is a reference ledger: a single process with one mutex. Differential
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
func (na *ReferenceLedger) Reserve(rq ident.Request, tokens ident.Tokens) bool {
	na.mu.Lock()
	defer na.mu.Unlock()
	if tokens > na.free() {
		return false
	}
	na.reserved[rq] = tokens
	return true
}

// Settle ends the reservation of the request and charges its use, but not more
// than was reserved. A second call for the request has no effect.
func (na *ReferenceLedger) Settle(rq ident.Request, used ident.Tokens) {
	na.mu.Lock()
	defer na.mu.Unlock()
	res, ok := na.reserved[rq]
	if !ok {
		return
	}
	delete(na.reserved, rq)
	na.settled += min(used, res)
}

// TopUp adds prepaid tokens, once per operation id.
func (na *ReferenceLedger) TopUp(op ident.Op, amount ident.Tokens) {
	na.mu.Lock()
	defer na.mu.Unlock()
	if !na.topUps[op] {
		na.topUps[op] = true
		na.prepaid += amount
	}
}

// Balance returns the prepaid, settled and free tokens.
func (na *ReferenceLedger) Balance() (prepaid, settled, free ident.Tokens) {
	na.mu.Lock()
	defer na.mu.Unlock()
	return na.prepaid, na.settled, na.free()
}

func (na *ReferenceLedger) free() ident.Tokens {
	free := na.prepaid - na.settled
	for _, res := range na.reserved {
		free -= res
	}
	return free
}
