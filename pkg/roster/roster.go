// Package roster tells which boxes there are. Each box writes one entry into the
// store when it starts, and takes it out at a planned stop. Reading the entries also
// tells the store's revision. Boxes that see the same entries agree on who reads the
// store for all, and on who passes what it holds on to whom.
package roster

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/stall"
)

// Entry is one box.
type Entry struct {
	Box  string
	Hall string
	// Peer is the address at which the box hears from others.
	Peer string
	// LinkMbps is the speed of the box's link, in Mbit/s; zero if it is not known.
	LinkMbps float64
	// Incarnation is drawn anew at each start.
	Incarnation uint64
	// Level is that of the forms that the box reads; zero where its entry names none.
	Level int
}

// Address is where the box hears from others, nil if it can't be read.
func (e Entry) Address() *net.UDPAddr {
	a, err := net.ResolveUDPAddr("udp", e.Peer)
	if err != nil {
		return nil
	}
	return a
}

// Store keeps the entries.
type Store interface {
	// Register writes an entry over any older one of the same box.
	Register(ctx context.Context, e Entry) error
	// Deregister removes an entry if it is still this incarnation's.
	Deregister(ctx context.Context, e Entry) error
	// List lists the entries and the store's revision at that moment. A stale list may be
	// seconds old, but it is cheap and bound by no rate.
	List(ctx context.Context, stale bool) (entries []Entry, revision uint64, err error)
	// ListPage lists as many as the store gives at once, and whether there are more.
	ListPage(ctx context.Context, stale bool) (entries []Entry, more bool, revision uint64, err error)
}

// Roster is what this box knows of the others.
type Roster struct {
	store    Store
	self     Entry
	limits   stall.Limits
	logger   log.Logger
	onChange func()

	mu      sync.Mutex
	entries []Entry
	// revision is that of the store at which the entries were read, fresh tells whether any
	// reading was not stale.
	revision uint64
	fresh    bool
	// whole tells that all entries have been read once, and not only some.
	whole bool
	// partial tells that the store gave only some of them when it was last looked at.
	partial bool
	peers   []*net.UDPAddr
	// ordered are the entries in the order in which boxes read and relay for others.
	ordered []Entry
	// providers are the boxes that this one asks for what it lacks, rank is its place in
	// the order in which boxes read for others.
	providers []Entry
	rank      int
	known     map[netip.AddrPort]bool
	hosts     map[netip.Addr]bool
	entered   bool
}

// New returns a roster of one box, this one. The limits bound each call to the store.
func New(store Store, self Entry, limits stall.Limits, logger log.Logger) *Roster {
	self.Incarnation = rand.Uint64() >> 1
	return &Roster{store: store, self: self, limits: limits, logger: logger, onChange: func() {}, entries: []Entry{self}, ordered: []Entry{self}, rank: rankUnknown}
}

// OnRefresh sets who is told that the boxes have been read. It is set before the first reading.
func (r *Roster) OnRefresh(f func()) { r.onChange = f }

// Count is the number of boxes, this one included.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Peers are the addresses of the other boxes, in an order that begins behind this
// box's own name, so that the first few are not the same for all.
func (r *Roster) Peers() []*net.UDPAddr {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers
}

// Entries lists the boxes, this one included. Callers must not change the list.
func (r *Roster) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries
}

// ListByRank lists the boxes in the order in which they read and relay for others. Callers must
// not change the list.
func (r *Roster) ListByRank() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordered
}

// Names are those of the boxes, this one included.
func (r *Roster) Names() []string {
	entries := r.Entries()
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Box)
	}
	return names
}

// Incarnation is that of this box's process.
func (r *Roster) Incarnation() uint64 { return r.self.Incarnation }

// IsPeer tells whether an address is that of another box.
func (r *Roster) IsPeer(a netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[a]
}

// IsPeerHost tells whether another box has an IP.
func (r *Roster) IsPeerHost(ip netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[ip.Unmap()]
}

// IsReader tells whether this box is one of the few that watch the store for all. A box that has
// only seen the others as they were some time ago is none yet: more may have entered. Of 985 that
// started at once dozens took themselves for the first ones.
func (r *Roster) IsReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fresh && r.rank < readers
}

// IsReaderCandidate tells whether this box would be a reader, or is alone, by what it has seen.
func (r *Roster) IsReaderCandidate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries) == 1 || r.rank < readers
}

// rankUnknown is the rank of a box that has not read the roster yet.
const rankUnknown = math.MaxInt

// Rank is this box's place in the order in which boxes read for others; zero for the first.
func (r *Roster) Rank() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rank
}

// Providers are the boxes that this one asks for what it lacks, in order; none for a
// reader. Callers must not change the list.
func (r *Roster) Providers() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.providers
}

// addressesOf returns where the boxes other than this one are, in order and as sets.
func addressesOf(entries []Entry, self string) (peers []*net.UDPAddr, known map[netip.AddrPort]bool, hosts map[netip.Addr]bool) {
	peers = make([]*net.UDPAddr, 0, len(entries))
	known = make(map[netip.AddrPort]bool, len(entries))
	hosts = make(map[netip.Addr]bool, len(entries))
	for _, e := range entries {
		a := e.Address()
		if e.Box == self || a == nil {
			continue
		}
		peers = append(peers, a)
		address := datagram.CanonicalAddrPort(a)
		known[address] = true
		hosts[address.Addr()] = true
	}
	return peers, known, hosts
}

// behind orders entries by name, those behind a name first.
func behind(entries []Entry, name string) []Entry {
	list := slices.Clone(entries)
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(compareBool(a.Box > name, b.Box > name), cmp.Compare(a.Box, b.Box))
	})
	return list
}

// compareBool puts true first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Deregister takes this box out.
func (r *Roster) Deregister(ctx context.Context) {
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	// An entry that stays is written over at the next start.
	err := r.store.Deregister(ctx, r.self)
	_ = level.Info(r.logger).Log("msg", "left the roster", "box", r.self.Box, "err", err)
}
