// Package snapshot serves the routing table, the list of backend servers and the roster of a
// box to other boxes over HTTP, and fetches them from other boxes. This way few boxes read
// large changes from the store. Responses are encoded once and shared between requests.
package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/forms"
)

const (
	pathTable   = "/table"
	pathServers = "/servers"
	pathBoxes   = "/boxes"
)

// Query parameters.
const (
	// paramMinRevision is the minimum revision of the response.
	paramMinRevision = "least"
	// paramTableVersion is the version of the requester's table, or zero for none.
	paramTableVersion = "in-force"
	// paramSince is the revision of the requester's server list, or zero for none.
	paramSince = "since"
	// paramWait is how long to wait for the minimum revision, in milliseconds.
	paramWait = "wait-ms"
)

// Response headers. Times are sent as ages, since wall clocks differ between boxes.
const (
	headerRevision = "Belief-Revision"
	headerChanged  = "Belief-Changed"
	headerAge      = "Belief-Age-Ms"
	// headerLoading is set if the sender is still loading the requested data.
	headerLoading = "Belief-Loading"
	// headerSince is set if the body holds only the changes of the server list since a revision.
	headerSince = "Belief-Since"
	// headerEvacuations holds the evacuated halls as JSON. It is sent with the server list,
	// unless the sender does not know them.
	headerEvacuations = "Belief-Evacuations"
	// headerLevel is the forms level that the sender reads.
	headerLevel = "Belief-Level"
)

const (
	// maxWait limits how long a request may wait for its minimum revision.
	maxWait = time.Second
	// maxBodyBytes limits the size of a body, both compressed and uncompressed.
	maxBodyBytes = 64 << 20
)

// StatusError is returned for a response with an error status.
type StatusError struct {
	Address string
	Status  int
	// Loading is set if the box is still loading the requested data.
	Loading bool
}

func (e *StatusError) Error() string {
	if e.Loading {
		return fmt.Sprintf("box at %s is still loading the requested data", e.Address)
	}
	return fmt.Sprintf("box at %s returned status %d", e.Address, e.Status)
}

// OlderBuildError is returned for a response of a box that reads a lower forms level than this one.
type OlderBuildError struct {
	Address string
	Level   int
}

func (e *OlderBuildError) Error() string {
	return fmt.Sprintf("box at %s runs an older build: it reads forms level %d, level %d is required", e.Address, e.Level, forms.Level)
}

// DamagedError is returned for an invalid response.
type DamagedError struct {
	Address string
	Reason  string
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("invalid response from box at %s: %s", e.Address, e.Reason)
}

// metadata holds the contents of the response headers.
type metadata struct {
	// revision is the revision at which the data was confirmed, changed that of its last change.
	revision, changed uint64
	// age is the time since the data was confirmed.
	age time.Duration
	// since is the revision from which the body holds changes, or zero for the full list.
	since uint64
	// level is the forms level that the sender reads, or zero if the header is missing.
	level int
	// evacuations are set only with the server list.
	evacuations directory.Evacuations
}

func (m metadata) write(h http.Header) {
	h.Set(headerRevision, strconv.FormatUint(m.revision, 10))
	h.Set(headerChanged, strconv.FormatUint(m.changed, 10))
	h.Set(headerAge, strconv.FormatInt(m.age.Milliseconds(), 10))
	h.Set(headerLevel, strconv.Itoa(forms.Level))
	if m.since > 0 {
		h.Set(headerSince, strconv.FormatUint(m.since, 10))
	}
	if m.evacuations.Revision > 0 {
		// Encoding a plain struct does not fail.
		text, _ := json.Marshal(m.evacuations)
		h.Set(headerEvacuations, string(text))
	}
}

// parseEvacuations parses the evacuated halls. It returns none if the header is missing.
func parseEvacuations(h http.Header) (e directory.Evacuations, ok bool) {
	text := h.Get(headerEvacuations)
	if text == "" {
		return e, true
	}
	err := json.Unmarshal([]byte(text), &e)
	return e, err == nil
}

// parseMetadata parses the response headers. It returns false if one is missing or invalid.
func parseMetadata(h http.Header) (metadata, bool) {
	revision, err1 := strconv.ParseUint(h.Get(headerRevision), 10, 64)
	changed, err2 := strconv.ParseUint(h.Get(headerChanged), 10, 64)
	age, err3 := strconv.ParseUint(h.Get(headerAge), 10, 32)
	since := uint64(0)
	var err4 error
	if text := h.Get(headerSince); text != "" {
		since, err4 = strconv.ParseUint(text, 10, 64)
	}
	level := 0
	var err5 error
	if text := h.Get(headerLevel); text != "" {
		level, err5 = strconv.Atoi(text)
	}
	evacuations, valid := parseEvacuations(h)
	ok := errors.Join(err1, err2, err3, err4, err5) == nil && changed <= revision && valid
	return metadata{
		revision: revision, changed: changed, since: since, age: time.Duration(age) * time.Millisecond,
		level: level, evacuations: evacuations,
	}, ok
}
