package directory

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

// historyEvents bounds the changes of the list that are kept for boxes that lack them: as many as
// the servers of a large fleet of which a quarter is replaced within a minute or two.
const historyEvents = 4096

// listHistory keeps the last changes of the list of servers.
type listHistory struct {
	// from is the revision from which on all changes are known.
	from   uint64
	deltas []Delta
	events int
}

// begin begins anew, as the whole list was read: what it changed is known, but not in which order.
func (h *listHistory) begin(revision uint64) { *h = listHistory{from: revision} }

// add keeps a change. Deltas in which nothing has changed come with each watch that ends, for ever.
func (h *listHistory) add(d Delta) {
	if len(d.Events) == 0 {
		return
	}
	h.deltas = append(h.deltas, d)
	h.events += len(d.Events)
	for h.events > historyEvents {
		h.from = h.deltas[0].To
		h.events -= len(h.deltas[0].Events)
		h.deltas = h.deltas[1:]
	}
}

// since returns the last change of each server after a revision; false if that is not known.
func (h *listHistory) since(revision uint64) ([]ServerEvent, bool) {
	if h.from == 0 || revision < h.from {
		return nil, false
	}
	last := make(map[string]int)
	var events []ServerEvent
	for _, d := range h.deltas {
		if d.To <= revision {
			continue
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

// ListCopy is the list of servers as one box knows it: as a whole, or what has changed in it.
type ListCopy struct {
	// Servers is the whole list; nil where Delta is set, which leads to it.
	Servers           []routing.Server
	Delta             *Delta
	Revision, Changed uint64
	Read              time.Time
	// Evacuations are the halls whose servers get nothing.
	Evacuations Evacuations
}
