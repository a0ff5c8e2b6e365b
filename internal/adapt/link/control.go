package link

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// controlTimeout bounds the handling of one control message.
const controlTimeout = 30 * time.Second

// orderTimeout replaces controlTimeout for orders, because an engine may
// respond only after it has loaded the model or adapter.
const orderTimeout = 10 * time.Minute

// unchangedPeriods is the number of periods after which an unchanged report is
// sent again, so that a router can tell an idle sidecar from a silent one.
const unchangedPeriods = 5

// serveControl serves the control stream of a router: it exchanges Hello, sends
// load reports and handles control messages until the stream ends.
func (sv *Server) serveControl(ctx context.Context, fc *frameConn, he *wire.Hello) {
	if he.GetProtocol() != protocolVersion {
		return
	}
	re, doc := sv.control.InForce()
	if err := fc.send(&wire.Frame{Body: &wire.Frame_Hello{Hello: sv.id.hello(re)}}); err != nil {
		return
	}
	// A router that starts while the table is unavailable gets the
	// configuration from the sidecars that it reaches.
	if re > ident.Revision(he.GetRevision()) && fc.send(configUpdate(re, codec.Compress(doc, codec.Small))) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { sv.sendReports(ctx, fc) })
	for {
		fr, err := fc.recv()
		if err != nil {
			_ = fc.Close()
			return
		}
		wg.Go(func() { sv.handleControl(ctx, fc, fr) })
	}
}

// sendReports compares the load report once per period with the one last sent.
// It sends a report that has changed, or is due after unchangedPeriods.
func (sv *Server) sendReports(ctx context.Context, fc *frameConn) {
	ti := time.NewTicker(sv.reportPeriod)
	defer ti.Stop()
	var last *wire.LoadReport
	var seq uint64
	for unchanged := 0; ; unchanged++ {
		if rp, ok := sv.sidecar.Report(); ok {
			now := fromReport(rp, 0, sv.routerCount())
			if last == nil || unchanged >= unchangedPeriods || reportChanged(last, now) {
				last, unchanged = now, 0
				seq++
				out := fromReport(rp, seq, int(now.GetRouters()))
				if fc.send(&wire.Frame{Body: &wire.Frame_LoadReport{LoadReport: out}}) != nil {
					return
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ti.C:
		}
	}
}

// configUpdate returns a ConfigUpdate frame. Without a document, a router
// announces the revision with it and a sidecar requests the document.
func configUpdate(re ident.Revision, doc []byte) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_ConfigUpdate{ConfigUpdate: &wire.ConfigUpdate{
		Revision: uint64(re), Document: doc,
	}}}
}

// reportChanged reports whether the reports differ in more than their time.
func reportChanged(old, now *wire.LoadReport) bool {
	cp := proto.CloneOf(now)
	cp.AtUnixMillis = old.GetAtUnixMillis()
	return !proto.Equal(old, cp)
}

// handleControl handles one message of the control stream.
func (sv *Server) handleControl(ctx context.Context, fc *frameConn, fr *wire.Frame) {
	limit := controlTimeout
	if fr.GetOrder() != nil {
		limit = orderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	switch bo := fr.GetBody().(type) {
	case *wire.Frame_ConfigUpdate:
		sv.configOffered(fc, bo.ConfigUpdate)
	case *wire.Frame_CloseIncarnation:
		in := ident.Incarnation(bo.CloseIncarnation.GetIncarnation())
		used, err := sv.control.CloseIncarnation(ctx, in)
		if err != nil {
			return
		}
		_ = fc.send(fromBudgetUsage(in, used))
	case *wire.Frame_Order:
		or := bo.Order
		err := sv.control.Order(ctx, engine.Order{
			Fence: ident.Fence(or.GetFence()), Kind: engine.OrderKind(or.GetKind()), Subject: or.GetSubject(),
		})
		do := &wire.OrderDone{Id: or.GetId()}
		if err != nil {
			do.Error = refuse.From(err).Error()
		}
		_ = fc.send(&wire.Frame{Body: &wire.Frame_OrderDone{OrderDone: do}})
	}
}

// configOffered handles a ConfigUpdate frame: it requests the document of an
// announced revision, or passes on a received document.
func (sv *Server) configOffered(fc *frameConn, cu *wire.ConfigUpdate) {
	re := ident.Revision(cu.GetRevision())
	if len(cu.GetDocument()) > 0 {
		if doc, err := codec.Decompress(cu.GetDocument(), maxDocumentBytes); err == nil {
			sv.control.OfferConfig(re, doc)
		}
		return
	}
	if has, _ := sv.control.InForce(); re > has && sv.documentRequests.shouldRequest(re, time.Now()) {
		_ = fc.send(configUpdate(re, nil))
	}
}

func fromBudgetUsage(in ident.Incarnation, used []BudgetUsage) *wire.Frame {
	ci := &wire.ClosedIncarnation{Incarnation: string(in)}
	for _, us := range used {
		ci.Used = append(ci.Used, &wire.BudgetUsage{
			Account: string(us.Budget.Account), Budget: string(us.Budget.Budget), Tokens: int64(us.Tokens),
		})
	}
	return &wire.Frame{Body: &wire.Frame_ClosedIncarnation{ClosedIncarnation: ci}}
}

func toBudgetUsage(ci *wire.ClosedIncarnation) []BudgetUsage {
	out := make([]BudgetUsage, 0, len(ci.GetUsed()))
	for _, us := range ci.GetUsed() {
		out = append(out, BudgetUsage{
			Budget: ident.BudgetRef{Account: ident.Account(us.GetAccount()), Budget: ident.Budget(us.GetBudget())},
			Tokens: ident.Tokens(us.GetTokens()),
		})
	}
	return out
}
