package escrow

import (
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Slicer decides how many tokens a holder draws, given a demand of type D. It
// returns zero if nothing should be drawn.
type Slicer[D any] interface {
	Slice(de D) ident.Tokens
}

// Demand describes a holder that is about to draw.
type Demand struct {
	// Free is what the budget can grant, and Holders counts the active holders
	// including this one.
	Free    ident.Tokens
	Holders int
	// Want is the worst case of the waiting request, or of a typical request
	// when Ahead is set.
	Want ident.Tokens
	// Available is what the holder can reserve without a draw.
	Available ident.Tokens
	// Ahead means that no request waits for the draw.
	Ahead bool
	// Rate is the holder's recent reservation rate in tokens per second.
	Rate  float64
	Cover Cover
}

// Bounded limits another policy to what a draw may take: at least the waiting
// request, at most what is free, and nothing if the request does not fit.
type Bounded[S Slicer[Demand]] struct{ Inner S }

// Excess returns what the inner policy gives back.
func (bo Bounded[S]) Excess(de Demand) ident.Tokens {
	if re, ok := any(bo.Inner).(Returner[Demand]); ok {
		return re.Excess(de)
	}
	return 0
}

// Slice returns the inner policy's slice within the bounds.
func (bo Bounded[S]) Slice(de Demand) ident.Tokens {
	if de.Want > de.Free {
		return 0
	}
	sl := max(0, bo.Inner.Slice(de))
	if !de.Ahead {
		sl = max(sl, de.Want)
	}
	return min(sl, de.Free)
}

// Fixed draws slices of one size.
type Fixed struct{ Size ident.Tokens }

// Slice returns the size.
func (fi Fixed) Slice(Demand) ident.Tokens { return fi.Size }

// Adaptive draws a share of what is free among the holders, limited to what
// the holder is expected to use within its cover. Near the end of a budget the
// share falls below one request, and only the waiting request is drawn.
type Adaptive struct{}

// Cover says how much escrow is held in advance.
type Cover struct {
	// Seconds of the recent rate are held in advance after a draw, and Low
	// seconds before the next one. The latter is how long a holder can serve at
	// least while the table does not answer.
	Seconds, Low float64
	// Requests is the number of typical requests drawn while no rate is known.
	Requests ident.Tokens
	// LowRequests is the number of typical requests below which a holder draws
	// ahead whatever its rate is.
	LowRequests ident.Tokens
	// Parts is the number of equal parts into which a holder's share of the
	// free tokens is divided, or all of them for ByUse, so that later draws still
	// find something free.
	Parts ident.Tokens
	// Idle is the number of equal parts of a holder's share of the free tokens
	// of which it keeps one without use. Zero means none.
	Idle ident.Tokens
}

// CoverFor returns the cover of a client account's weight.
func CoverFor(we config.Weight) Cover {
	if we == config.WeighOverspend {
		return Cover{Seconds: 30, Low: 15, Requests: 2, LowRequests: 2, Parts: 16}
	}
	return Cover{Seconds: 90, Low: 60, Requests: 8, LowRequests: 2, Parts: 4}
}

// Low returns the mark of available tokens below which a holder draws ahead.
func (de Demand) Low() ident.Tokens {
	return max(ident.Tokens(de.Rate*de.Cover.Low), de.Cover.LowRequests*de.Want)
}

// Tight reports whether the holder's share of the free tokens is below one
// request, so that what one holder has available another one may lack.
func (de Demand) Tight() bool { return de.share() < de.Want }

func (de Demand) share() ident.Tokens {
	return de.Free / (ident.Tokens(max(1, de.Holders)) * max(1, de.Cover.Parts))
}

// Slice returns the share, limited by the cover.
func (Adaptive) Slice(de Demand) ident.Tokens {
	co, share := de.Cover, de.share()
	if share < de.Want {
		if de.Ahead {
			return 0
		}
		return de.Want
	}
	need := max(ident.Tokens(de.Rate*co.Seconds), de.Want*co.Requests)
	return min(share, need-de.Available)
}

// ByUse draws what the holder is expected to use within its cover, whatever the
// number of holders: the requests of an account often reach few routers. The
// rest of what is free is left to the others by Parts.
type ByUse struct{}

// Slice returns what lacks to the expected use, limited by the part.
func (ByUse) Slice(de Demand) ident.Tokens {
	return min(de.Free/max(1, de.Cover.Parts), de.need()-de.Available)
}

// need returns what a holder that draws by use is to have.
func (de Demand) need() ident.Tokens {
	need := max(ident.Tokens(de.Rate*de.Cover.Seconds), de.Want*de.Cover.Requests)
	if de.Cover.Idle > 0 {
		need = max(need, de.Free/(ident.Tokens(max(1, de.Holders))*de.Cover.Idle))
	}
	return need
}

// excessSlack is the factor by which a holder may exceed what it needs before
// it returns the excess, so that small changes cause no writes.
const excessSlack = 2

// Excess returns how many of its available tokens a holder that draws by use is
// to return, because its rate has fallen.
func (ByUse) Excess(de Demand) ident.Tokens {
	if need := de.need(); de.Available > excessSlack*need {
		return de.Available - need
	}
	return 0
}

// Returner is a Slicer that also decides what a holder gives back.
type Returner[D any] interface {
	Slicer[D]
	Excess(de D) ident.Tokens
}

// Home draws for all holders of a budget, which then take from it by peer
// transfer. It is kept for measurement.
type Home struct{}

// Slice returns half of what is free, because no other holder draws.
func (Home) Slice(de Demand) ident.Tokens { return de.Free / 2 }
