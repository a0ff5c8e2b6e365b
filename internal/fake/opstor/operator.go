package opstor

// Route is a configured route.
type Route struct {
	Prefix, Kind, Service string
	// Resumable says that a stream may go on at another upstream.
	Resumable bool
}

// Account is a configured client account.
type Account struct {
	Name, Key string
	Prepaid   int
}

// Config is the configuration of a small deployment as its operator writes it.
type Config struct {
	Host     string
	Routes   []Route
	Accounts []Account
	// Engines names the services with model engines and Services the plain ones.
	Engines, Services []string
	// EventTokens is the number of tokens in each event of a model engine.
	EventTokens int
	// ColdS is how long upstreams are cold after their start, in seconds, and ColdPerS
	// the number of requests a second that they tolerate meanwhile.
	ColdS, ColdPerS float64
	// MaxBodyBytes is the size of the largest body of a request; zero sets no limit.
	MaxBodyBytes int
}

// Configure writes the configuration as the given version.
func (st *Store) Configure(version int, co Config) {
	var routes, services, accounts []any
	for _, ro := range co.Routes {
		routes = append(routes, map[string]any{
			"Name": ro.Prefix, "Hostname": co.Host, "Prefix": ro.Prefix, "RouteType": ro.Kind, "TimeoutMs": 5000,
			"LatencyGoalMs": 500, "Service": ro.Service, "MaxAttempts": 1, "Resumable": ro.Resumable,
		})
	}
	for _, name := range co.Engines {
		services = append(services, map[string]any{"Name": name, "Backend": map[string]any{"Slots": 8, "Stride": co.EventTokens}, "ColdS": co.ColdS, "ColdPerS": co.ColdPerS})
	}
	for _, name := range co.Services {
		services = append(services, map[string]any{"Name": name, "ColdS": co.ColdS, "ColdPerS": co.ColdPerS})
	}
	for _, ac := range co.Accounts {
		accounts = append(accounts, map[string]any{"Name": ac.Name, "ApiKeys": []string{ac.Key}, "Prepaid": ac.Prepaid})
	}
	st.Put("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Tenants": accounts,
		"Limits": map[string]any{"MaxBodyBytes": co.MaxBodyBytes},
	})
}

// Register writes the row of an upstream that names no software release.
func (st *Store) Register(id, service, addr string) { st.RegisterRelease(id, service, addr, "") }

// RegisterRelease writes the row of an upstream of a software release.
func (st *Store) RegisterRelease(id, service, addr, release string) {
	row := map[string]any{"Service": service, "Address": addr, "Zone": "z", "Slots": 8, "State": "ready"}
	if release != "" {
		row["Version"] = release
	}
	st.Put("servers", id, row)
}
