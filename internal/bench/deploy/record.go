package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/fake/action"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

var recordClient = client.New()

// Runs returns what an engine's stand-in has recorded.
func (no *Node) Runs(ctx context.Context) ([]model.Run, error) {
	var runs []model.Run
	return runs, no.Get(ctx, "/record", &runs)
}

// Effects returns what a service's stand-in has recorded.
func (no *Node) Effects(ctx context.Context) ([]action.Effect, error) {
	var effects []action.Effect
	return effects, no.Get(ctx, "/record", &effects)
}

// Get reads JSON from the node.
func (no *Node) Get(ctx context.Context, path string, val any) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, no.URL()+path, nil)
	if err != nil {
		return err
	}
	return do(rq, val)
}

// Control sets switches of a stand-in.
func (no *Node) Control(ctx context.Context, path string, val any) error {
	data, err := json.Marshal(val)
	if err != nil {
		return err
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, no.URL()+"/control/"+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return do(rq, nil)
}

func do(rq *http.Request, val any) error {
	rs, err := recordClient.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("deploy: %s %s: status %d", rq.Method, rq.URL.Path, rs.StatusCode)
	}
	if val == nil {
		return nil
	}
	return json.NewDecoder(rs.Body).Decode(val)
}
