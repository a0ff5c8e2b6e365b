package procs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of clock ticks per second, the unit of processor time
// in /proc. It is fixed on Linux.
const clockTicks = 100

// Usage holds the resources that a process uses.
type Usage struct {
	// CPUTime is the processor time in user and system mode so far.
	CPUTime time.Duration
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes int64
}

// Usage reads the resource usage of the process from /proc.
func (pr *Proc) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pr.PID()))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the program's name in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	// Indexes of the fields utime, stime and rss after the second one.
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, fmt.Errorf("procs: unexpected format of /proc/%d/stat", pr.PID())
	}
	var vals [3]int64
	for ix, at := range []int{user, system, resident} {
		if vals[ix], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPUTime:       time.Duration(vals[0]+vals[1]) * time.Second / clockTicks,
		ResidentBytes: vals[2] * int64(os.Getpagesize()),
	}, nil
}

// PeakResidentBytes returns the highest resident memory that the process has had, in
// bytes.
func (pr *Proc) PeakResidentBytes() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.PID()))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), "\nVmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("procs: no VmHWM in /proc/%d/status", pr.PID())
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10, err
}

// OpenFDs returns the number of open file descriptors of the process.
func (pr *Proc) OpenFDs() (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pr.PID()))
	return len(list), err
}
