// Package peers lets routers help each other without the platform's store:
// they lend escrow, pass on the newest configuration, and make calls on the table
// for a router that is cut off from it. The calls are JSON
// over HTTP.
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
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const (
	lendPath   = "/v1/lend"
	configPath = "/v1/config"

	statementPath = "/v1/statement"
	// maxBody bounds a loan's messages, and maxDocument a configuration.
	maxBody     = 4 << 10
	maxDocument = 8 << 20
	// askTimeout bounds one call. Routers are less than a millisecond apart, and
	// a draw for another router takes two calls of 4 ms.
	askTimeout = 100 * time.Millisecond
	// configTimeout leaves time for a document of some 100 KB.
	configTimeout = 300 * time.Millisecond
	// maxAsked bounds the routers that one request asks for escrow, and
	// borrowTime the time that it takes to do so.
	maxAsked   = 12
	borrowTime = 200 * time.Millisecond
	idleEach   = 2
	// statementCopies is the number of routers that keep a statement, so that
	// one may be lost.
	statementCopies = 2
)

// loan is the request and the answer of a loan.
type loan struct {
	Account ident.Account `json:"account,omitempty"`
	Budget  ident.Budget  `json:"budget,omitempty"`
	Tokens  ident.Tokens  `json:"tokens"`
	// Short says that the budget has no tokens left that could be drawn.
	Short bool `json:"short,omitempty"`
}

// document is a configuration as the store has it.
type document struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Answers is what a router does for other routers.
type Answers struct {
	// Lend charges tokens and returns how many.
	Lend func(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens
	// Newest returns the configuration in force.
	Newest func() (feed.Row, bool)
	// Keep takes the last statement of a router that ends.
	Keep func(st escrow.Statement)
	// Table is the table as this router reaches it by itself.
	Table store.Table
}

// Handler serves other routers.
func Handler(an Answers) http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("POST "+lendPath, func(wr http.ResponseWriter, re *http.Request) {
		var lo loan
		if err := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxBody)).Decode(&lo); err != nil || lo.Tokens <= 0 {
			http.Error(wr, "want account, budget and tokens above 0", http.StatusBadRequest)
			return
		}
		lo.Tokens = an.Lend(re.Context(), ident.BudgetRef{Account: lo.Account, Budget: lo.Budget}, lo.Tokens, lo.Short)
		answer(wr, lo)
	})
	mx.HandleFunc("GET "+configPath, func(wr http.ResponseWriter, re *http.Request) {
		after, err := strconv.ParseUint(re.FormValue("after"), 10, 64)
		ro, ok := an.Newest()
		switch {
		case err != nil:
			http.Error(wr, "want a version in after", http.StatusBadRequest)
		case !ok || ro.Version <= after:
			wr.WriteHeader(http.StatusNoContent)
		default:
			answer(wr, document{Key: ro.Key, Value: ro.Value, Version: ro.Version})
		}
	})
	mx.HandleFunc("POST "+statementPath, func(wr http.ResponseWriter, re *http.Request) {
		var st escrow.Statement
		err := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxDocument)).Decode(&st)
		if err != nil || st.Incarnation == "" {
			http.Error(wr, "want an incarnation with what it used", http.StatusBadRequest)
			return
		}
		an.Keep(st)
		wr.WriteHeader(http.StatusNoContent)
	})
	mx.HandleFunc("POST "+tablePath, serveTable(an.Table))
	return mx
}

func answer(wr http.ResponseWriter, val any) {
	wr.Header().Set("Content-Type", "application/json")
	// The other side sees a lost connection by itself.
	_ = json.NewEncoder(wr).Encode(val)
}

// Client calls other routers.
type Client struct {
	http  *http.Client
	peers func() []string
}

// NewClient returns a client. peers returns the addresses of other routers.
func NewClient(peers func() []string) *Client {
	return &Client{http: client.New(client.WithIdle(idleEach), client.WithDialTimeout(askTimeout)), peers: peers}
}

// Borrow asks routers in random order until enough tokens came together.
func (cl *Client) Borrow(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens {
	ctx, cancel := context.WithTimeout(ctx, borrowTime)
	defer cancel()
	peers := cl.peers()
	var sum ident.Tokens
	asked := 0
	for _, ix := range rand.Perm(len(peers)) {
		if asked++; asked > maxAsked || sum >= tokens || ctx.Err() != nil {
			break
		}
		got, err := cl.borrow(ctx, peers[ix], loan{Account: rf.Account, Budget: rf.Budget, Tokens: tokens - sum, Short: short})
		// A router that does not answer lends nothing; the caller records how
		// much came together.
		if err == nil {
			sum += got
		}
	}
	return sum
}

func (cl *Client) borrow(ctx context.Context, addr string, lo loan) (ident.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := json.Marshal(lo)
	if err != nil {
		return 0, err
	}
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+lendPath, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	var got loan
	if err := cl.call(re, maxBody, &got); err != nil {
		return 0, err
	}
	if got.Tokens < 0 || got.Tokens > lo.Tokens {
		return 0, fmt.Errorf("peers: %s lent %d of %d tokens", addr, got.Tokens, lo.Tokens)
	}
	return got.Tokens, nil
}

// Leave gives the statement of this router to others, and returns how many
// have it.
func (cl *Client) Leave(ctx context.Context, st escrow.Statement) int {
	peers := cl.peers()
	body, err := json.Marshal(st)
	if err != nil {
		return 0
	}
	kept := 0
	for _, ix := range rand.Perm(len(peers)) {
		if kept >= statementCopies || ctx.Err() != nil {
			break
		}
		if cl.leave(ctx, peers[ix], body) == nil {
			kept++
		}
	}
	return kept
}

func (cl *Client) leave(ctx context.Context, addr string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+statementPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return cl.call(re, maxBody, nil)
}

// Newest asks one router for a configuration that is newer than the version.
func (cl *Client) Newest(ctx context.Context, addr string, after uint64) (feed.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	url := "http://" + addr + configPath + "?after=" + strconv.FormatUint(after, 10)
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return feed.Row{}, false, err
	}
	var doc document
	if err := cl.call(re, maxDocument, &doc); err != nil {
		return feed.Row{}, false, err
	}
	return feed.Row{Key: doc.Key, Value: doc.Value, Version: doc.Version}, doc.Version > after, nil
}

func (cl *Client) call(re *http.Request, limit int64, into any) error {
	resp, _, err := client.Do(cl.http, re)
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
		return fmt.Errorf("peers: %s answered with status %d", re.URL.Host, resp.StatusCode)
	}
	return json.Unmarshal(body, into)
}
