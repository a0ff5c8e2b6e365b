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

var standInClient = client.New()

// Runs returns the runs that an engine's stand-in has recorded.
func (no *Node) Runs(ctx context.Context) ([]model.Run, error) {
	var runs []model.Run
	return runs, no.Get(ctx, "/record", &runs)
}

// Effects returns the effects that a service's stand-in has recorded.
func (no *Node) Effects(ctx context.Context) ([]action.Effect, error) {
	var effects []action.Effect
	return effects, no.Get(ctx, "/record", &effects)
}

// Get decodes the JSON document at the path of the node into val.
func (no *Node) Get(ctx context.Context, path string, val any) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, no.URL()+path, nil)
	if err != nil {
		return err
	}
	return doRequest(rq, val)
}

// Control sends val as JSON to a control path of a stand-in.
func (no *Node) Control(ctx context.Context, path string, val any) error {
	data, err := json.Marshal(val)
	if err != nil {
		return err
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, no.URL()+"/control/"+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return doRequest(rq, nil)
}

func doRequest(rq *http.Request, val any) error {
	rs, err := standInClient.Do(rq)
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
