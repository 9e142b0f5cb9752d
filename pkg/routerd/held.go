package routerd

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/julienschmidt/httprouter"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/quarantine"
)

// Paths on the metrics server at which operators list and release held requests.
const (
	pathHeld    = "/held"
	pathRelease = "/held/:request/release"
)

// handleHeld lists the held requests.
func (d *Daemon) handleHeld(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.quarantine.Held(clock.Now())); err != nil {
		_ = level.Info(d.logger).Log("msg", "failed to write held requests", "err", err)
	}
}

// handleRelease releases one held request.
func (d *Daemon) handleRelease(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	err := d.quarantine.Release(p.ByName("request"))
	var unknown *quarantine.UnknownRequestError
	switch {
	case errors.As(err, &unknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
