package router_test

import (
	"net/http/httptest"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

// TestNodeRow guards against a router that reports another revision than the one
// in force, that omits the revision of its sidecar, or that does not delete its
// row when it stops.
func TestNodeRow(t *testing.T) {
	_, _, st := deploy(t, model.New())
	platform := httptest.NewServer(st.Cloud)
	defer platform.Close()
	ns := admin.NewNodes(dynamo.New(platform.URL), codec.JSON[admin.Node]{})
	err := st.ChangeConfig(func(sn config.Snapshot) config.Snapshot {
		ac, _ := sn.Account("a1")
		ac.MaxRunning++
		return sn.WithAccount(ac)
	})
	if err != nil {
		t.Fatal(err)
	}
	sn, err := st.Acceptor.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	until(t, "in sync", func() bool {
		all, err := ns.All(t.Context())
		return err == nil && len(all) == 1 && all[0].VM == "vm-r1" && all[0].Revision == sn.Revision() &&
			all[0].InSync == 1 && len(all[0].OutOfSync) == 0 && !all[0].Since.IsZero()
	})
	st.Close()
	if all, err := ns.All(t.Context()); err != nil || len(all) != 0 {
		t.Errorf("rows after the stop: %v %v", all, err)
	}
}
