package link

import (
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// unixMillis returns Unix milliseconds, or 0 for the zero time.
func unixMillis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// fromUnixMillis is the inverse of unixMillis.
func fromUnixMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// EncodeDispatch encodes a dispatch as a frame.
func EncodeDispatch(di peer.Dispatch) *wire.Frame {
	ca := di.Call
	return &wire.Frame{Body: &wire.Frame_Dispatch{Dispatch: &wire.Dispatch{
		Request:            string(di.Request),
		Attempt:            di.Attempt,
		Account:            string(di.Account),
		Budget:             string(di.Budget),
		Router:             string(di.Router),
		ReservedTokens:     int64(di.Reserved),
		Idempotent:         di.Idempotent,
		Key:                string(ca.Key),
		Fingerprint:        di.Fingerprint,
		Method:             ca.Method,
		Path:               ca.Path,
		Header:             fromFields(ca.Header),
		Body:               ca.Body,
		DeadlineUnixMillis: unixMillis(ca.Deadline),
		Priority:           int32(ca.Priority),
		MaxTokens:          int64(ca.MaxTokens),
		Stream:             ca.Stream,
	}}}
}

// DecodeDispatch decodes the dispatch of a frame.
func DecodeDispatch(di *wire.Dispatch) peer.Dispatch {
	return peer.Dispatch{
		Request:     ident.Request(di.GetRequest()),
		Attempt:     di.GetAttempt(),
		Account:     ident.Account(di.GetAccount()),
		Budget:      ident.Budget(di.GetBudget()),
		Router:      ident.Incarnation(di.GetRouter()),
		Reserved:    ident.Tokens(di.GetReservedTokens()),
		Idempotent:  di.GetIdempotent(),
		Fingerprint: di.GetFingerprint(),
		Call: engine.Call{
			Request:   ident.Request(di.GetRequest()),
			Key:       ident.Key(di.GetKey()),
			Method:    di.GetMethod(),
			Path:      di.GetPath(),
			Header:    toFields(di.GetHeader()),
			Body:      di.GetBody(),
			Deadline:  fromUnixMillis(di.GetDeadlineUnixMillis()),
			Priority:  int(di.GetPriority()),
			MaxTokens: ident.Tokens(di.GetMaxTokens()),
			Stream:    di.GetStream(),
		},
	}
}

// validUTF8 replaces bytes that are not UTF-8, which protobuf does not encode.
// Otherwise a header or an error text of an upstream could make it impossible
// to send an event.
func validUTF8(val string) string { return strings.ToValidUTF8(val, "\uFFFD") }

func fromFields(fields []engine.Field) []*wire.Field {
	if len(fields) == 0 {
		return nil
	}
	out := make([]*wire.Field, len(fields))
	for ix, fi := range fields {
		out[ix] = &wire.Field{Name: validUTF8(fi.Name), Value: validUTF8(fi.Value)}
	}
	return out
}

func toFields(fields []*wire.Field) []engine.Field {
	if len(fields) == 0 {
		return nil
	}
	out := make([]engine.Field, len(fields))
	for ix, fi := range fields {
		out[ix] = engine.Field{Name: fi.GetName(), Value: fi.GetValue()}
	}
	return out
}

func fromRefusal(re ident.Request, attempt uint32, rf *refuse.Refusal) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Refused{Refused: &wire.Refused{
		Request:           string(re),
		Attempt:           attempt,
		Reason:            string(rf.Reason),
		Detail:            validUTF8(rf.Detail),
		Unknown:           rf.Outcome != refuse.NotRun,
		RetryAtUnixMillis: unixMillis(rf.RetryAt),
	}}}
}

func toRefusal(re *wire.Refused) *refuse.Refusal {
	rf := refuse.New(refuse.Reason(re.GetReason()), "%s", re.GetDetail())
	if re.GetUnknown() {
		rf = rf.WithOutcome(refuse.Unknown)
	}
	return rf.WithRetryAt(fromUnixMillis(re.GetRetryAtUnixMillis()))
}

// EncodeEvent encodes an event as a frame. Only the last frame of a response
// carries the load report, which saves control frames on busy links.
func EncodeEvent(ev peer.Event, load *wire.LoadReport) *wire.Frame {
	switch ev.Kind {
	case peer.Accepted:
		return &wire.Frame{Body: &wire.Frame_Accepted{Accepted: &wire.Accepted{
			Request: string(ev.Request), Attempt: ev.Attempt,
		}}}
	case peer.Data:
		return &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{
			Request: string(ev.Request), Attempt: ev.Attempt, Seq: ev.Seq,
			Data: ev.Chunk.Data, Tokens: int64(ev.Chunk.Tokens),
		}}}
	case peer.Final:
		return &wire.Frame{Body: &wire.Frame_Final{Final: &wire.Final{
			Request: string(ev.Request), Attempt: ev.Attempt, Chunks: ev.Seq,
			Status: int32(ev.Result.Status), Header: fromFields(ev.Result.Header),
			PromptTokens:     int64(ev.Result.Usage.Prompt),
			CompletionTokens: int64(ev.Result.Usage.Completion),
			ChargedTokens:    int64(ev.Charged), Replay: ev.Replay, LoadReport: load,
		}}}
	case peer.Refused:
		return fromRefusal(ev.Request, ev.Attempt, ev.Refusal)
	default:
		return fromFailure(ev)
	}
}

