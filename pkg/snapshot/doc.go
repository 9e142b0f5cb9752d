// Package snapshot serves what a box knows of the routing table and of the backend servers
// to other boxes, and fetches it from them, over HTTP. A large change so leaves the store a
// few times only, however many boxes there are. An answer is encoded once for all who ask
// for the same.
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

// Paths of the two parts.
const (
	pathTable   = "/table"
	pathServers = "/servers"
	// pathBoxes leads to the boxes that there are.
	pathBoxes = "/boxes"
)

// Query keys.
const (
	// keyLeast is the revision at which the part has to be known at the least.
	keyLeast = "least"
	// keyInForce is the version of the table that the asker has; zero for none.
	keyInForce = "in-force"
	// keySince is the revision at which the asker knows the list of servers; zero for none.
	keySince = "since"
	// keyWait is how many milliseconds the asker would wait for a revision that this box
	// does not know yet.
	keyWait = "wait-ms"
)

// Headers that say up to where what is sent is known, and how old that is. Boxes need not
// agree on the time of day.
const (
	headerRevision = "Belief-Revision"
	headerChanged  = "Belief-Changed"
	headerAge      = "Belief-Age-Ms"
	// headerLoading says that the sender has nothing yet, and is reading it.
	headerLoading = "Belief-Loading"
	// headerSince says that only what has changed in the list of servers after a revision is sent.
	headerSince = "Belief-Since"
	// headerEvacuations tells the evacuated halls, as JSON, with the list of servers. It is missing
	// where the sender does not know them.
	headerEvacuations = "Belief-Evacuations"
	// headerLevel is the level of the forms that the sender reads.
	headerLevel = "Belief-Level"
)

const (
	// waitMost bounds how long a box is made to wait for what this one does not know yet.
	waitMost = time.Second
	// bodyMost bounds a part, in bytes before compression: tables of some megabytes and
	// lists of some thousand servers are expected.
	bodyMost = 64 << 20
)

// StatusError is an answer of another box that is no success.
type StatusError struct {
	Address string
	Status  int
	// Loading says that the box has nothing yet, and is reading it.
	Loading bool
}

func (e *StatusError) Error() string {
	if e.Loading {
		return fmt.Sprintf("box at %s is still reading what it was asked for: it is asked again", e.Address)
	}
	return fmt.Sprintf("box at %s answered %d: the next one or the source is asked", e.Address, e.Status)
}

// OlderBuildError is an answer of a box that reads less of the store than this one.
type OlderBuildError struct {
	Address string
	Level   int
}

func (e *OlderBuildError) Error() string {
	return fmt.Sprintf("box at %s is of an earlier build, which reads forms of level %d and not of %d: the next one or the source is asked", e.Address, e.Level, forms.Level)
}

// DamagedError is an answer that is not what its sender has.
type DamagedError struct {
	Address string
	Reason  string
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("answer of the box at %s can't be used, %s: the next one or the source is asked", e.Address, e.Reason)
}

// known is up to where a part is known.
type known struct {
	revision, changed uint64
	age               time.Duration
	// since is the revision after which changes of the list are sent; zero for the whole.
	since uint64
	// level is that of the forms that the sender reads; zero where it does not say.
	level int
	// evacuations are known with the list of servers only.
	evacuations directory.Evacuations
}

func (k known) write(h http.Header) {
	h.Set(headerRevision, strconv.FormatUint(k.revision, 10))
	h.Set(headerChanged, strconv.FormatUint(k.changed, 10))
	h.Set(headerAge, strconv.FormatInt(k.age.Milliseconds(), 10))
	h.Set(headerLevel, strconv.Itoa(forms.Level))
	if k.since > 0 {
		h.Set(headerSince, strconv.FormatUint(k.since, 10))
	}
	if k.evacuations.Revision > 0 {
		// Plain structs always encode.
		text, _ := json.Marshal(k.evacuations)
		h.Set(headerEvacuations, string(text))
	}
}

// readEvacuations reads the evacuated halls, none where they are not told.
func readEvacuations(h http.Header) (e directory.Evacuations, ok bool) {
	text := h.Get(headerEvacuations)
	if text == "" {
		return e, true
	}
	err := json.Unmarshal([]byte(text), &e)
	return e, err == nil
}

// readKnown reads the headers of an answer. It returns false where one is missing or makes
// no sense.
func readKnown(h http.Header) (known, bool) {
	revision, err1 := strconv.ParseUint(h.Get(headerRevision), 10, 64)
	changed, err2 := strconv.ParseUint(h.Get(headerChanged), 10, 64)
	age, err3 := strconv.ParseUint(h.Get(headerAge), 10, 32)
	since := uint64(0)
	var err4 error
	if text := h.Get(headerSince); text != "" {
		since, err4 = strconv.ParseUint(text, 10, 64)
	}
	named := 0
	var err5 error
	if text := h.Get(headerLevel); text != "" {
		named, err5 = strconv.Atoi(text)
	}
	evacuations, told := readEvacuations(h)
	ok := errors.Join(err1, err2, err3, err4, err5) == nil && changed <= revision && told
	return known{
		revision: revision, changed: changed, since: since, age: time.Duration(age) * time.Millisecond,
		level: named, evacuations: evacuations,
	}, ok
}
