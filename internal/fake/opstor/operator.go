package opstor

// Route is a route that the operator writes.
type Route struct{ Prefix, Kind, Service string }

// Account is a client account that the operator writes.
type Account struct {
	Name, Key string
	Prepaid   int
}

// Site is what the operator of a small deployment writes.
type Site struct {
	Host     string
	Routes   []Route
	Accounts []Account
	// Engines and Services name the services with model engines, whose events
	// hold EventTokens tokens each, and the plain ones.
	Engines, Services []string
	EventTokens       int
}

// Configure writes a version of the configuration.
func (st *Store) Configure(version int, si Site) {
	var routes, services, accounts []any
	for _, ro := range si.Routes {
		routes = append(routes, map[string]any{
			"Name": ro.Prefix, "Hostname": si.Host, "Prefix": ro.Prefix, "RouteType": ro.Kind, "TimeoutMs": 5000,
			"LatencyGoalMs": 500, "Service": ro.Service, "MaxAttempts": 1,
		})
	}
	for _, name := range si.Engines {
		services = append(services, map[string]any{"Name": name, "Backend": map[string]any{"Slots": 8, "Stride": si.EventTokens}})
	}
	for _, name := range si.Services {
		services = append(services, map[string]any{"Name": name})
	}
	for _, ac := range si.Accounts {
		accounts = append(accounts, map[string]any{"Name": ac.Name, "ApiKeys": []string{ac.Key}, "Prepaid": ac.Prepaid})
	}
	st.Put("op", "config", map[string]any{"Version": version, "Routes": routes, "Services": services, "Tenants": accounts})
}

// Register writes the entry of an upstream.
func (st *Store) Register(id, service, addr string) {
	st.Put("servers", id, map[string]any{"Service": service, "Address": addr, "Zone": "z", "Slots": 8, "State": "ready"})
}
