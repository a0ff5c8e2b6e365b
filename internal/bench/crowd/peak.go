package crowd

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/procs"
)

const (
	pollInterval = 20 * time.Millisecond
	// steadyPolls is the number of polls without a rise after which a peak is steady.
	steadyPolls = 50
)

// Peak is the highest use of resources of a router.
type Peak struct {
	ResidentBytes int64
	FDs           int
}

// AwaitSteady waits until the peak has not risen for some time and returns it.
func AwaitSteady(pr *procs.Proc) (Peak, error) {
	var pe Peak
	for steady := 0; steady < steadyPolls; steady++ {
		bytes, err := pr.PeakResidentBytes()
		if err != nil {
			return pe, err
		}
		fds, err := pr.OpenFDs()
		if err != nil {
			return pe, err
		}
		if bytes > pe.ResidentBytes || fds > pe.FDs {
			pe, steady = Peak{max(bytes, pe.ResidentBytes), max(fds, pe.FDs)}, 0
		}
		time.Sleep(pollInterval)
	}
	return pe, nil
}
