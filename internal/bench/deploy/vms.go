package deploy

import (
	"context"
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
)

func role(ki config.Kind) string {
	if ki == config.Plain {
		return "service"
	}
	return "engine"
}

// list puts the VM on the platform's list, or replaces its entry.
func (de *Deployment) list(vm cloud.VM) error {
	return de.setVMs(func(vms []cloud.VM) []cloud.VM { return append(without(vms, vm.ID), vm) })
}

// Remove takes the VM off the platform's list, as when the VM is gone.
func (de *Deployment) Remove(vm ident.VM) error {
	return de.setVMs(func(vms []cloud.VM) []cloud.VM { return without(vms, string(vm)) })
}

func without(vms []cloud.VM, id string) []cloud.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(it cloud.VM) bool { return it.ID == id })
}

func (de *Deployment) setVMs(change func([]cloud.VM) []cloud.VM) error {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.vms = change(de.vms)
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	return de.Platform.Control(ctx, "vms", map[string]any{"vms": de.vms})
}
