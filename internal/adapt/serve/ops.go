package serve

import (
	"fmt"
	"net/http"
)

// OpsHandler returns the handler of the operators' endpoints: metrics, liveness
// and readiness.
func OpsHandler(metrics http.Handler, ready func() error) http.Handler {
	mx := http.NewServeMux()
	mx.Handle("GET /metrics", metrics)
	mx.HandleFunc("GET /healthz", func(wr http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(wr, "ok") })
	mx.HandleFunc("GET /readyz", func(wr http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(wr, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(wr, "ready")
	})
	return mx
}
