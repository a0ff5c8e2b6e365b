package link

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// controlTimeout bounds the handling of one control message.
const controlTimeout = 30 * time.Second

// orderTimeout bounds an order in place of controlTimeout, because an engine
// may answer only when it has loaded.
const orderTimeout = 10 * time.Minute

// unchangedPeriods is after how many periods an unchanged report is repeated,
// so that a router can tell a quiet sidecar from a silent one.
const unchangedPeriods = 5

func (sv *Server) serveControl(ctx context.Context, fc *frameConn, he *wire.Hello) {
	if he.GetProtocol() != protocolVersion {
		return
	}
	re, doc := sv.ct.InForce()
	if err := fc.send(&wire.Frame{Body: &wire.Frame_Hello{Hello: sv.id.hello(re)}}); err != nil {
		return
	}
	// A router that starts while the table is down learns the configuration
	// from the sidecars that it reaches.
	if re > ident.Revision(he.GetRevision()) && fc.send(configUpdate(re, pack(doc))) != nil {
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
		wg.Go(func() { sv.control(ctx, fc, fr) })
	}
}

// sendReports sends the load report when it changed, and at times when not.
func (sv *Server) sendReports(ctx context.Context, fc *frameConn) {
	ti := time.NewTicker(sv.period)
	defer ti.Stop()
	var last *wire.LoadReport
	var seq uint64
	for unchanged := 0; ; unchanged++ {
		if rp, ok := sv.si.Report(); ok {
			now := fromReport(rp, 0, sv.routers())
			if last == nil || unchanged >= unchangedPeriods || changed(last, now) {
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

// configUpdate returns a frame with a document. Without one, it announces the
// revision when it comes from a router, and asks for it when it comes from a
// sidecar.
func configUpdate(re ident.Revision, doc []byte) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_ConfigUpdate{ConfigUpdate: &wire.ConfigUpdate{
		Revision: uint64(re), Document: doc,
	}}}
}

func changed(old, now *wire.LoadReport) bool {
	cp := proto.CloneOf(now)
	cp.AtUnixMillis = old.GetAtUnixMillis()
	return !proto.Equal(old, cp)
}

func (sv *Server) control(ctx context.Context, fc *frameConn, fr *wire.Frame) {
	limit := controlTimeout
	if fr.GetOrder() != nil {
		limit = orderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	switch bo := fr.GetBody().(type) {
	case *wire.Frame_ConfigUpdate:
		sv.offered(fc, bo.ConfigUpdate)
	case *wire.Frame_CloseIncarnation:
		in := ident.Incarnation(bo.CloseIncarnation.GetIncarnation())
		used, err := sv.ct.CloseIncarnation(ctx, in)
		if err != nil {
			return
		}
		_ = fc.send(fromUsed(in, used))
	case *wire.Frame_Order:
		or := bo.Order
		err := sv.ct.Order(ctx, engine.Order{
			Fence: ident.Fence(or.GetFence()), Kind: engine.OrderKind(or.GetKind()), Subject: or.GetSubject(),
		})
		do := &wire.OrderDone{Id: or.GetId()}
		if err != nil {
			do.Error = refuse.From(err).Error()
		}
		_ = fc.send(&wire.Frame{Body: &wire.Frame_OrderDone{OrderDone: do}})
	}
}

// offered asks for an announced document, or passes on a document.
func (sv *Server) offered(fc *frameConn, cu *wire.ConfigUpdate) {
	re := ident.Revision(cu.GetRevision())
	if len(cu.GetDocument()) > 0 {
		if doc, err := unpack(cu.GetDocument()); err == nil {
			sv.ct.OfferConfig(re, doc)
		}
		return
	}
	if has, _ := sv.ct.InForce(); re > has && sv.asks.first(re, time.Now()) {
		_ = fc.send(configUpdate(re, nil))
	}
}

func fromUsed(in ident.Incarnation, used []Used) *wire.Frame {
	ci := &wire.ClosedIncarnation{Incarnation: string(in)}
	for _, us := range used {
		ci.Used = append(ci.Used, &wire.BudgetUsage{
			Account: string(us.Budget.Account), Budget: string(us.Budget.Budget), Tokens: int64(us.Tokens),
		})
	}
	return &wire.Frame{Body: &wire.Frame_ClosedIncarnation{ClosedIncarnation: ci}}
}

func toUsed(ci *wire.ClosedIncarnation) []Used {
	out := make([]Used, 0, len(ci.GetUsed()))
	for _, us := range ci.GetUsed() {
		out = append(out, Used{
			Budget: ident.BudgetRef{Account: ident.Account(us.GetAccount()), Budget: ident.Budget(us.GetBudget())},
			Tokens: ident.Tokens(us.GetTokens()),
		})
	}
	return out
}
