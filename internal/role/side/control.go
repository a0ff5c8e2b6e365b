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

// control handles the control messages of routers.
type control struct{ si *Sidecar }

// OfferConfig follows the configuration if its revision is higher.
func (ct control) OfferConfig(re ident.Revision, document []byte) {
	if re <= ct.si.cfg.Load().Revision() {
		return
	}
	next, err := (codec.Config{}).Decode(document)
	if err != nil || next.Revision() != re {
		return
	}
	_, ok := ct.si.cfg.Update(func(cur config.Snapshot) (config.Snapshot, bool) { return config.Follow(cur, next) })
	if ok {
		ct.si.keep(re, document)
		ct.si.met.Log(evFollowed, slog.Uint64("revision", uint64(re)))
	}
}

// InForce returns the newest configuration that was offered.
func (ct control) InForce() (ident.Revision, []byte) {
	do := ct.si.doc.Load()
	return do.revision, do.data
}

// document is an encoded configuration.
type document struct {
	revision ident.Revision
	data     []byte
}

// keep remembers the document, to be offered to routers that have none.
func (si *Sidecar) keep(re ident.Revision, data []byte) {
	si.doc.Update(func(cur document) (document, bool) {
		return document{revision: re, data: data}, re > cur.revision
	})
}

// CloseIncarnation passes the closure on.
func (ct control) CloseIncarnation(ctx context.Context, in ident.Incarnation) ([]link.Used, error) {
	usages, err := ct.si.sv.CloseIncarnation(ctx, in)
	if err != nil {
		return nil, err
	}
	used := make([]link.Used, 0, len(usages))
	for _, us := range usages {
		used = append(used, link.Used{Budget: us.Budget, Tokens: us.Used})
	}
	return used, nil
}

// Order passes the order on.
func (ct control) Order(ctx context.Context, or engine.Order) error {
	return ct.si.gate.Order(ctx, or)
}