func fromFailure(ev peer.Event) *wire.Frame {
	rf := ev.Refusal
	if rf == nil {
		rf = refuse.New(refuse.Internal, "the event has no reason")
	}
	return &wire.Frame{Body: &wire.Frame_Failed{Failed: &wire.Failed{
		Request: string(ev.Request), Attempt: ev.Attempt,
		Reason: string(rf.Reason), Detail: validUTF8(rf.Detail),
		PromptTokens:     int64(ev.Result.Usage.Prompt),
		CompletionTokens: int64(ev.Result.Usage.Completion),
		ChargedTokens:    int64(ev.Charged),
	}}}
}

// DecodeEvent decodes a frame of a response. It reports false for other frames.
func DecodeEvent(fr *wire.Frame) (peer.Event, bool) {
	switch bo := fr.GetBody().(type) {
	case *wire.Frame_Accepted:
		return peer.Event{
			Kind: peer.Accepted, Request: ident.Request(bo.Accepted.GetRequest()), Attempt: bo.Accepted.GetAttempt(),
		}, true
	case *wire.Frame_Refused:
		return peer.Event{
			Kind: peer.Refused, Request: ident.Request(bo.Refused.GetRequest()), Attempt: bo.Refused.GetAttempt(),
			Refusal: toRefusal(bo.Refused),
		}, true
	case *wire.Frame_Chunk:
		ch := bo.Chunk
		return peer.Event{
			Kind: peer.Data, Request: ident.Request(ch.GetRequest()), Attempt: ch.GetAttempt(), Seq: ch.GetSeq(),
			Chunk: engine.Chunk{Data: ch.GetData(), Tokens: ident.Tokens(ch.GetTokens())},
		}, true
	case *wire.Frame_Final:
		return toFinal(bo.Final), true
	case *wire.Frame_Failed:
		fa := bo.Failed
		return peer.Event{
			Kind: peer.Failed, Request: ident.Request(fa.GetRequest()), Attempt: fa.GetAttempt(),
			Refusal: refuse.New(refuse.Reason(fa.GetReason()), "%s", fa.GetDetail()).WithOutcome(refuse.Unknown),
			Result:  engine.Result{Usage: usage(fa.GetPromptTokens(), fa.GetCompletionTokens())},
			Charged: ident.Tokens(fa.GetChargedTokens()),
		}, true
	default:
		return peer.Event{}, false
	}
}

func toFinal(fi *wire.Final) peer.Event {
	return peer.Event{
		Kind: peer.Final, Request: ident.Request(fi.GetRequest()), Attempt: fi.GetAttempt(), Seq: fi.GetChunks(),
		Result: engine.Result{
			Status: int(fi.GetStatus()),
			Header: toFields(fi.GetHeader()),
			Usage:  usage(fi.GetPromptTokens(), fi.GetCompletionTokens()),
		},
		Charged: ident.Tokens(fi.GetChargedTokens()),
		Replay:  fi.GetReplay(),
	}
}

func usage(prompt, completion int64) engine.Usage {
	return engine.Usage{Prompt: ident.Tokens(prompt), Completion: ident.Tokens(completion)}
}

func fromReport(rp peer.Report, seq uint64, routers int) *wire.LoadReport {
	ld := rp.Load
	return &wire.LoadReport{
		Seq:             seq,
		AtUnixMillis:    unixMillis(ld.At),
		Running:         uint32(max(ld.Running, 0)),
		Waiting:         uint32(max(ld.Waiting, 0)),
		Slots:           uint32(max(ld.Slots, 0)),
		QueuedTokens:    int64(ld.QueuedTokens),
		TokensPerSecond: ld.TokensPerSecond,
		Leaving:         rp.Leaving,
		Revision:        uint64(rp.Revision),
		Routers:         uint32(max(routers, 0)),
	}
}

func toReport(he *wire.Hello, rp *wire.LoadReport, now time.Time) peer.Report {
	return peer.Report{
		Upstream: ident.Upstream(he.GetUpstream()),
		VM:       ident.VM(he.GetVm()),
		Domain:   ident.Domain(he.GetDomain()),
		Sidecar:  ident.Incarnation(he.GetIncarnation()),
		Revision: ident.Revision(rp.GetRevision()),
		Load: engine.Load{
			At:              fromUnixMillis(rp.GetAtUnixMillis()),
			Running:         int(rp.GetRunning()),
			Waiting:         int(rp.GetWaiting()),
			Slots:           int(rp.GetSlots()),
			QueuedTokens:    ident.Tokens(rp.GetQueuedTokens()),
			TokensPerSecond: rp.GetTokensPerSecond(),
			Leaving:         rp.GetLeaving(),
		},
		Received: now,
		Leaving:  rp.GetLeaving(),
		Routers:  int(rp.GetRouters()),
	}
}
