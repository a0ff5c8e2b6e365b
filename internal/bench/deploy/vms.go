package deploy

import (
	"context"
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
)

func vmRole(ki config.Kind) string {
	if ki == config.Plain {
		return "service"
	}
	return "engine"
}

// listVM adds the VM to the platform's list or replaces its entry.
func (de *Deployment) listVM(vm cloud.VM) error {
	return de.setVMs(func(vms []cloud.VM) []cloud.VM { return append(withoutVM(vms, vm.ID), vm) })
}

// RemoveVM removes the VM from the platform's list, as the platform does when a VM
// no longer exists.
func (de *Deployment) RemoveVM(vm ident.VM) error {
	return de.setVMs(func(vms []cloud.VM) []cloud.VM { return withoutVM(vms, string(vm)) })
}

func withoutVM(vms []cloud.VM, id string) []cloud.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(it cloud.VM) bool { return it.ID == id })
}

func (de *Deployment) setVMs(change func([]cloud.VM) []cloud.VM) error {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.vms = change(de.vms)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return de.Platform.Control(ctx, "vms", map[string]any{"vms": de.vms})
}
