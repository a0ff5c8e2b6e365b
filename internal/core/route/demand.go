package route

import (
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Demand describes what a request needs from an upstream.
type Demand struct {
	Model ident.Model
	Class config.Class
	// Prompt is the number of prompt tokens.
	Prompt ident.Tokens
	// Output is the expected number of completion tokens.
	Output ident.Tokens
	// Hint names the upstream that probably caches a prefix of the prompt.
	Hint Hint
	// Tried lists earlier attempts of the same request.
	Tried Tried
}

// Hint says that an upstream probably caches the first tokens of a prompt.
type Hint struct {
	Upstream ident.Upstream
	Tokens   ident.Tokens
}

// attempt holds the destination of an earlier attempt.
type attempt struct {
	upstream ident.Upstream
	domain   ident.Domain
}

// Tried is an immutable list of earlier attempts. Their upstreams are excluded;
// their failure domains are avoided while another one is usable.
type Tried struct {
	list []attempt
}

// With returns a copy that contains the upstream. If the domain is empty, the
// upstream is excluded but no failure domain is avoided.
func (tr Tried) With(up ident.Upstream, domain ident.Domain) Tried {
	next := make([]attempt, len(tr.list), len(tr.list)+1)
	copy(next, tr.list)
	return Tried{list: append(next, attempt{upstream: up, domain: domain})}
}

// Len returns the number of attempts.
func (tr Tried) Len() int { return len(tr.list) }

// Upstream reports whether the upstream was tried.
func (tr Tried) Upstream(up ident.Upstream) bool {
	for _, at := range tr.list {
		if at.upstream == up {
			return true
		}
	}
	return false
}

// Domain reports whether an upstream of the failure domain was tried.
func (tr Tried) Domain(domain ident.Domain) bool {
	for _, at := range tr.list {
		if at.domain == domain && domain != "" {
			return true
		}
	}
	return false
}
