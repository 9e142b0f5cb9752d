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

// pathStatus is where operators see what a box knows, at the metrics address.
const pathStatus = "/status"

// Status is what a routing box tells of itself.
type Status struct {
	Box     string `json:"box"`
	Hall    string `json:"hall"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	// Reader says that the box reads the store for others.
	Reader bool `json:"reader"`
	// Boxes is how many boxes it knows, itself included.
	Boxes int `json:"boxes"`
	// TableVersion is that of the routing table in force, zero for none; TableAgeMillis and
	// ServersAgeMillis are how long ago the store last confirmed table and servers.
	TableVersion     uint64 `json:"table_version"`
	TableAgeMillis   int64  `json:"table_age_ms"`
	ServersAgeMillis int64  `json:"servers_age_ms"`
	// EvacuatedHalls are those whose servers get nothing, as the store said so long ago.
	EvacuatedHalls       []string `json:"evacuated_halls"`
	EvacuationsAgeMillis int64    `json:"evacuations_age_ms"`
	// FormsLevel is the level of the forms that the box reads, LowestFormsLevel the lowest of all
	// boxes, EarlierBoxes are some of those that read less than this one: an upgrade is on its way.
	// Readers know both as of the last check of the store, other boxes as of their last look.
	FormsLevel       int      `json:"forms_level"`
	LowestFormsLevel int      `json:"lowest_forms_level"`
	EarlierBoxes     []string `json:"earlier_boxes"`
}

// earlierBoxesMost bounds the boxes of earlier builds that are named.
const earlierBoxesMost = 20

// Status tells what the box knows.
func (d *Daemon) Status() Status {
	s, v, now := d.settings.Load(), d.directory.View(), clock.Now()
	status := Status{
		Box: s.Box.ID, Hall: s.Box.Hall, Version: version.String(), Ready: d.Ready(), Reader: d.roster.IsReader(), Boxes: d.roster.Count(),
		TableAgeMillis: millisSince(v.TableConfirmedAt, now), ServersAgeMillis: millisSince(v.ServersConfirmedAt, now),
		EvacuatedHalls: d.directory.Evacuations().Halls, EvacuationsAgeMillis: millisSince(v.EvacuationsConfirmedAt, now),
		FormsLevel: forms.Level, LowestFormsLevel: d.roster.LowestLevel(), EarlierBoxes: d.roster.OlderBuilds(earlierBoxesMost),
	}
	if v.Table != nil {
		status.TableVersion = v.Table.Version
	}
	return status
}

// millisSince is how many milliseconds ago a time was, -1 for a time that never was.
func millisSince(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.Status()); err != nil {
		_ = level.Info(d.logger).Log("msg", "status not told", "err", err)
	}
}
