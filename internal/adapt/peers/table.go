package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const (
	tablePath = "/v1/table"
	// maxTable bounds a call on the table and its answer: the rows of one commit
	// or of one page, in base64.
	maxTable = 4 << 20
	// tableTimeout bounds a call that another router makes on the table.
	tableTimeout = time.Second
)

// operation names a call on the table.
type operation string

const (
	opGet    operation = "get"
	opScan   operation = "scan"
	opCommit operation = "commit"
)

// tableCall is a call on the table that another router makes.
type tableCall struct {
	Operation operation    `json:"operation"`
	Key       string       `json:"key,omitempty"`
	Prefix    string       `json:"prefix,omitempty"`
	After     string       `json:"after,omitempty"`
	Limit     int          `json:"limit,omitempty"`
	Writes    []tableWrite `json:"writes,omitempty"`
}

type tableWrite struct {
	Key       string     `json:"key"`
	Value     []byte     `json:"value,omitempty"`
	IfVersion uint64     `json:"ifVersion"`
	Mode      store.Mode `json:"mode"`
}

type tableItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// tableAnswer is the result of a call. Failure is one of the names of failures
// below, or empty.
type tableAnswer struct {
	Items   []tableItem `json:"items,omitempty"`
	Failure string      `json:"failure,omitempty"`
	Detail  string      `json:"detail,omitempty"`
}

// failures names the errors of a table. Any other error is uncertain.
var failures = map[string]error{
	"conflict": store.ErrConflict, "throttled": store.ErrThrottled,
	"unavailable": store.ErrUnavailable, "uncertain": store.ErrUncertain,
}

func failureOf(err error) string {
	if errors.Is(err, store.ErrUncertain) {
		return "uncertain"
	}
	for name, known := range failures {
		if errors.Is(err, known) {
			return name
		}
	}
	return "uncertain"
}

// serveTable makes calls on the table for other routers.
func serveTable(ta store.Table) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		var tc tableCall
		if err := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxTable)).Decode(&tc); err != nil {
			http.Error(wr, "want a call on the table: "+err.Error(), http.StatusBadRequest)
			return
		}
		an, err := tc.run(re.Context(), ta)
		if err != nil {
			an = tableAnswer{Failure: failureOf(err), Detail: err.Error()}
		}
		answer(wr, an)
	}
}

func (tc tableCall) run(ctx context.Context, ta store.Table) (tableAnswer, error) {
	switch tc.Operation {
	case opGet:
		it, ok, err := ta.Get(ctx, tc.Key)
		if err != nil || !ok {
			return tableAnswer{}, err
		}
		return tableAnswer{Items: []tableItem{tableItem(it)}}, nil
	case opScan:
		its, err := ta.Scan(ctx, tc.Prefix, tc.After, tc.Limit)
		an := tableAnswer{}
		for _, it := range its {
			an.Items = append(an.Items, tableItem(it))
		}
		return an, err
	case opCommit:
		writes := make([]store.Write, 0, len(tc.Writes))
		for _, wr := range tc.Writes {
			writes = append(writes, store.Write(wr))
		}
		return tableAnswer{}, ta.Commit(ctx, writes...)
	}
	return tableAnswer{}, fmt.Errorf("%w: unknown operation %q", store.ErrUnavailable, tc.Operation)
}

// remote is the table as another router reaches it.
type remote struct {
	cl   *Client
	addr string
}

// Through returns the table as the router at the address reaches it.
func (cl *Client) Through(addr string) store.Table { return remote{cl, addr} }

// Addresses returns the addresses of other routers.
func (cl *Client) Addresses() []string { return cl.peers() }

// Get returns the row and whether it exists.
func (rm remote) Get(ctx context.Context, key string) (store.Item, bool, error) {
	an, err := rm.call(ctx, tableCall{Operation: opGet, Key: key}, store.ErrUnavailable)
	if err != nil || len(an.Items) == 0 {
		return store.Item{}, false, err
	}
	return store.Item(an.Items[0]), true, nil
}

// Scan returns rows with the prefix.
func (rm remote) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	an, err := rm.call(ctx, tableCall{Operation: opScan, Prefix: prefix, After: after, Limit: limit}, store.ErrUnavailable)
	if err != nil {
		return nil, err
	}
	its := make([]store.Item, 0, len(an.Items))
	for _, it := range an.Items {
		its = append(its, store.Item(it))
	}
	return its, nil
}

// Commit applies all writes or none.
func (rm remote) Commit(ctx context.Context, writes ...store.Write) error {
	tc := tableCall{Operation: opCommit}
	for _, wr := range writes {
		tc.Writes = append(tc.Writes, tableWrite(wr))
	}
	_, err := rm.call(ctx, tc, store.ErrUncertain)
	return err
}

// call makes the call. unanswered is the error if it was sent and no answer
// arrived.
func (rm remote) call(ctx context.Context, tc tableCall, unanswered error) (tableAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	body, err := json.Marshal(tc)
	if err != nil {
		return tableAnswer{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rm.addr+tablePath, bytes.NewReader(body))
	if err != nil {
		return tableAnswer{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	resp, sent, err := client.Do(rm.cl.http, re)
	if err != nil {
		if !sent {
			unanswered = store.ErrUnavailable
		}
		return tableAnswer{}, fmt.Errorf("%w: through %s: %w", unanswered, rm.addr, err)
	}
	data, err := client.ReadAll(resp.Body, maxTable)
	if err != nil {
		return tableAnswer{}, fmt.Errorf("%w: through %s: %w", unanswered, rm.addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return tableAnswer{}, fmt.Errorf("%w: %s answered with status %d", store.ErrUnavailable, rm.addr, resp.StatusCode)
	}
	var an tableAnswer
	if err := json.Unmarshal(data, &an); err != nil {
		return tableAnswer{}, fmt.Errorf("%w: through %s: %w", unanswered, rm.addr, err)
	}
	if an.Failure == "" {
		return an, nil
	}
	known, ok := failures[an.Failure]
	if !ok {
		known = unanswered
	}
	return tableAnswer{}, fmt.Errorf("%w: through %s: %s", known, rm.addr, an.Detail)
}
