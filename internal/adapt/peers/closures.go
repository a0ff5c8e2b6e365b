package peers

import (
	"context"
	"net/http"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// maxClosuresBytes bounds the message with the closed failure domains.
const maxClosuresBytes = 256 << 10

// closures is the closed failure domains at a position in the history of the store.
type closures struct {
	Era      uint64    `json:"era"`
	Version  uint64    `json:"version"`
	Closures []closure `json:"closures"`
}

// closure is one closed failure domain. LeftMs is how long it stays closed if the store
// has lost the row, or zero.
type closure struct {
	Domain  ident.Domain `json:"domain"`
	Era     uint64       `json:"era"`
	Version uint64       `json:"version"`
	LeftMs  int64        `json:"leftMs,omitempty"`
}

func closuresOf(st follow.ClosureState, now time.Time) closures {
	out := closures{Era: st.Position.Era, Version: st.Position.Version}
	for _, cl := range st.Closures {
		doc := closure{Domain: cl.Domain, Era: cl.Position.Era, Version: cl.Position.Version}
		if !cl.Until.IsZero() {
			doc.LeftMs = max(1, cl.Until.Sub(now).Milliseconds())
		}
		out.Closures = append(out.Closures, doc)
	}
	return out
}

// state returns the state that the message was made of.
func (cs closures) state(now time.Time) follow.ClosureState {
	st := follow.ClosureState{Position: epoch.At(cs.Era, cs.Version)}
	for _, doc := range cs.Closures {
		cl := follow.Closure{Domain: doc.Domain, Position: epoch.At(doc.Era, doc.Version)}
		if doc.LeftMs > 0 {
			cl = cl.WithUntil(now.Add(time.Duration(doc.LeftMs) * time.Millisecond))
		}
		st.Closures = append(st.Closures, cl)
	}
	return st
}

// serveClosures responds with the closed failure domains, or without a body while they
// are not known.
func serveClosures(current func() (follow.ClosureState, bool)) http.HandlerFunc {
	return func(wr http.ResponseWriter, _ *http.Request) {
		st, ok := current()
		if !ok {
			wr.WriteHeader(http.StatusNoContent)
			return
		}
		writeJSON(wr, closuresOf(st, time.Now()))
	}
}

// FetchClosures requests the closed failure domains that the router at addr knows, and
// reports whether it knows them.
func (cl *Client) FetchClosures(ctx context.Context, addr string) (follow.ClosureState, bool, error) {
	ctx, stop := client.WithLowestRate(ctx, time.Now().Add(configTimeout), configRate)
	defer stop()
	var doc *closures
	if err := cl.get(ctx, addr+closuresPath, maxClosuresBytes, &doc); err != nil || doc == nil {
		return follow.ClosureState{}, false, err
	}
	return doc.state(time.Now()), true, nil
}
