package budget

import (
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// opening says how a shelf opens: from the time until of the store's clock on,
// evenly over the span, both in milliseconds. It is immutable.
type opening struct {
	until, span int64
	shelf       ident.Tokens
}

func openingOf(gr escrow.GrantRow) opening {
	return opening{until: gr.ShelvedUntil, span: gr.ShelfSpan, shelf: gr.Shelf()}
}

// WithWrite returns the latest opening of the row before and after a write,
// because one without an answer may have arrived or not.
func (op opening) WithWrite(nx opening) opening {
	return opening{until: max(op.until, nx.until), span: max(op.span, nx.span), shelf: min(op.shelf, nx.shelf)}
}

// at returns the tokens that have opened at the time ms.
func (op opening) at(ms int64) ident.Tokens { return escrow.Opened(op.shelf, op.until, op.span, ms) }

// when returns the time at which so many tokens have opened, and whether there
// is one.
func (op opening) when(tokens ident.Tokens) (ms int64, ok bool) {
	if tokens > op.shelf || op.shelf <= 0 {
		return 0, false
	}
	return op.until + int64(float64(op.span)*float64(tokens)/float64(op.shelf)) + 1, true
}
