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
	deltas []keptDelta
	events int
}

// keptDelta is a change that is kept.
type keptDelta struct {
	Delta
	// jump tells that the whole list was read: between the two revisions servers may have changed
	// and changed back, which is known to nobody here.
	jump bool
}

// size is what it counts of what is kept: also a jump in which nothing has changed takes room.
func (d keptDelta) size() int { return max(1, len(d.Events)) }

// begin begins with a first list.
func (h *listHistory) begin(revision uint64) { *h = listHistory{from: revision} }

// jump keeps what leads from a list to a later one that was read as a whole.
func (h *listHistory) jump(d Delta) {
	if d.From < d.To {
		h.keep(keptDelta{Delta: d, jump: true})
	}
}

// add keeps a change. Deltas in which nothing has changed come with each watch that ends, for ever.
func (h *listHistory) add(d Delta) {
	if len(d.Events) > 0 {
		h.keep(keptDelta{Delta: d})
	}
}

func (h *listHistory) keep(d keptDelta) {
	h.deltas = append(h.deltas, d)
	h.events += d.size()
	for h.events > historyEvents {
		h.from = h.deltas[0].To
		h.events -= h.deltas[0].size()
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
		if d.jump && d.From < revision {
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

// ListCopy is the list of servers as one box knows it: as a whole, or what has changed in it.
type ListCopy struct {
	// Servers is the whole list; nil where Delta is set, which leads to it.
	Servers           []routing.Server
	Delta             *Delta
	Revision, Changed uint64
	ConfirmedAt       time.Time
	// Evacuations are the halls whose servers get nothing.
	Evacuations Evacuations
}
