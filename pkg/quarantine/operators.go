package quarantine

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

// Held describes a held request to operators.
type Held struct {
	// Request is the name of the request in logs and responses.
	Request string `json:"request"`
	// Part is the ID of a held part of prompts, "" for a request.
	Part string `json:"part,omitempty"`
	// Crashes is the number of servers that crashed while they had the request, LastCrashSeconds the time
	// since the last crash.
	Crashes          int     `json:"ends"`
	LastCrashSeconds float64 `json:"last_end_s"`
	// Trials is the number of trials so far, NextTrialSeconds the time until the next one; zero if only an
	// operator can release the request.
	Trials           int     `json:"trials"`
	NextTrialSeconds float64 `json:"next_trial_s"`
}

// UnknownRequestError reports that no held request has the given name.
type UnknownRequestError struct{ Request string }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no request %q is held: list those that are", e.Request)
}

// heldItems returns the items of held requests.
func (l *Ledger) heldItems() []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Item
	for _, e := range l.entries {
		if e.held {
			list = append(list, e.clone())
		}
	}
	return list
}

// Held lists the held requests, sorted by name.
func (q *Quarantine) Held(now time.Time) []Held {
	list := []Held{}
	for _, i := range q.ledger.heldItems() {
		v, crashes := i.verdict(), i.unexcusedCrashes()
		if len(crashes) == 0 {
			continue
		}
		h := Held{Request: i.Fingerprint.String(), Part: i.Part, Crashes: v.Crashes, Trials: v.Trials, LastCrashSeconds: now.Sub(crashes[len(crashes)-1]).Seconds()}
		if !v.NextTrial.IsZero() {
			h.NextTrialSeconds = max(0, v.NextTrial.Sub(now).Seconds())
		}
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Held) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

// Release releases a held request on all boxes at the request of an operator.
func (q *Quarantine) Release(request string) error {
	name, err := hex.DecodeString(request)
	if err != nil || len(name) != nameBytes {
		return &UnknownRequestError{Request: request}
	}
	for _, i := range q.ledger.heldItems() {
		if slices.Equal(i.Fingerprint.Digest[:nameBytes], name) {
			_ = level.Warn(q.logger).Log("msg", "held request released by operator", "request", request)
			q.persister.RecordSuccess(i.Fingerprint)
			return nil
		}
	}
	return &UnknownRequestError{Request: request}
}
