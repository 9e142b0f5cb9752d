// Package readiness serves the endpoint that the load balancer in front of the boxes polls to
// decide whether a box receives requests.
package readiness

import (
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Path is the path of the readiness endpoint.
const Path = "/readyz"

// Handler returns a handler that responds with 200 while ready returns true, and with 503 otherwise.
func Handler(ready func() bool) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	}
}
