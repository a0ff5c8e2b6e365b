// Package intent holds an operator's routing configuration: routes by host and
// path, the services behind them, client accounts with their keys and prepaid
// totals, and the limits on callers. All values are immutable.
package intent

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Limits bounds the sizes of requests in bytes and the times that callers may
// take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the longest time in which a header must arrive, and
	// IdleTimeout the longest time without a request on an open connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name ident.Service
	// MaxConns is the number of connections that one upstream accepts from all
	// routers together; zero means unknown.
	MaxConns int
	// Engine says that the upstreams are model engines. Each runs up to Slots
	// requests at once and has a KV cache for CacheTokens tokens.
	Engine      bool
	Slots       int
	CacheTokens ident.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens ident.Tokens
	// ColdTime is how long an upstream that has started tolerates only few requests, and
	// ColdRate the number of requests a second that it tolerates. If one of them is zero,
	// the upstreams are never cold.
	ColdTime time.Duration
	ColdRate float64
	// Fault describes figures for cold upstreams that cannot be used, or is empty. Those
	// of the configuration before stay in force.
	Fault string
}

// WithCold returns a copy with the figures for cold upstreams of another version.
func (se Service) WithCold(other Service) Service {
	se.ColdTime, se.ColdRate = other.ColdTime, other.ColdRate
	return se
}

// Account is a client account with its prepaid total.
type Account struct {
	Name ident.Account
	Keys []string
	// Priority takes precedence over the priority of a route; zero is the
	// highest.
	Priority int
	Prepaid  ident.Tokens
	// Metered says that the account has a prepaid total at all.
	Metered bool
}

// Config is one version of the routing configuration.
type Config struct {
	revision ident.Revision
	limits   Limits
	routes   map[string][]Route
	services map[ident.Service]Service
	accounts map[ident.Account]Account
	keys     map[string]ident.Account
}

// New returns a configuration without routes.
func New(revision ident.Revision, limits Limits) Config {
	return Config{revision: revision, limits: limits}
}

// Revision returns the version, or zero if none is known yet.
func (co Config) Revision() ident.Revision { return co.revision }

// Limits returns the bounds on callers.
func (co Config) Limits() Limits { return co.limits }

// AuthDisabled reports whether callers need no key because there are no accounts.
func (co Config) AuthDisabled() bool { return len(co.accounts) == 0 }

// WithRoutes returns a copy with the routes replaced.
func (co Config) WithRoutes(routes ...Route) Config {
	next := make(map[string][]Route)
	for _, ro := range routes {
		host := strings.ToLower(ro.Host)
		next[host] = append(next[host], ro)
	}
	for _, list := range next {
		slices.SortStableFunc(list, func(one, two Route) int { return cmp.Compare(len(two.Prefix), len(one.Prefix)) })
	}
	co.routes = next
	return co
}

// WithServices returns a copy with the services replaced.
func (co Config) WithServices(services ...Service) Config {
	co.services = make(map[ident.Service]Service, len(services))
	for _, se := range services {
		co.services[se.Name] = se
	}
	return co
}

// WithoutFaults returns a copy in which services with faults have the figures of the
// configuration before.
func (co Config) WithoutFaults(before Config) Config {
	next := make([]Service, 0, len(co.services))
	for _, se := range co.services {
		if se.Fault != "" {
			se = se.WithCold(before.services[se.Name])
		}
		next = append(next, se)
	}
	return co.WithServices(next...)
}

// Faults returns the descriptions of all figures that cannot be used, ordered by service.
func (co Config) Faults() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(co.services)) {
		if fault := co.services[name].Fault; fault != "" {
			out = append(out, fault)
		}
	}
	return out
}

// WithAccounts returns a copy with the accounts replaced.
func (co Config) WithAccounts(accounts ...Account) Config {
	co.accounts = make(map[ident.Account]Account, len(accounts))
	co.keys = make(map[string]ident.Account)
	for _, ac := range accounts {
		co.accounts[ac.Name] = ac
		for _, key := range ac.Keys {
			co.keys[key] = ac.Name
		}
	}
	return co
}

// Route returns the host's route with the longest prefix that matches the path.
// The path is compared as it was sent, without decoding.
func (co Config) Route(host, path string) (Route, bool) {
	for _, ro := range co.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro, true
		}
	}
	return Route{}, false
}

// Service returns the service with the name.
func (co Config) Service(name ident.Service) (Service, bool) {
	se, ok := co.services[name]
	return se, ok
}

// Account returns the account with the name.
func (co Config) Account(name ident.Account) (Account, bool) {
	ac, ok := co.accounts[name]
	return ac, ok
}

// Accounts returns all accounts ordered by name.
func (co Config) Accounts() []Account {
	return slices.SortedFunc(maps.Values(co.accounts), func(one, two Account) int { return cmp.Compare(one.Name, two.Name) })
}

// AccountByKey returns the account that holds the key.
func (co Config) AccountByKey(key string) (Account, bool) {
	name, ok := co.keys[key]
	if !ok {
		return Account{}, false
	}
	return co.accounts[name], true
}
