package budget

import (
	"context"
	"errors"
	"strconv"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// simPeers lets the holders of a run ask each other. The address of a holder
// is its position. One that is cut off fails at the table.
type simPeers struct{ si *sim }

// Release asks the holder at the position.
func (sp simPeers) Release(ctx context.Context, addr string, in ident.Incarnation, rf ident.BudgetRef) (ident.Tokens, error) {
	no, err := strconv.Atoi(addr)
	if err != nil || sp.si.holders[no].Incarnation() != in {
		return 0, errors.New("budget: another holder answers")
	}
	return sp.si.holders[no].Release(ctx, rf)
}
