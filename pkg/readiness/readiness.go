// Package readiness answers the balancer's question whether a box should get
// callers.
package readiness

import (
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Path is where the question is asked, on the callers' and the operators' port.
const Path = "/readyz"

// Handler answers 200 while ready holds, and 503 otherwise.
func Handler(ready func() bool) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	}
}
