package directory

import (
	"time"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// maxHistoryEvents bounds the list changes kept for boxes that lag behind. It covers the
// replacement of a quarter of a large fleet within one or two minutes.
const maxHistoryEvents = 4096

// listHistory keeps the most recent changes of the list of servers.
type listHistory struct {
	// from is the revision after which all changes are known.
	from    storerev.Revision
	entries []historyEntry
	events  int
}

// historyEntry is a delta in the history.
type historyEntry struct {
	Delta
	// fullRead marks a delta that spans a full read. Changes that were reverted within it are
	// unknown, so it cannot be split at a revision.
	fullRead bool
}

// size returns what an entry counts towards the limit; an empty one counts as one.
func (d historyEntry) size() int { return max(1, len(d.Events)) }

// reset starts the history at the revision of a first list.
func (h *listHistory) reset(revision storerev.Revision) { *h = listHistory{from: revision} }

// addFullRead records the difference to a list that was read in full.
func (h *listHistory) addFullRead(d Delta) {
	if d.From < d.To {
		h.push(historyEntry{Delta: d, fullRead: true})
	}
}

// add records a delta. Empty ones are skipped, as each watch that times out yields one.
func (h *listHistory) add(d Delta) {
	if len(d.Events) > 0 {
		h.push(historyEntry{Delta: d})
	}
}

func (h *listHistory) push(d historyEntry) {
	h.entries = append(h.entries, d)
	h.events += d.size()
	for h.events > maxHistoryEvents {
		h.from = h.entries[0].To
		h.events -= h.entries[0].size()
		h.entries = h.entries[1:]
	}
}

// since returns the last change of each server after a revision, or false if these are not all
// known.
func (h *listHistory) since(revision storerev.Revision) ([]ServerEvent, bool) {
	if h.from == 0 || revision < h.from {
		return nil, false
	}
	last := make(map[string]int)
	var events []ServerEvent
	for _, d := range h.entries {
		if d.To <= revision {
			continue
		}
		if d.fullRead && d.From < revision {
			return nil, false
		}
		for _, e := range d.Events {
			if i, ok := last[e.Server.ID]; ok {
				events[i] = e
				continue
			}
			last[e.Server.ID] = len(events)
			events = append(events, e)
		}
	}
	return events, true
}

// ListCopy is one box's copy of the list of servers, either whole or as a delta.
type ListCopy struct {
	// Servers is the whole list; nil if Delta is set.
	Servers           []routing.Server
	Delta             *Delta
	Revision, Changed storerev.Revision
	ConfirmedAt       time.Time
	Evacuations       Evacuations
}
