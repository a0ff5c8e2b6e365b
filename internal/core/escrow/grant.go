package escrow

import "github.com/balsamwood/balsamwood/internal/core/ident"

// GrantRow is the ledger row of one holder for one budget. Its counters are
// cumulative, so that a settlement written twice counts once. It is immutable.
type GrantRow struct {
	Drawn    ident.Tokens `json:"drawn"`
	Settled  ident.Tokens `json:"settled"`
	Returned ident.Tokens `json:"returned"`
	// Seq numbers the writes of the holder, and Op identifies the last one.
	Seq    uint64   `json:"seq"`
	Op     ident.Op `json:"op"`
	Closed bool     `json:"closed,omitempty"`
	// Shelved and Armed count the tokens that the holder put on its shelf and
	// took from it. The shelf opens evenly from the time ShelvedUntil of the
	// store's clock over ShelfSpan, both in milliseconds, unless the row is
	// written again.
	Shelved      ident.Tokens `json:"shelved,omitempty"`
	Armed        ident.Tokens `json:"armed,omitempty"`
	ShelvedUntil int64        `json:"shelvedUntil,omitempty"`
	ShelfSpan    int64        `json:"shelfSpan,omitempty"`
	// ResolvedBy names the operator who settled the grant without evidence.
	ResolvedBy ident.Operator `json:"resolvedBy,omitempty"`
}

// Outstanding returns the tokens that are drawn and neither settled nor
// returned.
func (gr GrantRow) Outstanding() ident.Tokens { return gr.Drawn - gr.Settled - gr.Returned }

// Shelf returns the tokens that the holder has put aside.
func (gr GrantRow) Shelf() ident.Tokens { return gr.Shelved - gr.Armed }

// WithShelvedUntil returns a copy whose shelf opens from the time of the store's
// clock on, over the span, both in milliseconds.
func (gr GrantRow) WithShelvedUntil(at, span int64) GrantRow {
	gr.ShelvedUntil, gr.ShelfSpan = at, span
	return gr
}

// Opened returns how much of a shelf may be used at the time now.
func Opened(shelf ident.Tokens, until, span, now int64) ident.Tokens {
	switch past := now - until; {
	case past <= 0:
		return 0
	case past >= span:
		return shelf
	default:
		return ident.Tokens(float64(shelf) * float64(past) / float64(span))
	}
}

// WithOp returns a copy with the next sequence number and the operation id.
func (gr GrantRow) WithOp(op ident.Op) GrantRow {
	gr.Seq++
	gr.Op = op
	return gr
}

// WithResolvedBy returns a copy that names the operator who resolved it.
func (gr GrantRow) WithResolvedBy(by ident.Operator) GrantRow {
	gr.ResolvedBy = by
	return gr
}

// Entry is the pair of rows that every transition of a grant changes together.
type Entry struct {
	Budget BudgetRow
	Grant  GrantRow
}

// Draw moves free tokens to the grant.
func (en Entry) Draw(amount ident.Tokens) (Entry, error) {
	switch {
	case amount <= 0:
		return en, ErrAmount
	case en.Grant.Closed:
		return en, ErrClosed
	case amount > en.Budget.Free():
		return en, ErrShort
	}
	nx := en
	nx.Grant.Drawn += amount
	nx.Budget.Granted += amount
	nx.Budget.Wanted = 0
	return nx.counted(en), nil
}

// Settle charges outstanding tokens to the budget.
func (en Entry) Settle(used ident.Tokens) (Entry, error) {
	if err := en.check(used); err != nil {
		return en, err
	}
	nx := en
	nx.Grant.Settled += used
	nx.Budget.Settled += used
	nx.Budget.Granted -= used
	return nx.counted(en), nil
}

// Return makes outstanding tokens free.
func (en Entry) Return(amount ident.Tokens) (Entry, error) {
	if err := en.check(amount); err != nil {
		return en, err
	}
	nx := en
	nx.Grant.Returned += amount
	nx.Budget.Granted -= amount
	return nx.counted(en), nil
}

// Shelve puts outstanding tokens aside.
func (en Entry) Shelve(amount ident.Tokens) (Entry, error) {
	if amount < 0 {
		return en, ErrAmount
	}
	if err := en.check(amount + en.Grant.Shelf()); err != nil {
		return en, err
	}
	en.Grant.Shelved += amount
	return en, nil
}

// Arm takes tokens from the shelf.
func (en Entry) Arm(amount ident.Tokens) (Entry, error) {
	if amount < 0 || amount > en.Grant.Shelf() {
		return en, ErrAmount
	}
	en.Grant.Armed += amount
	return en, nil
}

// Reclaim frees the part of the shelf that a holder cannot have used which was
// dead when the store's clock showed now.
func (en Entry) Reclaim(now int64) (Entry, error) {
	gr := en.Grant
	amount := gr.Shelf() - Opened(gr.Shelf(), gr.ShelvedUntil, gr.ShelfSpan, now)
	if amount <= 0 {
		return en, nil
	}
	nx, err := en.Arm(amount)
	if err != nil {
		return en, err
	}
	return nx.Return(amount)
}

// Close closes a grant that has no outstanding tokens.
func (en Entry) Close() (Entry, error) {
	if en.Grant.Outstanding() != 0 {
		return en, ErrExcess
	}
	en.Grant.Closed = true
	return en, nil
}

// Recover closes the grant of a dead holder. used is the total that its
// requests used according to complete evidence; it includes what the holder
// settled itself. The remainder becomes free. A total above the drawn tokens
// is charged only as far as tokens are held, and the rest is returned as
// uncovered.
func (en Entry) Recover(used ident.Tokens) (nx Entry, uncovered ident.Tokens, err error) {
	if used < 0 {
		return en, 0, ErrAmount
	}
	if en.Grant.Closed {
		return en, 0, ErrClosed
	}
	charge := max(0, used-en.Grant.Settled)
	uncovered = max(0, charge-en.Grant.Outstanding())
	nx, err = en.Settle(charge - uncovered)
	if err != nil {
		return en, 0, err
	}
	if nx, err = nx.Return(nx.Grant.Outstanding()); err != nil {
		return en, 0, err
	}
	nx, err = nx.Close()
	return nx, uncovered, err
}

// Resolve closes a grant without complete evidence, on the word of an
// operator.
func (en Entry) Resolve(used ident.Tokens, by ident.Operator) (Entry, error) {
	nx, uncovered, err := en.Recover(used)
	if err != nil {
		return en, err
	}
	if uncovered > 0 {
		return en, ErrExcess
	}
	nx.Grant = nx.Grant.WithResolvedBy(by)
	return nx, nil
}

func (en Entry) check(amount ident.Tokens) error {
	switch {
	case amount < 0:
		return ErrAmount
	case en.Grant.Closed:
		return ErrClosed
	case amount > en.Grant.Outstanding():
		return ErrExcess
	}
	return nil
}

// counted adjusts the number of holders to the change since old.
func (en Entry) counted(old Entry) Entry {
	was, is := old.Grant.Outstanding() > 0, en.Grant.Outstanding() > 0
	if is && !was {
		en.Budget.Holders++
	}
	if was && !is {
		en.Budget.Holders--
	}
	return en
}
