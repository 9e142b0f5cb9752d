package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdThreshold is the number of incidents after which a request is held. A crash makes suspects of
	// all requests on the server, most of them harmless; repeated crashes without a successful run in
	// between are unlikely for those.
	holdThreshold = 3
	// certainThreshold is the number of incidents after which any request is held. Only then are crashes counted that
	// were read from the record: what else crashed at that time is not known.
	certainThreshold = holdThreshold + maxAdditionalIncidents
	// IncidentWindow is the time within which crashes count as one incident: servers that crash together
	// have a common cause other than one request. Boxes detect such crashes tens of milliseconds apart.
	IncidentWindow = 100 * time.Millisecond
	// firstTrialDelay is the time from the last crash until the first trial of a held request. Each failed
	// trial multiplies it by trialBackoffFactor. After maxTrials only an operator can release the request.
	firstTrialDelay    = time.Minute
	trialBackoffFactor = 10
	maxTrials          = 3
)

// unexcusedCrashes returns the times of the crashes that count, in order.
func (i *Item) unexcusedCrashes() []time.Time { return i.crashTimes(i.unattributed()) }

// crashTimes returns the times of crashes in order.
func (i *Item) crashTimes(crashes map[IncarnationHash]time.Time) []time.Time {
	return slices.SortedFunc(maps.Values(crashes), time.Time.Compare)
}

// unexcused returns the crashes that are not excused.
func (i *Item) unexcused() map[IncarnationHash]time.Time {
	m := make(map[IncarnationHash]time.Time, len(i.Crashes))
	for incarnation, at := range i.Crashes {
		if !i.Excused[incarnation] && !acquits(i.SoundAt, at) {
			m[incarnation] = at
		}
	}
	return m
}

// unattributed returns the crashes that are neither excused nor explained by another suspect.
func (i *Item) unattributed() map[IncarnationHash]time.Time {
	m := i.unexcused()
	for incarnation := range i.Attributed {
		delete(m, incarnation)
	}
	return m
}

// seen returns the crashes that count, without those that were read from the record.
func (i *Item) seen() map[IncarnationHash]time.Time {
	m := i.unattributed()
	for incarnation := range i.Recorded {
		delete(m, incarnation)
	}
	return m
}

// incidents returns the crash times that start an incident: those at least IncidentWindow after the start
// of the previous incident.
func incidents(crashes []time.Time) []time.Time {
	var list []time.Time
	for _, at := range crashes {
		if len(list) == 0 || at.Sub(list[len(list)-1]) >= IncidentWindow {
			list = append(list, at)
		}
	}
	return list
}

// Verdict is the decision on a request.
type Verdict struct {
	// Held requests are not sent to any server.
	Held bool
	// Crashes is the number of servers that crashed while they had the request, Incidents the number of
	// incidents.
	Crashes   int
	Incidents int
	// Trials is the number of trials so far. NextTrial is when the next one is due; zero if only an operator
	// can release the request.
	Trials    int
	NextTrial time.Time
}

// threshold returns the number of incidents after which the request is held on the evidence of this box.
func (i *Item) threshold() int { return holdThreshold + additionalIncidents(i.Unrelated) }

// holds reports whether the request is held after a number of incidents, seen of which were not read from the record. A request that another box has
// recorded in the store as held is held by all, as boxes may know different unrelated incidents.
func (i *Item) holds(incidents, seen int) bool {
	return seen >= i.threshold() || incidents >= certainThreshold || i.Stored && incidents >= holdThreshold
}

// countTrials returns the number of trials of a held request after a number of incidents. The record in the
// store counts them; without it, each incident beyond the threshold counts as one.
func (i *Item) countTrials(incidents, seen int) int {
	if i.Stored {
		return i.Trials
	}
	return max(i.Trials, seen-i.threshold(), incidents-certainThreshold)
}

// verdict derives the decision from the evidence.
func (i *Item) verdict() Verdict {
	crashes := i.unexcusedCrashes()
	counted := incidents(crashes)
	seen := len(counted)
	if len(i.Recorded) > 0 {
		seen = len(incidents(i.crashTimes(i.seen())))
	}
	v := Verdict{Held: i.holds(len(counted), seen), Crashes: len(crashes), Incidents: len(counted)}
	if !v.Held {
		return v
	}
	v.Trials = i.countTrials(len(counted), seen)
	if v.Trials >= maxTrials {
		return v
	}
	wait := firstTrialDelay
	for range v.Trials {
		wait *= trialBackoffFactor
	}
	v.NextTrial = crashes[len(crashes)-1].Add(wait)
	return v
}
