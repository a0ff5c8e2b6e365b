package config

import "github.com/balsamwood/balsamwood/internal/core/ident"

// Kind is the kind of an upstream.
type Kind string

const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Plain is a plain service.
	Plain Kind = "plain"
)

// Upstream is a model engine or a plain service process behind a sidecar.
type Upstream struct {
	ID     ident.Upstream `json:"id"`
	VM     ident.VM       `json:"vm"`
	Kind   Kind           `json:"kind"`
	Domain ident.Domain   `json:"domain"`
	// Sidecar is the address of the sidecar in the form ip:port.
	Sidecar string        `json:"sidecar"`
	Models  []ident.Model `json:"models,omitempty"`
	Service ident.Service `json:"service,omitempty"`
	// ChecksFencing says that the upstream itself refuses an order with a
	// superseded fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Service is a plain service and the calls it offers.
type Service struct {
	ID     ident.Service `json:"id"`
	Routes []Route       `json:"routes"`
}

// Route is a call of a plain service.
type Route struct {
	Method string `json:"method"`
	// Path is an exact path below the service, or a prefix when it ends in "/".
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	// Cost is the charge to the budget for one call.
	Cost ident.Tokens `json:"cost,omitempty"`
}
