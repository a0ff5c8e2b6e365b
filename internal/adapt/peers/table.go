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
	// maxTableBytes bounds the request and the response of a call to the table.
	// They contain the rows of one commit or of one page, in base64.
	maxTableBytes = 4 << 20
	// tableTimeout is the timeout of a call to the table through another router.
	tableTimeout = time.Second
)

// operation is the kind of a call to the table.
type operation string

const (
	opGet    operation = "get"
	opScan   operation = "scan"
	opCommit operation = "commit"
)

// tableCall is a call to the table that is sent to another router.
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

// tableResponse is the result of a tableCall. Failure is a name in errorsByName, or
// empty.
type tableResponse struct {
	Items   []tableItem `json:"items,omitempty"`
	Failure string      `json:"failure,omitempty"`
	Detail  string      `json:"detail,omitempty"`
}

// errorsByName maps the names of failures to the errors of the table port. Any
// other error is sent as uncertain.
var errorsByName = map[string]error{
	"conflict": store.ErrConflict, "throttled": store.ErrThrottled,
	"unavailable": store.ErrUnavailable, "uncertain": store.ErrUncertain,
}

// errorName returns the name of an error of the table. An error that wraps
// store.ErrUncertain has the name uncertain, whatever else it wraps.
func errorName(err error) string {
	if errors.Is(err, store.ErrUncertain) {
		return "uncertain"
	}
	for name, known := range errorsByName {
		if errors.Is(err, known) {
			return name
		}
	}
	return "uncertain"
}

// serveTable executes the calls to the table that other routers send.
func serveTable(ta store.Table) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		var tc tableCall
		if err := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxTableBytes)).Decode(&tc); err != nil {
			http.Error(wr, "want a call to the table: "+err.Error(), http.StatusBadRequest)
			return
		}
		tr, err := tc.execute(re.Context(), ta)
		if err != nil {
			tr = tableResponse{Failure: errorName(err), Detail: err.Error()}
		}
		writeJSON(wr, tr)
	}
}

// execute makes the call to the table.
func (tc tableCall) execute(ctx context.Context, ta store.Table) (tableResponse, error) {
	switch tc.Operation {
	case opGet:
		it, ok, err := ta.Get(ctx, tc.Key)
		if err != nil || !ok {
			return tableResponse{}, err
		}
		return tableResponse{Items: []tableItem{tableItem(it)}}, nil
	case opScan:
		items, err := ta.Scan(ctx, tc.Prefix, tc.After, tc.Limit)
		tr := tableResponse{}
		for _, it := range items {
			tr.Items = append(tr.Items, tableItem(it))
		}
		return tr, err
	case opCommit:
		writes := make([]store.Write, 0, len(tc.Writes))
		for _, wr := range tc.Writes {
			writes = append(writes, store.Write(wr))
		}
		return tableResponse{}, ta.Commit(ctx, writes...)
	}
	return tableResponse{}, fmt.Errorf("%w: unknown operation %q", store.ErrUnavailable, tc.Operation)
}

// remoteTable is the table, accessed through another router.
type remoteTable struct {
	cl   *Client
	addr string
}

// RemoteTable returns the table, accessed through the router at the address.
func (cl *Client) RemoteTable(addr string) store.Table { return remoteTable{cl, addr} }

// Addresses returns the addresses of other routers.
func (cl *Client) Addresses() []string { return cl.peers() }

// Get returns the row and whether it exists.
func (rt remoteTable) Get(ctx context.Context, key string) (store.Item, bool, error) {
	tr, err := rt.call(ctx, tableCall{Operation: opGet, Key: key}, store.ErrUnavailable)
	if err != nil || len(tr.Items) == 0 {
		return store.Item{}, false, err
	}
	return store.Item(tr.Items[0]), true, nil
}

// Scan returns up to limit rows with the prefix, after the key after.
func (rt remoteTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	tr, err := rt.call(ctx, tableCall{Operation: opScan, Prefix: prefix, After: after, Limit: limit}, store.ErrUnavailable)
	if err != nil {
		return nil, err
	}
	items := make([]store.Item, 0, len(tr.Items))
	for _, it := range tr.Items {
		items = append(items, store.Item(it))
	}
	return items, nil
}

// Commit applies all writes or none.
func (rt remoteTable) Commit(ctx context.Context, writes ...store.Write) error {
	tc := tableCall{Operation: opCommit}
	for _, wr := range writes {
		tc.Writes = append(tc.Writes, tableWrite(wr))
	}
	_, err := rt.call(ctx, tc, store.ErrUncertain)
	return err
}

// call sends the call to the other router. It returns noResponse if the call may
// have been executed but no valid response arrived.
func (rt remoteTable) call(ctx context.Context, tc tableCall, noResponse error) (tableResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	body, err := json.Marshal(tc)
	if err != nil {
		return tableResponse{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rt.addr+tablePath, bytes.NewReader(body))
	if err != nil {
		return tableResponse{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	resp, sent, err := client.Do(rt.cl.http, re)
	if err != nil {
		if !sent {
			noResponse = store.ErrUnavailable
		}
		return tableResponse{}, fmt.Errorf("%w: through router %s: %w", noResponse, rt.addr, err)
	}
	data, err := client.ReadAll(resp.Body, maxTableBytes)
	if err != nil {
		return tableResponse{}, fmt.Errorf("%w: through router %s: %w", noResponse, rt.addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return tableResponse{}, fmt.Errorf("%w: router %s returned status %d", store.ErrUnavailable, rt.addr, resp.StatusCode)
	}
	var tr tableResponse
	if err := json.Unmarshal(data, &tr); err != nil {
		return tableResponse{}, fmt.Errorf("%w: through router %s: %w", noResponse, rt.addr, err)
	}
	if tr.Failure == "" {
		return tr, nil
	}
	known, ok := errorsByName[tr.Failure]
	if !ok {
		known = noResponse
	}
	return tableResponse{}, fmt.Errorf("%w: through router %s: %s", known, rt.addr, tr.Detail)
}
