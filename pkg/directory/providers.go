package directory

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// ErrNoProvider is returned if there is no other box to query.
var ErrNoProvider = errors.New("no other box can serve a copy: querying the source")

// ErrBehind is returned by a box that has not reached the requested revision.
var ErrBehind = errors.New("the other box is behind: the next one or the source is asked")

// ErrLoading is returned by a box that has not reached the requested revision and is reading it.
var ErrLoading = errors.New("the other box is reading it: it is asked again")

// TableCopy is one box's copy of the routing table.
type TableCopy struct {
	Table *routing.Table
	// Revision is the revision up to which the table is known, Changed the one at which it last
	// changed.
	Revision, Changed storerev.Revision
	// ConfirmedAt is when the source confirmed the table.
	ConfirmedAt time.Time
}

// Providers are the other boxes that can serve copies, which takes load off the source.
type Providers interface {
	// Table requests a table known at minRevision or later. The table in force, which may be nil,
	// need not be sent again.
	Table(ctx context.Context, inForce *routing.Table, minRevision storerev.Revision) (TableCopy, error)
	// Servers requests the list known at minRevision or later. If since is not zero, a delta from
	// that revision is sufficient.
	Servers(ctx context.Context, since, minRevision storerev.Revision) (ListCopy, error)
}

// shouldQueryProviders reports whether to query other boxes before the source: a box that is no
// reader does so while the part is not loaded, and when it is known to have changed.
func (f *follower) shouldQueryProviders(requested target, reader func() bool) bool {
	return (requested.changed > 0 || !f.loaded()) && !reader()
}

// queryProviders queries the other boxes once and reports whether one of them answered.
func (f *follower) queryProviders(ctx context.Context, p part, requested target) bool {
	startedAt := clock.Now()
	pos, err := p.fetch(ctx, requested.changed)
	if err != nil {
		_ = level.Info(f.logger).Log("msg", "copy from another box failed", "part", f.name, "revision", f.position().revision, "wanted", requested.changed, "after", clock.Since(startedAt), "err", err, "outcome", "querying the source")
		return false
	}
	f.advance(pos)
	f.recordFullRead()
	f.resolve(requested)
	_ = level.Info(f.logger).Log("msg", "copied from another box", "part", f.name, "revision", pos.revision, "wanted", requested.changed, "after", clock.Since(startedAt))
	return true
}

// fetch implements part.
func (p *tablePart) fetch(ctx context.Context, minRevision storerev.Revision) (position, error) {
	c, err := p.providers.Table(ctx, p.directory.View().Table, minRevision)
	if err != nil {
		return position{}, err
	}
	p.directory.applyTable(TableResult{Table: c.Table, Revision: c.Revision, Changed: c.Changed}, c.ConfirmedAt)
	return position{revision: c.Revision, changed: c.Changed}, nil
}

// fetch implements part.
func (p *serversPart) fetch(ctx context.Context, minRevision storerev.Revision) (position, error) {
	c, err := p.providers.Servers(ctx, p.deltaBase(), minRevision)
	if err != nil {
		return position{}, err
	}
	p.directory.SetEvacuations(c.Evacuations, c.ConfirmedAt)
	if c.Delta != nil {
		p.directory.applyCopiedDelta(*c.Delta)
	} else {
		p.directory.applyList(c.Servers, c.Revision, c.ConfirmedAt)
	}
	return position{revision: c.Revision, changed: c.Changed}, nil
}

// deltaBase returns the revision to which a delta of the list can be applied, or zero if the whole
// list is needed.
func (p *serversPart) deltaBase() storerev.Revision {
	if !p.directory.list.canWatch() {
		return 0
	}
	return p.directory.list.position().revision
}

