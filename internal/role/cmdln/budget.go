package cmdln

import (
	"fmt"
	"io"
	"net/http"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	adapt "github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

type budgetCmd struct {
	List   budgetList   `cmd:"" help:"List the balances of a client account's budgets."`
	Show   budgetShow   `cmd:"" help:"Show the balance of a budget and who holds it. Also works after its removal."`
	Add    budgetAdd    `cmd:"" help:"Create a budget without tokens."`
	Remove budgetRemove `cmd:"" help:"Remove a budget that has neither free nor held tokens."`
	Topup  budgetTopUp  `cmd:"" help:"Add prepaid tokens to a budget, once for each operation id."`
}

type budgetArgs struct {
	accountArg `embed:""`
	Budget     string `arg:"" help:"Budget of the client account."`
}

type budgetList struct {
	accountArg `embed:""`
}

// Run lists the balances.
func (bl budgetList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, admcli.Path("accounts", bl.Account, "budgets"), func(wr io.Writer, li adapt.List[adapt.Balance]) {
		printTable(wr, "BUDGET\tPREPAID\tSETTLED\tHELD\tFREE", func(row func(...any)) {
			for _, ba := range li.Items {
				row(ba.Budget, ba.Prepaid, ba.Settled, ba.Held, ba.Free)
			}
		})
	})
}

type budgetShow struct {
	budgetArgs `embed:""`
}

// Run shows the balance with its holders.
func (bs budgetShow) Run(en *env, ad *adminCmd) error {
	return get(en, ad, admcli.Path("accounts", bs.Account, "budgets", bs.Budget), printBalance)
}

func printBalance(wr io.Writer, ba adapt.Balance) {
	_, _ = fmt.Fprintf(wr, "prepaid %d = settled %d + held %d + free %d\n", ba.Prepaid, ba.Settled, ba.Held, ba.Free)
	if len(ba.Holders) == 0 {
		return
	}
	printTable(wr, "INCARNATION\tSTATE\tDRAWN\tSETTLED\tRETURNED\tHELD", func(row func(...any)) {
		for _, ho := range ba.Holders {
			row(ho.Incarnation, ho.State, ho.Drawn, ho.Settled, ho.Returned, ho.Held)
		}
	})
}

type budgetAdd struct {
	budgetArgs  `embed:""`
	changeFlags `embed:""`
}

// Run creates the budget.
func (ba budgetAdd) Run(en *env, ad *adminCmd) error {
	return change(en, ad, http.MethodPost, admcli.Path("accounts", ba.Account, "budgets"), ba.changeFlags,
		adapt.AddBudgetRequest{Budget: ident.Budget(ba.Budget)})
}

type budgetRemove struct {
	budgetArgs  `embed:""`
	changeFlags `embed:""`
}

// Run removes the budget.
func (br budgetRemove) Run(en *env, ad *adminCmd) error {
	return change(en, ad, http.MethodDelete, admcli.Path("accounts", br.Account, "budgets", br.Budget), br.changeFlags, nil)
}

type budgetTopUp struct {
	budgetArgs `embed:""`
	Tokens     int64 `arg:"" help:"Tokens to add, at least 1."`
	opFlag     `embed:""`
}

// Run tops the budget up.
func (bt budgetTopUp) Run(en *env, ad *adminCmd) error {
	rq := admcli.Request{
		Method: http.MethodPost, Path: admcli.Path("accounts", bt.Account, "budgets", bt.Budget, "topups"),
		Query: bt.query(), Body: adapt.TopUp{Amount: ident.Tokens(bt.Tokens)},
	}
	return sendAndPrint(en, ad, rq, func(wr io.Writer, tu adapt.TopUpResponse) {
		_, _ = fmt.Fprintf(wr, "topped up (op %s)\n", tu.Op)
		printBalance(wr, tu.Balance)
	})
}
