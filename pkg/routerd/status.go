package routerd

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/julienschmidt/httprouter"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/version"
)

// pathStatus is the path of the status endpoint on the metrics server.
const pathStatus = "/status"

// Status is the state of a routing box as shown to operators.
type Status struct {
	Box     string `json:"box"`
	Hall    string `json:"hall"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	// Reader reports whether the box reads the store on behalf of others.
	Reader bool `json:"reader"`
	// Boxes is the number of boxes in the roster, including this one.
	Boxes int `json:"boxes"`
	// TableVersion is the version of the routing table in force, zero for none. TableAgeMillis and
	// ServersAgeMillis are the times since the store last confirmed table and servers, -1 for never.
	TableVersion     uint64 `json:"table_version"`
	TableAgeMillis   int64  `json:"table_age_ms"`
	ServersAgeMillis int64  `json:"servers_age_ms"`
	// EvacuatedHalls lists the halls whose servers receive no requests, as read from the store
	// EvacuationsAgeMillis ago.
	EvacuatedHalls       []string `json:"evacuated_halls"`
	EvacuationsAgeMillis int64    `json:"evacuations_age_ms"`
	// FormsLevel is the message format level of this box and LowestFormsLevel the lowest of all
	// boxes. EarlierBoxes names boxes at a lower level than this one, which occur during an upgrade.
	// On readers both date from the last check of the store, elsewhere from the last roster refresh.
	FormsLevel       int      `json:"forms_level"`
	LowestFormsLevel int      `json:"lowest_forms_level"`
	EarlierBoxes     []string `json:"earlier_boxes"`
}

// maxEarlierBoxes limits the length of Status.EarlierBoxes.
const maxEarlierBoxes = 20

// Status returns the current state.
func (d *Daemon) Status() Status {
	s, v, now := d.settings.Load(), d.directory.View(), clock.Now()
	status := Status{
		Box: s.Box.ID, Hall: s.Box.Hall, Version: version.String(), Ready: d.Ready(), Reader: d.roster.IsReader(), Boxes: d.roster.Count(),
		TableAgeMillis: millisSince(v.TableConfirmedAt, now), ServersAgeMillis: millisSince(v.ServersConfirmedAt, now),
		EvacuatedHalls: d.directory.EvacuatedHalls(), EvacuationsAgeMillis: millisSince(v.EvacuationsConfirmedAt, now),
		FormsLevel: forms.Level, LowestFormsLevel: d.roster.LowestLevel(), EarlierBoxes: d.roster.OlderBuilds(maxEarlierBoxes),
	}
	if v.Table != nil {
		status.TableVersion = v.Table.Version
	}
	return status
}

// millisSince returns the milliseconds from t to now, or -1 if t is zero.
func millisSince(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.Status()); err != nil {
		_ = level.Info(d.logger).Log("msg", "failed to write status", "err", err)
	}
}