// applyList replaces the list with one known at a revision, and returns the differences. It rejects
// a list that changes received in the meantime have overtaken.
func (d *Directory) applyList(list []routing.Server, revision storerev.Revision, at time.Time) []ServerEvent {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if pos := d.list.position(); pos.revision > revision {
		_ = level.Info(d.logger).Log("msg", "server list rejected", "revision", revision, "known", pos.revision, "reason", "revision is lower than the current one")
		return nil
	}
	before := d.list.position().revision
	newEra := before > 0 && !before.SameEra(revision)
	events := d.setServers(list, at, newEra)
	if newEra {
		_ = level.Info(d.logger).Log("msg", "server list of a new era", "revision", revision, "before", before, "changes", len(events), "departed", len(d.departed), "outcome", "restored entries of departed servers are withheld for a time")
	}
	if before == 0 || newEra {
		d.history.reset(revision)
	} else {
		d.history.addFullRead(Delta{From: before, To: revision, Events: events})
	}
	d.list.advance(position{revision: revision})
	d.reportRestoredEntries(at)
	return events
}

// copyPollInterval is how often awaitRevision checks the position.
const copyPollInterval = 5 * time.Millisecond

// TableCopy returns this box's table once it has reached minRevision. If ctx ends first, the error
// is ErrBehind or ErrLoading.
func (d *Directory) TableCopy(ctx context.Context, minRevision storerev.Revision) (TableCopy, error) {
	if err := d.table.awaitRevision(ctx, minRevision); err != nil {
		return TableCopy{}, err
	}
	// The position is read before the table, which may then be newer but never older.
	pos := d.table.position()
	v := d.View()
	return TableCopy{Table: v.Table, Revision: pos.revision, Changed: pos.changed, ConfirmedAt: v.TableConfirmedAt}, nil
}

// ListMetadata returns a copy of the list without servers or delta, once it has reached
// minRevision. If ctx ends first, the error is ErrBehind or ErrLoading.
func (d *Directory) ListMetadata(ctx context.Context, minRevision storerev.Revision) (ListCopy, error) {
	if err := d.list.awaitRevision(ctx, minRevision); err != nil {
		return ListCopy{}, err
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listMetadata(), nil
}

// listMetadata returns a copy without servers. The caller holds applyMu and mu.
func (d *Directory) listMetadata() ListCopy {
	pos := d.list.position()
	return ListCopy{Revision: pos.revision, Changed: pos.changed, ConfirmedAt: d.view.Load().ServersConfirmedAt, Evacuations: d.evacuations}
}

// ListSince returns the changes of the list since a revision, or false if they are not all known.
func (d *Directory) ListSince(since storerev.Revision) (ListCopy, bool) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.listMetadata()
	events, ok := d.history.since(since)
	if !ok || since == 0 {
		return ListCopy{}, false
	}
	c.Delta = &Delta{From: since, To: c.Revision, Events: events}
	return c, true
}

// ListCopy returns the whole list, newly allocated for each call.
func (d *Directory) ListCopy() ListCopy {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.listMetadata()
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		if s := d.servers[id]; s.RemovedAt.IsZero() {
			c.Servers = append(c.Servers, s.Server)
		}
	}
	return c
}

// awaitRevision blocks until the part is loaded and has reached minRevision, at which the caller
// knows that it changed. If ctx ends first, the error is ErrLoading or ErrBehind.
func (f *follower) awaitRevision(ctx context.Context, minRevision storerev.Revision) error {
	if minRevision > 0 {
		f.observe(0, minRevision)
	}
	for !f.loaded() || f.position().revision < max(minRevision, 1) {
		switch {
		case ctx.Err() == nil:
			pause.For(ctx, copyPollInterval)
		case f.isLoading():
			return ErrLoading
		default:
			return ErrBehind
		}
	}
	return nil
}

// isLoading reports whether a query is in progress or about to begin, and the last one did not fail. One
// is about to begin if the part is not loaded or has to reach a newer revision: the goroutine that
// queries may not have had its turn yet.
func (f *follower) isLoading() bool {
	loaded := f.loaded()
	f.mu.Lock()
	defer f.mu.Unlock()
	return (f.querying || !loaded || f.pending.revision > 0) && f.consecutiveFailures == 0
}
