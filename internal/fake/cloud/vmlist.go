package cloud

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// VM is an entry of the VM list.
type VM struct {
	ID      string `json:"vm"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Role is router, engine or service.
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
}

// target is a target group of Prometheus HTTP service discovery.
type target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

type vmState struct {
	since time.Time
	vms   []VM
}

// vmList holds the list of VMs after each change, so that the list at an earlier
// time can be returned.
type vmList struct {
	mu     sync.Mutex
	lag    time.Duration
	states []vmState
}

func (vl *vmList) set(now time.Time, vms []VM) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	vl.states = append(vl.states, vmState{since: now, vms: slices.Clone(vms)})
}

func (vl *vmList) setLag(lag time.Duration) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	vl.lag = lag
}

// visible returns the list as it was at now minus the lag.
func (vl *vmList) visible(now time.Time) []VM {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	shown := -1
	for idx, st := range vl.states {
		if !st.since.After(now.Add(-vl.lag)) {
			shown = idx
		}
	}
	if shown < 0 {
		return nil
	}
	return vl.states[shown].vms
}

// serveVMs responds with the visible list, or with status 304 if the ETag in
// If-None-Match is that of this list.
func (cl *Cloud) serveVMs(wr http.ResponseWriter, re *http.Request) {
	cl.counts.vmReads.Add(1)
	out := []target{}
	for _, vm := range cl.vms.visible(cl.clk.Now()) {
		state := "live"
		if vm.Leaving {
			state = "leaving"
		}
		out = append(out, target{
			Targets: []string{vm.Address},
			Labels:  map[string]string{"vm": vm.ID, "domain": vm.Domain, "role": vm.Role, "state": state},
		})
	}
	data, err := json.Marshal(out)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(data))
	wr.Header().Set("ETag", tag)
	if re.Header.Get("If-None-Match") == tag {
		wr.WriteHeader(http.StatusNotModified)
		return
	}
	cl.counts.vmLists.Add(1)
	wr.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_, _ = wr.Write(data)
}

// controlVMs responds with the latest list, without lag. On POST it first replaces
// the list and the lag by the members vms and lagMillis; each is optional.
func (cl *Cloud) controlVMs(wr http.ResponseWriter, re *http.Request) {
	if re.Method == http.MethodPost {
		var req struct {
			VMs       *[]VM `json:"vms"`
			LagMillis *int  `json:"lagMillis"`
		}
		if !fault.ReadJSON(wr, re, &req) {
			return
		}
		if req.VMs != nil {
			cl.SetVMs(*req.VMs...)
		}
		if req.LagMillis != nil {
			cl.SetVMLag(time.Duration(*req.LagMillis) * time.Millisecond)
		}
	}
	fault.WriteJSON(wr, http.StatusOK, cl.vms.latest())
}

func (vl *vmList) latest() []VM {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	if len(vl.states) == 0 {
		return []VM{}
	}
	return vl.states[len(vl.states)-1].vms
}
