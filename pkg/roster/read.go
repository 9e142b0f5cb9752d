package roster

import (
	"context"
	"slices"

	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/stall"
)

// Refresh enters this box if it is not entered yet, reads the others, and returns the
// store's revision.
func (r *Roster) Refresh(ctx context.Context) (uint64, error) {
	r.enter(ctx)
	return r.read(ctx, false)
}

// RefreshPageStale enters this box if it is not entered yet, and reads some of the others as they were some
// seconds ago at most, which costs little however many there are. Neither waits for the other. It
// returns whether that made any box known.
func (r *Roster) RefreshPageStale(ctx context.Context) (bool, error) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.enter(ctx) })
	before := r.Count()
	_, err := r.readSome(ctx, true)
	return r.Count() > before, err
}

// RefreshPage is RefreshPageStale without what is some seconds old.
func (r *Roster) RefreshPage(ctx context.Context) error {
	r.enter(ctx)
	_, err := r.readSome(ctx, false)
	return err
}

// checkersWhole is how many boxes, the first in order, read all entries with each check: those that
// check by turns, and those that follow them when they are gone.
const checkersWhole = 8

// RefreshByRank enters this box if it is not entered yet and returns the store's revision. The first boxes
// in order read all others; the rest, which check where they hear of no other check, as many as the
// store gives at once.
func (r *Roster) RefreshByRank(ctx context.Context) (uint64, error) {
	if r.Rank() < checkersWhole {
		return r.Refresh(ctx)
	}
	r.enter(ctx)
	return r.readSome(ctx, false)
}

// RefreshStale reads all others as they were some seconds ago at most.
func (r *Roster) RefreshStale(ctx context.Context) (bool, error) {
	before := r.Count()
	_, err := r.read(ctx, true)
	return r.Count() > before, err
}

func (r *Roster) readSome(ctx context.Context, stale bool) (uint64, error) {
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	entries, more, revision, err := r.store.ListPage(ctx, stale)
	switch {
	case err != nil:
		return 0, err
	case more:
		r.merge(entries)
		r.setPartial()
	default:
		r.set(entries, revision, stale)
	}
	r.onChange()
	return revision, nil
}

func (r *Roster) setPartial() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial = true
}

// merge adds entries to those that are known.
func (r *Roster) merge(entries []Entry) {
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
	news := len(all) > len(r.entries)
	r.mu.Unlock()
	if news {
		r.install(all, 0, true)
	}
}

// ListTruncated tells whether the store gives only some of the boxes at once.
func (r *Roster) ListTruncated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partial
}

// Complete tells whether all boxes have been read once.
func (r *Roster) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.whole
}

// Snapshot is all boxes as they were at a revision of the store; false while only some are known.
func (r *Roster) Snapshot() (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{Entries: r.entries, Revision: r.revision}, r.whole
}

// Snapshot is what one box knows of the others, as it is sent to another.
type Snapshot struct {
	Entries  []Entry
	Revision uint64
}

// ApplySnapshot takes in what another box knows. It returns whether that made any box known.
func (r *Roster) ApplySnapshot(c Snapshot) bool {
	before := r.Count()
	r.set(c.Entries, c.Revision, true)
	r.onChange()
	return r.Count() > before
}

func (r *Roster) read(ctx context.Context, stale bool) (uint64, error) {
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	entries, revision, err := r.store.List(ctx, stale)
	if err != nil {
		return 0, err
	}
	r.set(entries, revision, stale)
	r.onChange()
	return revision, nil
}

// enter writes this box's entry once. While it can't, the others do not know this
// box, and it checks the store for itself.
func (r *Roster) enter(ctx context.Context) {
	r.mu.Lock()
	entered := r.entered
	r.mu.Unlock()
	if entered {
		return
	}
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	if err := r.store.Register(ctx, r.self); err != nil {
		_ = level.Info(r.logger).Log("msg", "not entered in the roster", "box", r.self.Box, "err", err, "outcome", "tried again with the next check")
		return
	}
	r.mu.Lock()
	r.entered = true
	r.mu.Unlock()
}

// set takes a reading of all boxes in. One that is older than what is known is dropped.
func (r *Roster) set(entries []Entry, revision uint64, stale bool) {
	r.mu.Lock()
	old := revision < r.revision || stale && revision == r.revision
	r.whole = true
	r.mu.Unlock()
	if !old {
		r.install(entries, revision, stale)
	}
}

// install works out what follows from entries, and puts it in force.
func (r *Roster) install(entries []Entry, revision uint64, stale bool) {
	own := placeOf(entries, r.self) >= 0
	if !own {
		entries = append(entries, r.self)
	}
	peers, known, hosts := addressesOf(behind(entries, r.self.Box), r.self.Box)
	ordered := SortByRank(entries)
	providers, rank := providersIn(ordered, r.self), placeOf(ordered, r.self)
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision > 0 && revision < r.revision {
		return
	}
	// Others take a box out that they do not hear any more. One that is alive after
	// all enters itself again. A stale reading may be older than the entry.
	r.entered = r.entered && (own || stale)
	if before, now := lowestLevel(r.entries), lowestLevel(entries); before != now {
		_ = level.Info(r.logger).Log("msg", "lowest level of forms", "level", now, "before", before, "own", forms.Level, "boxes", len(entries))
	}
	if len(entries) != len(r.entries) {
		_ = level.Info(r.logger).Log("msg", "roster size changed", "count", len(entries), "before", len(r.entries), "revision", revision, "stale", stale)
	}
	r.entries, r.revision, r.fresh = entries, max(revision, r.revision), r.fresh || !stale
	r.peers, r.known, r.hosts, r.ordered = peers, known, hosts, ordered
	r.providers, r.rank = providers, rank
}
