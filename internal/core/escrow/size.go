package escrow

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// GrantSizer is a policy that sizes grants: it decides how many tokens a holder
// draws, given a demand of type D. It returns zero if nothing is to be drawn.
type GrantSizer[D any] interface {
	GrantSize(de D) ident.Tokens
}

// Demand describes a holder for which a grant is to be sized.
type Demand struct {
	// Free is the number of tokens that the budget can grant, and Holders the
	// number of holders with escrow, including this one.
	Free    ident.Tokens
	Holders int
	// Want is the number of tokens that the waiting request lacks, or the size
	// of a typical reservation if no request waits.
	Want ident.Tokens
	// Available is the number of tokens that the holder has for later requests,
	// including those that are locked.
	Available ident.Tokens
	// Prefetch means that escrow is drawn in advance: no request waits for it.
	Prefetch bool
	// Rate is the holder's recent reservation rate in tokens per second.
	Rate float64
	// Headroom says how much escrow the holder is to have in advance.
	Headroom Headroom
}

// Bounded limits the size that another policy returns: it is at most what is
// free, at least what a waiting request lacks, and zero if that is more than
// what is free.
type Bounded[S GrantSizer[Demand]] struct{ Inner S }

// Excess returns the excess that the inner policy computes, or zero if that policy
// has no Excess method.
func (bo Bounded[S]) Excess(de Demand) ident.Tokens {
	if re, ok := any(bo.Inner).(ReturningSizer[Demand]); ok {
		return re.Excess(de)
	}
	return 0
}

// GrantSize returns the size that the inner policy computes, within the bounds.
func (bo Bounded[S]) GrantSize(de Demand) ident.Tokens {
	if de.Want > de.Free {
		return 0
	}
	size := max(0, bo.Inner.GrantSize(de))
	if !de.Prefetch {
		size = max(size, de.Want)
	}
	return min(size, de.Free)
}

// Fixed draws the same number of tokens each time.
type Fixed struct{ Size ident.Tokens }

// GrantSize returns the fixed size.
func (fi Fixed) GrantSize(Demand) ident.Tokens { return fi.Size }

// Adaptive draws an equal share of the free tokens, limited to what the holder
// is expected to use in the time that its escrow is to last. Near the end of a
// budget the share falls below one request, and only the waiting request is
// drawn.
type Adaptive struct{}

// Headroom says how much escrow a holder has in advance.
type Headroom struct {
	// Seconds is the time, at the recent rate, for which the escrow suffices after
	// a draw. LowSeconds is the time for which it suffices at least before more is
	// drawn in advance: a holder can serve that long while the table does not
	// respond.
	Seconds, LowSeconds float64
	// Requests is the number of typical requests for which the escrow suffices
	// after a draw at least, in particular while no rate is known.
	Requests ident.Tokens
	// LowRequests is the number of typical requests below which more escrow is
	// drawn in advance, whatever the rate is.
	LowRequests ident.Tokens
	// Parts is the number of equal parts into which a holder's share of the free
	// tokens is divided (by ByUse: all free tokens). One draw takes at most one
	// part, so that later draws still find free tokens.
	Parts ident.Tokens
	// LeftParts is the number of equal parts into which the time that the budget lasts is
	// divided. The escrow suffices for at most one of them. Zero means no such limit.
	LeftParts float64
	// IdleParts is the number of equal parts into which a holder's share of the
	// free tokens is divided (ByUse only). A holder is to have at least one part in
	// advance, even without any use. Zero means that there is no such minimum.
	IdleParts ident.Tokens
	// scarce means that LeftParts limits the escrow.
	scarce bool
}

// WithTimeLeft returns a copy for a budget that lasts so long at the recent use.
func (he Headroom) WithTimeLeft(left time.Duration) Headroom {
	if he.LeftParts <= 0 || he.Seconds <= 0 {
		return he
	}
	if scale := left.Seconds() / he.LeftParts / he.Seconds; scale < 1 {
		he.Seconds *= scale
		he.LowSeconds *= scale
		he.Requests = max(he.LowRequests, ident.Tokens(float64(he.Requests)*scale))
		he.scarce = true
	}
	return he
}

