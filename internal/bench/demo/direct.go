package demo

import (
	"context"
	"errors"
	"io"

	"github.com/balsamwood/balsamwood/internal/bench/edge"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// runDirect runs direct routers, which use an operator's store and reach upstreams
// without sidecars. One of them is killed between the requests.
func (dm *demo) runDirect(ctx context.Context, bin, dir string, log io.Writer) error {
	de, err := edge.New(ctx, bin, dir, log)
	if err != nil {
		return err
	}
	dm.printf("started 2 direct routers on an operator's store")
	de.SendQuestions(ctx, 10)
	de.SendVouchers(ctx, 5, 0)
	if err := de.KillAndRestart(ctx, 0); err != nil {
		return errors.Join(err, de.Close())
	}
	dm.printf("killed one of them and restarted it")
	de.SendQuestions(ctx, 120)
	re, err := de.Audit()
	dm.printf("direct path: served=%d refused=%d unknown=%d, %d of %d prepaid tokens left", re.Served, re.Refused, re.Unknown, re.Free, edge.Prepaid)
	dm.tally.Served += re.Served
	dm.tally.Refused += re.Refused
	dm.tally.Unknown += re.Unknown
	dm.tally.OverspentTokens += ident.Tokens(re.OverspentTokens)
	dm.tally.DuplicateActions += re.DuplicateActions
	dm.tally.FalseNotRun += re.FalseNotRun
	return errors.Join(err, de.Close())
}
