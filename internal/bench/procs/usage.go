package procs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the unit of processor time in /proc, which is fixed on Linux.
const clockTicks = 100

// Usage is what a process has used so far.
type Usage struct {
	Processor time.Duration
	// Resident is the memory in bytes.
	Resident int64
}

// Usage reads what the process has used.
func (pr *Proc) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pr.PID()))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the program's name in parentheses and may hold blanks.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
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
		Processor: time.Duration(vals[0]+vals[1]) * time.Second / clockTicks,
		Resident:  vals[2] * int64(os.Getpagesize()),
	}, nil
}
