package loadshare

import (
	"net"
	"time"

	"headhill.example/headhill/pkg/roster"
)

const (
	// relaysPerHall is how many boxes of a hall add its reports up. Two cost four times
	// the datagrams between halls, and a lost one is soon replaced.
	relaysPerHall = 1
	// silentAfter is how long a relay may say nothing to a box that reports to it,
	// silentFor how long another one takes its place.
	silentAfter = 800 * time.Millisecond
	silentFor   = 10 * time.Second
)

// member is a box of the roster as this package uses it.
type member struct {
	box     string
	hall    string
	address *net.UDPAddr
}

// membersOf reads the roster's entries, in the order in which boxes relay.
func membersOf(entries []roster.Entry) []member {
	members := make([]member, 0, len(entries))
	for _, e := range roster.SortByRank(entries) {
		if address := e.Address(); address != nil {
			members = append(members, member{box: e.Box, hall: e.Hall, address: address})
		}
	}
	return members
}

// silence tracks which relays do not answer.
type silence struct {
	// since is when a relay was first sent a report without an answer, until how long it is
	// passed over.
	since map[string]time.Time
	until map[string]time.Time
}

func newSilence() silence {
	return silence{since: make(map[string]time.Time), until: make(map[string]time.Time)}
}

// heard notes that a relay has sent a summary.
func (s silence) heard(box string) {
	delete(s.since, box)
	delete(s.until, box)
}

// reported notes that a relay was sent a report.
func (s silence) reported(box string, now time.Time) {
	since, waiting := s.since[box]
	switch {
	case !waiting:
		s.since[box] = now
	case now.Sub(since) > silentAfter:
		delete(s.since, box)
		s.until[box] = now.Add(silentFor)
	}
}

// relays are the boxes that add up the reports of a hall: the first that answer.
func (s silence) relays(members []member, hall string, now time.Time) []member {
	var list []member
	for _, m := range members {
		if m.hall != hall || now.Before(s.until[m.box]) {
			continue
		}
		if list = append(list, m); len(list) == relaysPerHall {
			break
		}
	}
	return list
}
