package loadshare

import (
	"net"
	"time"

	"headhill.example/headhill/pkg/roster"
)

const (
	// relaysPerHall is how many boxes of a hall sum its reports. The datagrams between halls
	// grow with its square.
	relaysPerHall = 1
	// relayTimeout is how long a relay may leave reports without a summary before it counts
	// as failed, relayBackoff how long a failed relay is skipped.
	relayTimeout = 800 * time.Millisecond
	relayBackoff = 10 * time.Second
)

// member is a box of the roster with a resolved address.
type member struct {
	box     string
	hall    string
	address *net.UDPAddr
	// level is the forms level that the box reads.
	level int
}

// membersOf returns the roster entries that have a valid address, in the order in which boxes
// are chosen as relays.
func membersOf(entries []roster.Entry) []member {
	members := make([]member, 0, len(entries))
	for _, e := range roster.SortByRank(entries) {
		if address := e.Address(); address != nil {
			members = append(members, member{box: e.Box, hall: e.Hall, address: address, level: e.Level})
		}
	}
	return members
}

// relayHealth tracks which relays do not respond.
type relayHealth struct {
	// unansweredSince is when the first report without a summary was sent to a relay,
	// skipUntil the end of its backoff.
	unansweredSince map[string]time.Time
	skipUntil       map[string]time.Time
}

func newRelayHealth() relayHealth {
	return relayHealth{unansweredSince: make(map[string]time.Time), skipUntil: make(map[string]time.Time)}
}

// recordSummary records that a relay has sent a summary.
func (h relayHealth) recordSummary(box string) {
	delete(h.unansweredSince, box)
	delete(h.skipUntil, box)
}

// recordReport records that a report was sent to a relay.
func (h relayHealth) recordReport(box string, now time.Time) {
	since, waiting := h.unansweredSince[box]
	switch {
	case !waiting:
		h.unansweredSince[box] = now
	case now.Sub(since) > relayTimeout:
		delete(h.unansweredSince, box)
		h.skipUntil[box] = now.Add(relayBackoff)
	}
}

// relays returns the relays of a hall: the first members that are not in backoff.
func (h relayHealth) relays(members []member, hall string, now time.Time) []member {
	var list []member
	for _, m := range members {
		if m.hall != hall || now.Before(h.skipUntil[m.box]) {
			continue
		}
		if list = append(list, m); len(list) == relaysPerHall {
			break
		}
	}
	return list
}
