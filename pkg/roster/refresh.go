package roster

import (
	"context"
	"slices"

	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/storerev"
)

// Refresh registers this box if necessary, reads all entries, and returns the revision of the
// store.
func (r *Roster) Refresh(ctx context.Context) (storerev.Revision, error) {
	r.register(ctx)
	return r.readAll(ctx, false)
}

// RefreshPageStale registers this box if necessary and concurrently reads one page of entries,
// which may be stale by some seconds. Its cost does not depend on the number of boxes. It reports
// whether the number of known boxes has grown.
func (r *Roster) RefreshPageStale(ctx context.Context) (bool, error) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.register(ctx) })
	before := r.Count()
	_, err := r.readPage(ctx, true)
	return r.Count() > before, err
}

// RefreshPage registers this box if necessary and reads one page of entries that is not stale.
func (r *Roster) RefreshPage(ctx context.Context) error {
	r.register(ctx)
	_, err := r.readPage(ctx, false)
	return err
}

// fullReadRanks is how many boxes, by rank, read all entries with each check: those that take
// turns to check, and their replacements after a failure.
const fullReadRanks = 8

// RefreshByRank registers this box if necessary and returns the revision of the store. The first
// boxes by rank read all entries. The others, which check the store only if they receive no
// announcement, read one page.
func (r *Roster) RefreshByRank(ctx context.Context) (storerev.Revision, error) {
	if r.Rank() < fullReadRanks {
		return r.Refresh(ctx)
	}
	r.register(ctx)
	return r.readPage(ctx, false)
}

// RefreshStale reads all entries, which may be stale by some seconds. It reports whether the
// number of known boxes has grown.
func (r *Roster) RefreshStale(ctx context.Context) (bool, error) {
	before := r.Count()
	_, err := r.readAll(ctx, true)
	return r.Count() > before, err
}

func (r *Roster) readPage(ctx context.Context, stale bool) (storerev.Revision, error) {
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	entries, more, revision, err := r.store.ListPage(ctx, stale)
	switch {
	case err != nil:
		return 0, err
	case more:
		r.mergeEntries(entries)
		r.markListTruncated()
	default:
		r.setEntries(entries, revision, stale)
	}
	r.onRefresh()
	return revision, nil
}

func (r *Roster) markListTruncated() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listTruncated = true
}

// mergeEntries adds entries of boxes that are not known yet.
func (r *Roster) mergeEntries(entries []Entry) {
	r.mu.Lock()
	known := make(map[string]bool, len(r.entries))
	all := slices.Clone(r.entries)
	for _, e := range all {
		known[e.Box] = true
	}
	for _, e := range entries {
		if !known[e.Box] {
			all = append(all, e)
		}
	}
	added := len(all) > len(r.entries)
	r.mu.Unlock()
	if added {
		r.apply(all, 0, true)
	}
}

// ListTruncated reports whether the last page did not contain all entries.
func (r *Roster) ListTruncated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listTruncated
}

// Complete reports whether all entries have been read once.
func (r *Roster) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// Snapshot returns all boxes and the revision of the store. It returns false until all entries
// have been read once.
func (r *Roster) Snapshot() (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{Entries: r.entries, Revision: r.revision}, r.complete
}

// Snapshot is the roster of one box as sent to another.
type Snapshot struct {
	Entries  []Entry
	Revision storerev.Revision
}

// ApplySnapshot applies the roster of another box. It reports whether the number of known boxes
// has grown.
func (r *Roster) ApplySnapshot(s Snapshot) bool {
	before := r.Count()
	r.setEntries(s.Entries, s.Revision, true)
	r.onRefresh()
	return r.Count() > before
}

func (r *Roster) readAll(ctx context.Context, stale bool) (storerev.Revision, error) {
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	entries, revision, err := r.store.List(ctx, stale)
	if err != nil {
		return 0, err
	}
	r.setEntries(entries, revision, stale)
	r.onRefresh()
	return revision, nil
}

// ObserveEra processes an era of the store that was seen in a response. The store may have lost the
// entry of this box, so it is registered again with the next check.
func (r *Roster) ObserveEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision < storerev.StartOf(era) {
		r.registered = false
	}
}

// register writes the entry of this box if necessary. Until it succeeds, the other boxes do not
// know this one, and it checks the store itself.
func (r *Roster) register(ctx context.Context) {
	r.mu.Lock()
	registered := r.registered
	r.mu.Unlock()
	if registered {
		return
	}
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	if err := r.store.Register(ctx, r.self); err != nil {
		_ = level.Info(r.logger).Log("msg", "roster registration failed", "box", r.self.Box, "err", err, "outcome", "retried at the next check")
		return
	}
	r.mu.Lock()
	r.registered = true
	r.mu.Unlock()
}

// setEntries replaces all entries. A read older than the current revision is ignored.
func (r *Roster) setEntries(entries []Entry, revision storerev.Revision, stale bool) {
	r.mu.Lock()
	old := revision < r.revision || stale && revision == r.revision
	r.complete = true
	r.mu.Unlock()
	if !old {
		r.apply(entries, revision, stale)
	}
}

// apply replaces the entries and everything derived from them.
func (r *Roster) apply(entries []Entry, revision storerev.Revision, stale bool) {
	listed := indexOf(entries, r.self) >= 0
	if !listed {
		entries = append(entries, r.self)
	}
	peers, known, hosts := peerAddresses(rotateAfter(entries, r.self.Box), r.self.Box)
	ordered := SortByRank(entries)
	providers, rank := providersFromSorted(ordered, r.self), indexOf(ordered, r.self)
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision > 0 && revision < r.revision {
		return
	}
	// Other boxes remove the entry of a box that does not respond. If this box is missing, it
	// registers again. A stale list may predate its entry.
	r.registered = r.registered && (listed || stale)
	if before, now := lowestLevel(r.entries), lowestLevel(entries); before != now {
		_ = level.Info(r.logger).Log("msg", "lowest forms level changed", "level", now, "before", before, "own", forms.Level, "boxes", len(entries))
	}
	if len(entries) != len(r.entries) {
		_ = level.Info(r.logger).Log("msg", "roster size changed", "count", len(entries), "before", len(r.entries), "revision", revision, "stale", stale)
	}
	r.entries, r.revision, r.hasFreshRead = entries, max(revision, r.revision), r.hasFreshRead || !stale
	r.peers, r.peerAddrs, r.peerHosts, r.byRank = peers, known, hosts, ordered
	r.providers, r.rank = providers, rank
}
