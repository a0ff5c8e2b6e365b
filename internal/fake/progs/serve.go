package progs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// headerTimeout is the time limit for reading the header of a request.
const headerTimeout = 10 * time.Second

// serve serves the handler until ctx ends. It first writes the listen address to
// out as one line. At the end it closes the connections of requests that are still
// in flight after the grace time.
func serve(ctx context.Context, out io.Writer, ls Listen, hd http.Handler) error {
	li, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ls.Addr)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, li.Addr()); err != nil {
		return errors.Join(err, li.Close())
	}
	srv := &http.Server{Handler: hd, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(li) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), ls.Grace)
	defer cancel()
	err = srv.Shutdown(stop)
	if errors.Is(err, context.DeadlineExceeded) {
		err = srv.Close()
	}
	<-served
	return err
}
