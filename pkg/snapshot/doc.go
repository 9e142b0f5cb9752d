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
	"headhill.example/headhill/pkg/storerev"
)

const (
	pathTable   = "/table"
	pathServers = "/servers"
	pathBoxes   = "/boxes"
)

// Query parameters.
const (
	// paramMinRevision is the minimum revision of the response, paramMinEra its era.
	paramMinRevision = "least"
	paramMinEra      = "least-era"
	// paramTableVersion is the version of the requester's table, or zero for none.
	paramTableVersion = "in-force"
	// paramSince is the revision of the requester's server list, or zero for none, paramSinceEra its
	// era.
	paramSince    = "since"
	paramSinceEra = "since-era"
	// paramWait is how long to wait for the minimum revision, in milliseconds.
	paramWait = "wait-ms"
)

// Response headers. Times are sent as ages, since wall clocks differ between boxes.
const (
	headerRevision = "Belief-Revision"
	// headerEra is the era of all revisions in the headers, zero if it is missing.
	headerEra     = "Belief-Era"
	headerChanged = "Belief-Changed"
	headerAge     = "Belief-Age-Ms"
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
	revision, changed storerev.Revision
	// age is the time since the data was confirmed.
	age time.Duration
	// since is the revision from which the body holds changes, or zero for the full list.
	since storerev.Revision
	// level is the forms level that the sender reads, or zero if the header is missing.
	level int
	// evacuations are set only with the server list.
	evacuations directory.Evacuations
}

func (m metadata) write(h http.Header) {
	h.Set(headerRevision, formatNumber(m.revision))
	h.Set(headerChanged, formatNumber(m.changed))
	if era := m.revision.Era(); era > 0 {
		h.Set(headerEra, strconv.FormatUint(era, 10))
	}
	h.Set(headerAge, strconv.FormatInt(m.age.Milliseconds(), 10))
	h.Set(headerLevel, strconv.Itoa(forms.Level))
	if m.since > 0 {
		h.Set(headerSince, formatNumber(m.since))
	}
	if m.evacuations.Revision > 0 {
		// Encoding a plain struct does not fail.
		text, _ := json.Marshal(m.evacuations.Message())
		h.Set(headerEvacuations, string(text))
	}
}

// parseEvacuations parses the evacuated halls. It returns none if the header is missing.
func parseEvacuations(h http.Header) (e directory.Evacuations, ok bool) {
	text := h.Get(headerEvacuations)
	if text == "" {
		return e, true
	}
	var message directory.EvacuationsMessage
	if err := json.Unmarshal([]byte(text), &message); err != nil {
		return e, false
	}
	e, err := message.Evacuations()
	return e, err == nil
}

func formatNumber(r storerev.Revision) string { return strconv.FormatUint(r.Number(), 10) }

// parseRevision parses a number in an era. A missing number is zero, which stands for no revision.
func parseRevision(number string, era uint64) (storerev.Revision, error) {
	if number == "" || number == "0" {
		return 0, nil
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, err
	}
	return storerev.New(era, n)
}

// parseEra parses an era, which is zero if it is missing.
func parseEra(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// parseMetadata parses the response headers. It returns false if one is missing or invalid.
func parseMetadata(h http.Header) (metadata, bool) {
	era, err0 := parseEra(h.Get(headerEra))
	revision, err1 := parseRevision(h.Get(headerRevision), era)
	changed, err2 := parseRevision(h.Get(headerChanged), era)
	age, err3 := strconv.ParseUint(h.Get(headerAge), 10, 32)
	since, err4 := parseRevision(h.Get(headerSince), era)
	level := 0
	var err5 error
	if text := h.Get(headerLevel); text != "" {
		level, err5 = strconv.Atoi(text)
	}
	evacuations, valid := parseEvacuations(h)
	ok := errors.Join(err0, err1, err2, err3, err4, err5) == nil && h.Get(headerRevision) != "" && h.Get(headerChanged) != "" && changed <= revision && valid
	return metadata{
		revision: revision, changed: changed, since: since, age: time.Duration(age) * time.Millisecond,
		level: level, evacuations: evacuations,
	}, ok
}
