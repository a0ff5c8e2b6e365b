package slopes

import (
	"fmt"
	"runtime"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// budgetsPerAccount is 110,000 budgets, the planned number, over 360 client
// accounts.
const budgetsPerAccount = 306

// Configs measures the configuration document by the number of client accounts:
// its size, also compressed, the time to decode it and the memory of the result.
func Configs(sizes []int) ([]Series, error) {
	size := Series{Name: "configuration document", Unit: "bytes", Sizes: sizes}
	sent := Series{Name: "configuration document, compressed on links", Unit: "bytes", Sizes: sizes}
	cpu := Series{Name: "configuration decode", Unit: "ms", Sizes: sizes}
	mem := Series{Name: "configuration memory", Unit: "bytes", Sizes: sizes}
	for _, accounts := range sizes {
		doc, err := codec.Config{}.Encode(sampleConfig(accounts))
		if err != nil {
			return nil, err
		}
		before, start := memoryInUse(), time.Now()
		sn, err := codec.Config{}.Decode(doc)
		if err != nil {
			return nil, err
		}
		elapsed := time.Since(start)
		memoryUsed := memoryInUse() - before
		size.Values = append(size.Values, float64(len(doc)))
		// A lower bound, because the names in the sample are more regular than real ones.
		sent.Values = append(sent.Values, float64(len(codec.Compress(doc, codec.Small))))
		cpu.Values = append(cpu.Values, float64(elapsed.Microseconds())/1000)
		mem.Values = append(mem.Values, memoryUsed)
		// Both must be reachable while the memory is measured.
		runtime.KeepAlive(doc)
		runtime.KeepAlive(sn)
	}
	return []Series{size, sent, cpu, mem}, nil
}

// sampleConfig returns a configuration with the planned numbers of budgets and
// upstreams per client account.
func sampleConfig(accounts int) config.Snapshot {
	sn := config.Snapshot{}.WithRevision(1, "slopes")
	for ac := range accounts {
		one := config.Account{
			ID: ident.Account(fmt.Sprintf("account-%04d", ac)), Preference: config.AvoidRefusal,
			Keys: []config.KeyHash{config.HashAPIKey(fmt.Sprint(ac))},
		}
		for bu := range budgetsPerAccount {
			one.Budgets = append(one.Budgets, ident.Budget(fmt.Sprintf("budget-%05d", bu)))
		}
		sn = sn.WithAccount(one)
	}
	for up := range accounts * 600 / 360 {
		sn = sn.WithUpstream(config.Upstream{
			ID: ident.Upstream(fmt.Sprintf("engine-%03d", up)), VM: ident.VM(fmt.Sprintf("vm-%03d", up)),
			Kind: config.Engine, Domain: "d1", Sidecar: "10.0.0.1:7443", Models: []ident.Model{"model-1"},
		})
	}
	return sn
}
