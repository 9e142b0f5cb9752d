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
)

// ErrNoProvider says that no other box is known that may have what this one lacks.
var ErrNoProvider = errors.New("no other box is known to ask: the source is asked")

// ErrBehind says that a box does not know as much as was asked for.
var ErrBehind = errors.New("the other box is behind: the next one or the source is asked")

// ErrLoading says that a box does not know as much as was asked for, and is about to.
var ErrLoading = errors.New("the other box is reading it: it is asked again")

// TableCopy is the table as one box knows it.
type TableCopy struct {
	Table *routing.Table
	// Revision and Changed are up to where the table is known, and where it changed last.
	Revision, Changed uint64
	// ConfirmedAt is when the source confirmed it.
	ConfirmedAt time.Time
}

// Providers are the other boxes that this one asks for what it lacks, which spares the
// source the question.
type Providers interface {
	// Table asks for a table known at a revision at least. The table in force, which may be
	// nil, need not be sent again.
	Table(ctx context.Context, inForce *routing.Table, least uint64) (TableCopy, error)
	// Servers asks for the list known at a revision at least. Of a list that is known at another
	// one, zero for none, only what has changed since need be sent.
	Servers(ctx context.Context, known, least uint64) (ListCopy, error)
}

// asksProviders tells whether other boxes are asked before the source: by a box that reads
// for nobody, while it has nothing yet or where it was told that something has changed.
func (f *follower) asksProviders(asked target, reader func() bool) bool {
	return (asked.missing > 0 || !f.there()) && !reader()
}

// askProviders asks other boxes once. It returns false where the source has to be asked.
func (f *follower) askProviders(ctx context.Context, p part, asked target) bool {
	begun := clock.Now()
	k, err := p.fetch(ctx, asked.missing)
	if err != nil {
		_ = level.Info(f.logger).Log("msg", "not had from another box", "part", f.name, "revision", f.known().revision, "wanted", asked.missing, "after", clock.Since(begun), "err", err, "outcome", "the source is asked")
		return false
	}
	f.advance(k)
	f.wasRead()
	f.met(asked)
	_ = level.Info(f.logger).Log("msg", "had from another box", "part", f.name, "revision", k.revision, "wanted", asked.missing, "after", clock.Since(begun))
	return true
}

// fetch implements part.
func (p *tablePart) fetch(ctx context.Context, least uint64) (known, error) {
	c, err := p.providers.Table(ctx, p.directory.View().Table, least)
	if err != nil {
		return known{}, err
	}
	p.directory.readTable(TableResult{Table: c.Table, Revision: c.Revision, Changed: c.Changed}, c.ConfirmedAt)
	return known{revision: c.Revision, changed: c.Changed}, nil
}

// fetch implements part.
func (p *serversPart) fetch(ctx context.Context, least uint64) (known, error) {
	c, err := p.providers.Servers(ctx, p.known(), least)
	if err != nil {
		return known{}, err
	}
	p.directory.SetEvacuations(c.Evacuations, c.ConfirmedAt)
	if c.Delta != nil {
		p.directory.applyCopied(*c.Delta)
	} else {
		p.directory.takeList(c.Servers, c.Revision, c.ConfirmedAt)
	}
	return known{revision: c.Revision, changed: c.Changed}, nil
}

// known is the revision up to which changes of the list may be added to it; zero if the whole has
// to be had.
func (p *serversPart) known() uint64 {
	if !p.directory.list.watchable() {
		return 0
	}
	return p.directory.list.known().revision
}

// takeList takes a whole list in, known at a revision, and returns what it changes. Changes
// may have come while it was on its way: an older list must not undo them.
func (d *Directory) takeList(list []routing.Server, revision uint64, at time.Time) []ServerEvent {
	d.applying.Lock()
	defer d.applying.Unlock()
	if k := d.list.known(); k.revision > revision {
		_ = level.Info(d.logger).Log("msg", "list refused", "revision", revision, "known", k.revision, "reason", "a lower revision than the one that is known")
		return nil
	}
	before := d.list.known().revision
	events := d.setServers(list, at)
	if before == 0 {
		d.history.begin(revision)
	} else {
		d.history.jump(Delta{From: before, To: revision, Events: events})
	}
	d.list.advance(known{revision: revision})
	return events
}

// copyStep is how often a copy that is not there yet is looked for.
const copyStep = 5 * time.Millisecond

// TableCopy returns this box's table once it is known at a revision; ErrBehind if it is not
// when ctx ends.
func (d *Directory) TableCopy(ctx context.Context, least uint64) (TableCopy, error) {
	if err := d.table.await(ctx, least); err != nil {
		return TableCopy{}, err
	}
	// The table is taken after what is known of it: it may be newer, and is never older.
	k := d.table.known()
	v := d.View()
	return TableCopy{Table: v.Table, Revision: k.revision, Changed: k.changed, ConfirmedAt: v.TableConfirmedAt}, nil
}

// ListMetadata returns up to where this box knows the list, without the servers, once it is known at a
// revision; ErrBehind if it is not when ctx ends.
func (d *Directory) ListMetadata(ctx context.Context, least uint64) (ListCopy, error) {
	if err := d.list.await(ctx, least); err != nil {
		return ListCopy{}, err
	}
	d.applying.Lock()
	defer d.applying.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listHead(), nil
}

// listHead is a copy without servers. The caller holds applying and mu.
func (d *Directory) listHead() ListCopy {
	k := d.list.known()
	return ListCopy{Revision: k.revision, Changed: k.changed, ConfirmedAt: d.view.Load().ServersConfirmedAt, Evacuations: d.evacuations}
}

// ListSince returns what has changed in the list since a revision; false where that is not known.
func (d *Directory) ListSince(since uint64) (ListCopy, bool) {
	d.applying.Lock()
	defer d.applying.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.listHead()
	events, ok := d.history.since(since)
	if !ok || since == 0 {
		return ListCopy{}, false
	}
	c.Delta = &Delta{From: since, To: c.Revision, Events: events}
	return c, true
}

// ListCopy returns this box's whole list as it is. Each call copies: a list of 9,845 servers takes
// 2.2 MB.
func (d *Directory) ListCopy() ListCopy {
	d.applying.Lock()
	defer d.applying.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.listHead()
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		if s := d.servers[id]; s.RemovedAt.IsZero() {
			c.Servers = append(c.Servers, s.Server)
		}
	}
	return c
}

// await waits until the part is there and known at a revision. Whoever asks for one knows
// that the part has changed there. The error is ErrLoading or ErrBehind.
func (f *follower) await(ctx context.Context, least uint64) error {
	if least > 0 {
		f.heardOf(0, least)
	}
	for !f.there() || f.known().revision < max(least, 1) {
		switch {
		case ctx.Err() == nil:
			pause.For(ctx, copyStep)
		case f.loading():
			return ErrLoading
		default:
			return ErrBehind
		}
	}
	return nil
}

// loading tells whether what is lacking is being read, and nothing speaks against it.
func (f *follower) loading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asking && f.failures == 0
}
