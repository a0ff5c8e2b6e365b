package side

import (
	"context"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// controlHandler handles control messages from routers.
type controlHandler struct{ si *Sidecar }

// OfferConfig applies the configuration if its revision is higher than the one in
// force.
func (ct controlHandler) OfferConfig(re ident.Revision, document []byte) {
	if re <= ct.si.cfg.Load().Revision() {
		return
	}
	next, err := (codec.Config{}).Decode(document)
	if err != nil || next.Revision() != re {
		return
	}
	_, ok := ct.si.cfg.Update(func(cur config.Snapshot) (config.Snapshot, bool) { return config.Advance(cur, next) })
	if ok {
		ct.si.storeDocument(re, document)
		ct.si.met.Log(evConfigInForce, slog.Uint64("revision", uint64(re)))
	}
}

// InForce returns the configuration in force, encoded, with its revision.
func (ct controlHandler) InForce() (ident.Revision, []byte) {
	do := ct.si.doc.Load()
	return do.revision, do.data
}

// document is an encoded configuration.
type document struct {
	revision ident.Revision
	data     []byte
}

// storeDocument keeps the encoded configuration, so that it can be offered to
// routers that have none.
func (si *Sidecar) storeDocument(re ident.Revision, data []byte) {
	si.doc.Update(func(cur document) (document, bool) {
		return document{revision: re, data: data}, re > cur.revision
	})
}

// CloseIncarnation closes the router incarnation at this sidecar and returns what
// it used here.
func (ct controlHandler) CloseIncarnation(ctx context.Context, in ident.Incarnation) ([]link.BudgetUsage, error) {
	usages, err := ct.si.service.CloseIncarnation(ctx, in)
	if err != nil {
		return nil, err
	}
	used := make([]link.BudgetUsage, 0, len(usages))
	for _, us := range usages {
		used = append(used, link.BudgetUsage{Budget: us.Budget, Tokens: us.Used})
	}
	return used, nil
}

// Order checks the fencing number of the order and passes the order to the engine.
func (ct controlHandler) Order(ctx context.Context, or engine.Order) error {
	return ct.si.fenceGate.Order(ctx, or)
}