// HeadroomFor returns how much escrow a holder has in advance for the budgets
// of client accounts with the preference.
func HeadroomFor(pr config.Preference) Headroom {
	if pr == config.AvoidOverspend {
		return Headroom{Seconds: 30, LowSeconds: 15, Requests: 2, LowRequests: 2, Parts: 16}
	}
	return Headroom{Seconds: 90, LowSeconds: 60, Requests: 8, LowRequests: 2, Parts: 4}
}

// PrefetchThreshold returns the number of available tokens below which a holder
// draws in advance.
func (de Demand) PrefetchThreshold() ident.Tokens {
	return max(ident.Tokens(de.Rate*de.Headroom.LowSeconds), de.Headroom.LowRequests*de.Want)
}

// ShareBelowRequest reports whether the holder's share of the free tokens is
// below one request. Then another holder may be short of what this one has
// available.
func (de Demand) ShareBelowRequest() bool { return de.share() < de.Want }

// share returns one part of the holder's equal share of the free tokens.
func (de Demand) share() ident.Tokens {
	return de.Free / (ident.Tokens(max(1, de.Holders)) * max(1, de.Headroom.Parts))
}

// GrantSize returns the holder's share, limited to what it is expected to use.
func (Adaptive) GrantSize(de Demand) ident.Tokens {
	he, share := de.Headroom, de.share()
	if share < de.Want {
		if de.Prefetch {
			return 0
		}
		return de.Want
	}
	target := max(ident.Tokens(de.Rate*he.Seconds), de.Want*he.Requests)
	return min(share, target-de.Available)
}

// ByUse draws what the holder is expected to use in the time that its escrow is
// to last, whatever the number of holders: the requests of an account often
// reach few routers. One draw takes at most one part of the free tokens, so that
// the others find some as well.
type ByUse struct{}

// GrantSize returns what the holder lacks for its expected use, limited to one
// part of the free tokens. It is negative if the holder has more than its target.
func (ByUse) GrantSize(de Demand) ident.Tokens {
	return min(de.Free/max(1, de.Headroom.Parts), de.target()-de.Available)
}

// target returns the number of tokens that a holder that draws by use is to have
// in advance.
func (de Demand) target() ident.Tokens {
	target := max(ident.Tokens(de.Rate*de.Headroom.Seconds), de.Want*de.Headroom.Requests)
	if de.Headroom.IdleParts > 0 {
		target = max(target, de.Free/(ident.Tokens(max(1, de.Holders))*de.Headroom.IdleParts))
	}
	return target
}

// excessFactor is the multiple of its target that a holder may have before it returns the
// excess, so that small changes cause no writes. It is scarceExcessFactor while the time
// for which the budget lasts limits the target.
const (
	excessFactor       = 2
	scarceExcessFactor = 1.5
)

// Excess returns how many of its available tokens a holder is to return because
// its rate has fallen.
func (ByUse) Excess(de Demand) ident.Tokens {
	factor := float64(excessFactor)
	if de.Headroom.scarce {
		factor = scarceExcessFactor
	}
	if target := de.target(); float64(de.Available) > factor*float64(target) {
		return de.Available - target
	}
	return 0
}

// ReturningSizer is a policy that sizes grants and also decides how many tokens a
// holder returns.
type ReturningSizer[D any] interface {
	GrantSizer[D]
	// Excess returns how many of its available tokens a holder is to return.
	Excess(de D) ident.Tokens
}

// HomeNode is the policy of a home node, which draws for all holders of a budget;
// they get their tokens from it by peer transfer. It serves only as a comparison
// for the other policies.
type HomeNode struct{}

// GrantSize returns half of the free tokens, because no other holder draws.
func (HomeNode) GrantSize(de Demand) ident.Tokens { return de.Free / 2 }
