package codec

import (
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
)

// Ledger returns the codecs of the budget ledger's rows.
func Ledger() budget.Codecs {
	return budget.Codecs{
		Budget:      JSON[escrow.BudgetRow]{},
		Grant:       JSON[escrow.GrantRow]{},
		TopUp:       JSON[escrow.TopUpRow]{},
		Incarnation: JSON[escrow.IncarnationRow]{},
		Closure:     JSON[escrow.ClosureRow]{},
		Witness:     JSON[escrow.WitnessRow]{},
		Lease:       JSON[escrow.LeaseRow]{},
	}
}
