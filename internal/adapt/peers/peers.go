// Package peers implements calls between routers that do not need the platform's
// store: routers lend each other escrow, provide their configuration, store the
// statement of a router that ends, say whether they have capacity, and access the table
// for a router that cannot reach it. The calls are JSON over HTTP.
package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/app/resume"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const (
	lendPath      = "/v1/lend"
	configPath    = "/v1/config"
	statementPath = "/v1/statement"
	closuresPath  = "/v1/closures"
	loadPath      = "/v1/load"
	// afterRevision is the parameter of a call for a configuration.
	afterRevision = "afterRevision"

	// maxMessageBytes bounds the messages of a loan, and maxDocumentBytes a
	// configuration or a statement.
	maxMessageBytes  = 4 << 10
	maxDocumentBytes = 8 << 20
	// callTimeout is the timeout of one call. The latency between routers is below
	// 1 ms, and a draw for another router takes two calls of 4 ms.
	callTimeout = 100 * time.Millisecond
	// configTimeout bounds a call for a configuration up to the header of its
	// response, while the link may be full.
	configTimeout = 300 * time.Millisecond
	// maxLenders bounds the number of routers that one request asks for escrow, and
	// borrowTimeout the total time of these calls.
	maxLenders    = 12
	borrowTimeout = 200 * time.Millisecond
	idlePerHost   = 2
	// statementCopies is the number of routers that store a statement. With
	// two, one of them may be lost.
	statementCopies = 2
)

// configRate is below a connection's share of a link of 10 Mbit/s that a hundred
// requests use at the same time.
var configRate = client.Rate{Bytes: 2 << 10, Window: 300 * time.Millisecond}

// loan is the request and the response of a loan.
type loan struct {
	Account ident.Account `json:"account,omitempty"`
	Budget  ident.Budget  `json:"budget,omitempty"`
	Tokens  ident.Tokens  `json:"tokens"`
	// Short is set if the budget has no tokens left that could be drawn.
	Short bool `json:"short,omitempty"`
}

// LocalRouter holds the functions and the table with which a router serves the
// calls of other routers.
type LocalRouter struct {
	// Lend charges up to the given number of tokens and returns how many were
	// charged. short reports that the budget has no tokens left that could be
	// drawn.
	Lend func(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens
	// CurrentConfig returns the row of the configuration in force and its revision,
	// which is zero while there is none.
	CurrentConfig func() (feed.Row, ident.Revision)
	// Closures returns the closed failure domains, and false while they are not known.
	Closures func() (follow.ClosureState, bool)
	// Load returns whether the router has capacity. It must not block.
	Load func() Load
	// AddStatement stores the last statement of a router that ends, and reports
	// whether it did.
	AddStatement func(st escrow.Statement) bool
	// AddStreams keeps records of streams, and FindStream returns what is known of one.
	AddStreams func(streams []resume.Stream)
	FindStream func(qu resume.Query) (resume.Stream, bool)
	// Table is the table, accessed directly by this router.
	Table store.Table
}

// Handler serves the calls of other routers.
func Handler(local LocalRouter) http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("POST "+lendPath, func(wr http.ResponseWriter, re *http.Request) {
		var lo loan
		if err := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxMessageBytes)).Decode(&lo); err != nil || lo.Tokens <= 0 {
			http.Error(wr, "want an account, a budget and a number of tokens above 0", http.StatusBadRequest)
			return
		}
		lo.Tokens = local.Lend(re.Context(), ident.BudgetRef{Account: lo.Account, Budget: lo.Budget}, lo.Tokens, lo.Short)
		writeJSON(wr, lo)
	})
	mx.Handle("GET "+configPath, newDocuments(local.CurrentConfig))
	mx.HandleFunc("GET "+closuresPath, serveClosures(local.Closures))
	mx.HandleFunc("GET "+loadPath, func(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, local.Load()) })
	mx.HandleFunc("POST "+streamsPath, serveStreams(local.AddStreams))
	mx.HandleFunc("GET "+streamsPath, serveStream(local.FindStream))
	mx.HandleFunc("POST "+statementPath, func(wr http.ResponseWriter, re *http.Request) {
		var st escrow.Statement
		err := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxDocumentBytes)).Decode(&st)
		if err != nil || st.Incarnation == "" {
			http.Error(wr, "want a statement with an incarnation", http.StatusBadRequest)
			return
		}
		if !local.AddStatement(st) {
			http.Error(wr, "too many statements are pending", http.StatusServiceUnavailable)
			return
		}
		wr.WriteHeader(http.StatusNoContent)
	})
	mx.HandleFunc("POST "+tablePath, serveTable(local.Table))
	return mx
}

