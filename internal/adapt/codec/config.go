package codec

import (
	"encoding/json"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Config encodes a configuration as a JSON document.
type Config struct{}

// Document is the JSON form of a configuration.
type Document struct {
	Revision  ident.Revision    `json:"revision"`
	Author    ident.Operator    `json:"author"`
	Accounts  []config.Account  `json:"accounts"`
	Upstreams []config.Upstream `json:"upstreams"`
	Services  []config.Service  `json:"services"`
	// ClosedDomains are the failure domains whose upstreams get no new requests.
	ClosedDomains []config.ClosedDomain `json:"closedDomains,omitempty"`
}

// Encode returns the JSON document of the configuration. Equal configurations have
// equal documents.
func (Config) Encode(sn config.Snapshot) ([]byte, error) {
	return json.Marshal(Document{
		Revision:      sn.Revision(),
		Author:        sn.Author(),
		Accounts:      sn.Accounts(),
		Upstreams:     sn.Upstreams(),
		Services:      sn.Services(),
		ClosedDomains: sn.ClosedDomains(),
	})
}

// Decode parses a JSON document.
func (Config) Decode(data []byte) (config.Snapshot, error) {
	var doc Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return config.Snapshot{}, err
	}
	sn := config.Snapshot{}.WithRevision(doc.Revision, doc.Author)
	for _, ac := range doc.Accounts {
		sn = sn.WithAccount(ac)
	}
	for _, up := range doc.Upstreams {
		sn = sn.WithUpstream(up)
	}
	for _, se := range doc.Services {
		sn = sn.WithService(se)
	}
	for _, cd := range doc.ClosedDomains {
		sn = sn.WithClosedDomain(cd.ID)
	}
	return sn, nil
}
