package cloud

import (
	"net/http"
	"slices"
	"sync"
	"time"

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

// target is an entry of Prometheus HTTP service discovery.
type target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

type vmState struct {
	at  time.Time
	vms []VM
}

// vmList keeps the states that the lag still hides.
type vmList struct {
	mu     sync.Mutex
	lag    time.Duration
	states []vmState
}

func (vl *vmList) set(now time.Time, vms []VM) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	vl.states = append(vl.states, vmState{at: now, vms: slices.Clone(vms)})
}

func (vl *vmList) setLag(lag time.Duration) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	vl.lag = lag
}

// at returns the list as it was the lag before now.
func (vl *vmList) at(now time.Time) []VM {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	shown := -1
	for idx, st := range vl.states {
		if !st.at.After(now.Add(-vl.lag)) {
			shown = idx
		}
	}
	if shown < 0 {
		return nil
	}
	return vl.states[shown].vms
}

func (cl *Cloud) serveVMs(wr http.ResponseWriter) {
	cl.count.vmReads.Add(1)
	out := []target{}
	for _, vm := range cl.vms.at(cl.clk.Now()) {
		state := "live"
		if vm.Leaving {
			state = "leaving"
		}
		out = append(out, target{
			Targets: []string{vm.Address},
			Labels:  map[string]string{"vm": vm.ID, "domain": vm.Domain, "role": vm.Role, "state": state},
		})
	}
	fault.WriteJSON(wr, http.StatusOK, out)
}

// controlVMs shows the true list on GET and replaces it on POST. The members
// are vms and lagMillis; each is optional.
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
			cl.SetLag(time.Duration(*req.LagMillis) * time.Millisecond)
		}
	}
	fault.WriteJSON(wr, http.StatusOK, cl.vms.truth())
}

func (vl *vmList) truth() []VM {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	if len(vl.states) == 0 {
		return []VM{}
	}
	return vl.states[len(vl.states)-1].vms
}
