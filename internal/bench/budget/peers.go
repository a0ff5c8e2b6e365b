package budget

import (
	"context"
	"errors"
	"strconv"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// simPeers lets the holders of a run call each other. The address of a holder
// is its index in the simulation. A holder that is cut off fails when it
// accesses the table.
type simPeers struct{ si *sim }

// Release calls the holder with the index addr.
func (sp simPeers) Release(ctx context.Context, addr string, in ident.Incarnation, rf ident.BudgetRef) (ident.Tokens, error) {
	no, err := strconv.Atoi(addr)
	if err != nil || sp.si.holders[no].Incarnation() != in {
		return 0, errors.New("budget: the holder at this address has another incarnation")
	}
	return sp.si.holders[no].Release(ctx, rf)
}
