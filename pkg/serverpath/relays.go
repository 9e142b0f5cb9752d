package serverpath

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"headhill.example/headhill/pkg/tunnel"
)

const (
	// relayBackoff is how long a box that opened no tunnel is asked only after all others. Boxes whose
	// build has no tunnels are asked after unsupportedBackoff again.
	relayBackoff       = time.Second
	unsupportedBackoff = time.Minute
	// relayTTL is how long a box that opened a tunnel is preferred to others.
	relayTTL = 10 * time.Second
	// minProven is the number of boxes among which tunnels are spread. While fewer have opened one, a
	// further box is asked first every exploreInterval.
	minProven       = 3
	exploreInterval = 250 * time.Millisecond
	// maxUnproven limits the boxes that are considered without having opened a tunnel.
	maxUnproven = 6
)

// Peer is another box.
type Peer struct {
	// Address is the peer address of the box.
	Address string
	Hall    string
}

// relay is what this box knows of another one as a relay.
type relay struct {
	provenAt    time.Time
	failedUntil time.Time
	// carriedAt is when a tunnel through the box last carried data from a server.
	carriedAt time.Time
	// open is the number of tunnels that lead through it.
	open int
}

// relays chooses the boxes that are asked for tunnels.
type relays struct {
	hall string
	// mayRelay is Deps.MayRelay.
	mayRelay func(relayHall, serverHall string) bool

	mu      sync.Mutex
	known   map[string]*relay
	explore time.Time
}

func newRelays(hall string, mayRelay func(relayHall, serverHall string) bool) *relays {
	return &relays{hall: hall, mayRelay: mayRelay, known: make(map[string]*relay)}
}

// order returns the boxes that may be asked for a connection to a server, in order: those that opened a tunnel
// recently, the least used first, then others, those of this hall and of the server's hall in turn, and
// last those that failed recently. One of the first two is in the server's hall, as the boxes of this one
// may have lost the same links.
func (r *relays) order(peers []Peer, serverHall string, now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(peers)
	var proven, failed []Peer
	var own, servers, other sample
	for _, p := range peers {
		k := r.known[p.Address]
		switch {
		case !r.mayRelay(p.Hall, serverHall):
		case k != nil && now.Before(k.failedUntil):
			failed = append(failed, p)
		case k != nil && !k.provenAt.IsZero() && now.Sub(k.provenAt) < relayTTL:
			proven = append(proven, p)
		case p.Hall == r.hall:
			own.add(p)
		case p.Hall == serverHall:
			servers.add(p)
		default:
			other.add(p)
		}
	}
	shuffle(proven)
	slices.SortStableFunc(proven, func(a, b Peer) int { return cmp.Compare(r.known[a.Address].open, r.known[b.Address].open) })
	shuffle(failed)
	slices.SortStableFunc(failed, func(a, b Peer) int {
		return r.known[a.Address].failedUntil.Compare(r.known[b.Address].failedUntil)
	})
	unproven := append(interleave(own.items, servers.items), other.items...)
	if len(proven) > 0 && len(proven) < minProven && len(unproven) > 0 && !now.Before(r.explore) {
		r.explore = now.Add(exploreInterval)
		proven, unproven = append([]Peer{unproven[0]}, proven...), unproven[1:]
	}
	return append(withServerHall(append(proven, unproven...), serverHall), failed...)
}

// withServerHall moves the first box of the server's hall to the second place, unless one of the first
// two is there already.
func withServerHall(list []Peer, serverHall string) []Peer {
	i := slices.IndexFunc(list, func(p Peer) bool { return p.Hall == serverHall })
	if i <= 1 {
		return list
	}
	moved := list[i]
	return slices.Insert(slices.Delete(list, i, i+1), 1, moved)
}

// evict forgets boxes that are not in the roster any more.
func (r *relays) evict(peers []Peer) {
	if len(r.known) <= len(peers) {
		return
	}
	for address, k := range r.known {
		if k.open == 0 && !slices.ContainsFunc(peers, func(p Peer) bool { return p.Address == address }) {
			delete(r.known, address)
		}
	}
}

func (r *relays) relay(address string) *relay {
	k, ok := r.known[address]
	if !ok {
		k = &relay{}
		r.known[address] = k
	}
	return k
}

// recordOpened records that a box opened a tunnel.
func (r *relays) recordOpened(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.relay(address)
	k.provenAt, k.failedUntil = now, time.Time{}
	k.open++
}

// recordCarried records that a tunnel through a box carried data from a server.
func (r *relays) recordCarried(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relay(address).carriedAt = now
}

// recordBroken records that a tunnel through a box ended while a response was awaited. The box may be behind a path that
// accepts connections and carries none.
func (r *relays) recordBroken(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.relay(address)
	k.carriedAt, k.provenAt, k.failedUntil = time.Time{}, time.Time{}, now.Add(relayBackoff)
}

// carries reports whether a tunnel through a box has carried data from a server lately.
func (r *relays) carries(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known[address]
	return k != nil && !k.carriedAt.IsZero() && now.Sub(k.carriedAt) < relayTTL
}

// recordClosed records that a tunnel through a box was closed.
func (r *relays) recordClosed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relay(address).open--
}

// recordFailed records that a box opened no tunnel. A box that could not reach one server either may
// reach others, so it is not ranked lower.
func (r *relays) recordFailed(address string, err error, now time.Time) {
	var refused *tunnel.RefusedError
	backoff := relayBackoff
	if errors.As(err, &refused) {
		switch refused.Reason {
		case tunnel.ReasonServerRefused, tunnel.ReasonUnknownServer:
			return
		case tunnel.ReasonUnsupported:
			backoff = unsupportedBackoff
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.relay(address)
	k.provenAt, k.failedUntil = time.Time{}, now.Add(backoff)
}

// counts returns the number of boxes by what is known of them as relays, and the tunnels through them.
func (r *relays) counts(now time.Time) map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int64{"proven": 0, "failed": 0, "tunnels": 0}
	for _, k := range r.known {
		counts["tunnels"] += int64(k.open)
		switch {
		case now.Before(k.failedUntil):
			counts["failed"]++
		case now.Sub(k.provenAt) < relayTTL:
			counts["proven"]++
		}
	}
	return counts
}

// sample is a random sample of up to maxUnproven boxes, in random order.
type sample struct {
	items []Peer
	seen  int
}

func (s *sample) add(p Peer) {
	s.seen++
	if len(s.items) < maxUnproven {
		s.items = append(s.items, p)
		i, last := rand.IntN(len(s.items)), len(s.items)-1
		s.items[i], s.items[last] = s.items[last], s.items[i]
		return
	}
	if i := rand.IntN(s.seen); i < maxUnproven {
		s.items[i] = p
	}
}

func shuffle(list []Peer) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// interleave takes from both lists in turn.
func interleave(a, b []Peer) []Peer {
	out := make([]Peer, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}
