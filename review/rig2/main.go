// Command rig2 runs the scripted cases of the second review. Each case starts direct
// routers as separate processes, with stand-ins for the platform's store, for engines
// and for clients in this process, and checks one rule on what the stand-ins have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseTimeout bounds the run of one case.
	caseTimeout = 110 * time.Second
)

// verdict is the result of a case that could run.
type verdict struct {
	broken bool
	text   string
}

// scenario runs one case. trouble says whether the disruption takes place.
type scenario func(ctx context.Context, fl *fleet, trouble bool) (verdict, error)

// scenarios holds the case of each folder.
var scenarios = map[string]scenario{
	"6":  restoredAfterStop,
	"7":  endlessStream,
	"8":  forgedEntry,
	"9":  silentEngine,
	"10": lateCheckIn,
}

func main() {
	if len(os.Args) != 2 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case in the repository root and writes the record beside its claim.
func runCase(name string, trouble bool) int {
	rec, err := newRecord(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	rec.printf("case %s, disruption %v", name, trouble)
	fl, err := newFleet(rec)
	var ve verdict
	if err == nil {
		ve, err = scenarios[name](ctx, fl, trouble)
		err = errors.Join(err, ctx.Err())
		fl.close()
	}
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return exitNotRun
	case ve.broken:
		rec.printf("BROKEN: %s", ve.text)
		return exitBroken
	default:
		rec.printf("held: %s", ve.text)
		return exitHeld
	}
}