// writeJSON writes val as the response.
func writeJSON(wr http.ResponseWriter, val any) {
	wr.Header().Set("Content-Type", "application/json")
	// A write error is ignored, because the client detects a lost connection.
	_ = json.NewEncoder(wr).Encode(val)
}

// Client calls other routers.
type Client struct {
	http *http.Client
	// loads makes the calls for the load of other routers. Connections take long to open
	// while the link is congested.
	loads *http.Client
	peers func() []string
}

// NewClient returns a client. peers returns the addresses of the other routers. The
// options are those of the HTTP client.
func NewClient(peers func() []string, opts ...client.Option) *Client {
	defaults := []client.Option{client.WithMaxIdleConns(idlePerHost), client.WithDialTimeout(callTimeout)}
	all := append(defaults, opts...)
	return &Client{
		http: client.New(all...), loads: client.New(append(all, client.WithDialTimeout(loadTimeout), client.WithMaxIdleConns(1))...),
		peers: peers,
	}
}

// Borrow asks up to maxLenders other routers, in random order, until they have lent
// the given number of tokens, and returns how many they have lent.
func (cl *Client) Borrow(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	peers := cl.peers()
	var sum ident.Tokens
	asked := 0
	for _, ix := range rand.Perm(len(peers)) {
		if asked++; asked > maxLenders || sum >= tokens || ctx.Err() != nil {
			break
		}
		got, err := cl.borrow(ctx, peers[ix], loan{Account: rf.Account, Budget: rf.Budget, Tokens: tokens - sum, Short: short})
		// A router that does not respond lends nothing. The caller records the sum,
		// so the error is not reported.
		if err == nil {
			sum += got
		}
	}
	return sum
}

func (cl *Client) borrow(ctx context.Context, addr string, lo loan) (ident.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(lo)
	if err != nil {
		return 0, err
	}
	var got loan
	if err := cl.post(ctx, addr+lendPath, body, &got); err != nil {
		return 0, err
	}
	if got.Tokens < 0 || got.Tokens > lo.Tokens {
		return 0, fmt.Errorf("peers: router %s lent %d tokens, %d were requested", addr, got.Tokens, lo.Tokens)
	}
	return got.Tokens, nil
}

// SendStatement sends the statement of this router to other routers, and returns
// how many of them have stored it.
func (cl *Client) SendStatement(ctx context.Context, st escrow.Statement) int {
	peers := cl.peers()
	body, err := json.Marshal(st)
	if err != nil {
		return 0
	}
	copies := 0
	for _, ix := range rand.Perm(len(peers)) {
		if copies >= statementCopies || ctx.Err() != nil {
			break
		}
		if cl.sendStatement(ctx, peers[ix], body) == nil {
			copies++
		}
	}
	return copies
}

func (cl *Client) sendStatement(ctx context.Context, addr string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return cl.post(ctx, addr+statementPath, body, nil)
}

// FetchConfig requests a configuration newer than the revision after from
// the router at addr, and reports whether it has one.
func (cl *Client) FetchConfig(ctx context.Context, addr string, after ident.Revision) (feed.Row, bool, error) {
	ctx, stop := client.WithLowestRate(ctx, time.Now().Add(configTimeout), configRate)
	defer stop()
	url := "http://" + addr + configPath + "?" + afterRevision + "=" + strconv.FormatUint(uint64(after), 10)
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return feed.Row{}, false, err
	}
	re.Header.Set("Accept-Encoding", "gzip")
	var doc document
	if err := cl.call(re, maxDocumentBytes, &doc); err != nil {
		return feed.Row{}, false, err
	}
	return doc.row(), doc.Revision > after, nil
}

// get makes a call without a body. The target is an address and a path.
func (cl *Client) get(ctx context.Context, target string, limit int64, into any) error {
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target, nil)
	if err != nil {
		return err
	}
	return cl.call(re, limit, into)
}

// post makes a call with a body. The target is an address and a path.
func (cl *Client) post(ctx context.Context, target string, body []byte, into any) error {
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return cl.call(re, maxMessageBytes, into)
}

// call sends the request and decodes the response, if it has a body.
func (cl *Client) call(re *http.Request, limit int64, into any) error {
	return call(cl.http, re, limit, into)
}

func call(hc *http.Client, re *http.Request, limit int64, into any) error {
	resp, _, err := client.Do(hc, re)
	if err != nil {
		return err
	}
	body, err := client.ReadAll(resp.Body, limit)
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusNoContent:
		return nil
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("peers: router %s returned status %d", re.URL.Host, resp.StatusCode)
	case resp.Header.Get("Content-Encoding") == "gzip":
		if body, err = codec.Decompress(body, limit); err != nil {
			return fmt.Errorf("peers: router %s: %w", re.URL.Host, err)
		}
	}
	return json.Unmarshal(body, into)
}
