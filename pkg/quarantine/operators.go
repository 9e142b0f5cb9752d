package quarantine

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

// Held is what operators see of a request that is held.
type Held struct {
	// Request is the name of the request in logs and answers.
	Request string `json:"request"`
	// Crashes is how many servers ended under it, LastCrashSeconds how long ago the last one did.
	Crashes          int     `json:"ends"`
	LastCrashSeconds float64 `json:"last_end_s"`
	// Trials is how many trials it has had, NextTrialSeconds when the next one is due; zero if
	// only an operator releases it.
	Trials           int     `json:"trials"`
	NextTrialSeconds float64 `json:"next_trial_s"`
}

// UnknownRequestError says that no request of a name is held.
type UnknownRequestError struct{ Request string }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no request %q is held: list those that are", e.Request)
}

// held lists the items of the requests that are held.
func (l *Ledger) held() []Item {
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

// Held lists the requests that are held, by name.
func (q *Quarantine) Held(now time.Time) []Held {
	list := []Held{}
	for _, i := range q.ledger.held() {
		v, ends := i.verdict(), i.suspicious()
		h := Held{Request: i.Fingerprint.String(), Crashes: v.Crashes, Trials: v.Trials, LastCrashSeconds: now.Sub(ends[len(ends)-1]).Seconds()}
		if !v.NextTrial.IsZero() {
			h.NextTrialSeconds = max(0, v.NextTrial.Sub(now).Seconds())
		}
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Held) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

// Release takes a held request for harmless, on all boxes, as an operator asks.
func (q *Quarantine) Release(request string) error {
	name, err := hex.DecodeString(request)
	if err != nil || len(name) != stringLength {
		return &UnknownRequestError{Request: request}
	}
	for _, i := range q.ledger.held() {
		if slices.Equal(i.Fingerprint.Digest[:stringLength], name) {
			_ = level.Warn(q.logger).Log("msg", "operator releases a request", "request", request)
			q.keeper.RecordSuccess(i.Fingerprint)
			return nil
		}
	}
	return &UnknownRequestError{Request: request}
}
