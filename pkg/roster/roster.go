// Package roster maintains the list of all boxes. Each box registers an entry in the store when
// it starts and removes it at shutdown. Reading the entries also returns the revision of the
// store. Boxes that see the same entries derive the same readers of the store and the same tree
// for distributing its contents.
package roster

import (
	"cmp"
	"context"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/storerev"
)

// Entry describes one box.
type Entry struct {
	Box  string
	Hall string
	// Peer is the address at which the box receives datagrams from others.
	Peer string
	// LinkMbps is the speed of the network link in Mbit/s, or zero if unknown.
	LinkMbps float64
	// Incarnation is a random number that identifies one start of the box.
	Incarnation uint64
	// Level is the forms level that the box reads, or zero if its entry has none.
	Level int
}

// Address returns the resolved peer address, or nil if it is invalid.
func (e Entry) Address() *net.UDPAddr {
	a, err := net.ResolveUDPAddr("udp", e.Peer)
	if err != nil {
		return nil
	}
	return a
}

// Store stores the entries.
type Store interface {
	// Register writes an entry, replacing any older one of the same box.
	Register(ctx context.Context, e Entry) error
	// Deregister removes an entry if it still belongs to the same incarnation.
	Deregister(ctx context.Context, e Entry) error
	// List returns all entries and the revision of the store. A stale list may be seconds old,
	// but is cheap and not rate limited.
	List(ctx context.Context, stale bool) (entries []Entry, revision storerev.Revision, err error)
	// ListPage returns the first page of entries, and whether there are more.
	ListPage(ctx context.Context, stale bool) (entries []Entry, more bool, revision storerev.Revision, err error)
}

// Roster is the view that this box has of all boxes.
type Roster struct {
	store     Store
	self      Entry
	limits    stall.Limits
	logger    log.Logger
	onRefresh func()

	mu      sync.Mutex
	entries []Entry
	// revision is the revision of the store at which the entries were read.
	revision storerev.Revision
	// hasFreshRead is set after the first read that was not stale.
	hasFreshRead bool
	// complete is set once all entries have been read.
	complete bool
	// listTruncated is set if the last page did not contain all entries.
	listTruncated bool
	peers         []*net.UDPAddr
	// byRank holds the entries sorted by rank.
	byRank []Entry
	// providers are the boxes from which this one fetches missing data, rank is its own rank.
	providers []Entry
	rank      int
	peerAddrs map[netip.AddrPort]bool
	peerHosts map[netip.Addr]bool
	// registered is set while the store has the entry of this box.
	registered bool
}

// New returns a Roster that contains only this box. The limits apply to each call to the store.
func New(store Store, self Entry, limits stall.Limits, logger log.Logger) *Roster {
	self.Incarnation = rand.Uint64() >> 1
	return &Roster{store: store, self: self, limits: limits, logger: logger, onRefresh: func() {}, entries: []Entry{self}, byRank: []Entry{self}, rank: unknownRank}
}

// OnRefresh sets a function that is called after each read. It must be set before the first read.
func (r *Roster) OnRefresh(f func()) { r.onRefresh = f }

// Count returns the number of boxes, including this one.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Digest returns a hash of the boxes and their incarnations. complete is unset if the roster may lack boxes that the store
// had at the last read.
func (r *Roster) Digest() (digest uint64, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		// The order of the entries does not matter.
		digest ^= xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(e.Box), e.Incarnation))
	}
	return digest, r.complete && r.hasFreshRead && r.rank < fullReadRanks
}

// Peers returns the addresses of the other boxes, sorted by name and rotated to start after this
// box, so that boxes do not all contact the same peers first.
func (r *Roster) Peers() []*net.UDPAddr {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers
}

// Entries returns all boxes, including this one. Callers must not modify the slice.
func (r *Roster) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries
}

// ListByRank returns all boxes sorted by rank. Callers must not modify the slice.
func (r *Roster) ListByRank() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRank
}

// Names returns the names of all boxes, including this one.
func (r *Roster) Names() []string {
	entries := r.Entries()
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Box)
	}
	return names
}

// Incarnation returns the incarnation of this box.
func (r *Roster) Incarnation() uint64 { return r.self.Incarnation }

// IsPeer reports whether an address belongs to another box.
func (r *Roster) IsPeer(a netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerAddrs[a]
}

// IsPeerHost reports whether an IP address belongs to another box.
func (r *Roster) IsPeerHost(ip netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerHosts[ip.Unmap()]
}

// IsReader reports whether this box is one of the few that watch the store on behalf of all. It
// returns false before the first read that is not stale: a stale list may lack boxes of lower
// rank when many boxes start at once. Of 985 boxes, dozens took themselves for readers.
func (r *Roster) IsReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasFreshRead && r.rank < readerCount
}

// IsReaderCandidate reports whether this box is alone or a reader according to the entries read so
// far, which may be stale.
func (r *Roster) IsReaderCandidate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries) == 1 || r.rank < readerCount
}

// unknownRank is the rank before the first read.
const unknownRank = math.MaxInt

// Rank returns the index of this box in the order of SortByRank.
func (r *Roster) Rank() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rank
}

// Providers returns the boxes from which this one fetches missing data, in order. It returns none
// for a reader. Callers must not modify the slice.
func (r *Roster) Providers() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.providers
}

// peerAddresses returns the addresses of all boxes but self, in order and as sets.
func peerAddresses(entries []Entry, self string) (peers []*net.UDPAddr, known map[netip.AddrPort]bool, hosts map[netip.Addr]bool) {
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

// rotateAfter sorts entries by name and rotates them to start after the given name.
func rotateAfter(entries []Entry, name string) []Entry {
	list := slices.Clone(entries)
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(trueFirst(a.Box > name, b.Box > name), cmp.Compare(a.Box, b.Box))
	})
	return list
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Deregister removes the entry of this box from the store.
func (r *Roster) Deregister(ctx context.Context) {
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	// If this fails, the entry is replaced at the next start.
	err := r.store.Deregister(ctx, r.self)
	_ = level.Info(r.logger).Log("msg", "deregistered from roster", "box", r.self.Box, "err", err)
}
