package directory

import (
	"context"
	"errors"
	"slices"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/stall"
)

// part is one part of the belief, as its source gives it.
type part interface {
	// readsWhole tells whether the whole is to be read to reach a target, though the
	// changes since the last answer could be had.
	readsWhole(t target) bool
	// read reads the whole.
	read(ctx context.Context, asked time.Time) (known, error)
	// watch takes in what has changed after a revision.
	watch(ctx context.Context, after uint64, wait time.Duration) (known, error)
	// fetch takes in the whole from another box that knows it at a revision.
	fetch(ctx context.Context, least uint64) (known, error)
}

type tablePart struct {
	directory *Directory
	source    Source
	providers Providers
	timing    Timing
	// bytes is how long the last answer that held a table was.
	bytes int
	// watched is the wait of a watch whose answer can't be had: what is read in its place
	// is as much news for the others.
	watched time.Duration
}

const (
	// growthMost is how many times the last table's length an answer to a watch may have:
	// a longer one holds several versions, and takes longer than the whole.
	growthMost = 1.5
	// historyLeast is the length, in bytes, that an answer may always have: a table of a
	// megabyte, which is the most that stores keep as one value, and what stands round it.
	historyLeast = 1<<20 + 1<<18
)

// historyMost is how long an answer to a watch may be, in bytes.
func (p *tablePart) historyMost() int { return max(historyLeast, int(growthMost*float64(p.bytes))) }

// readsWhole is true where a change is known to lack: each change of a table comes with the
// whole table, so that the table alone is never longer.
func (p *tablePart) readsWhole(t target) bool { return t.missing > 0 }

func (p *tablePart) read(ctx context.Context, asked time.Time) (known, error) {
	ctx, cancel := stall.WithLimits(ctx, p.timing.limits(p.directory.table.patience(p.timing)))
	defer cancel()
	read, err := p.source.ReadTable(ctx)
	if err != nil {
		return known{}, err
	}
	wait := max(briefly, p.watched)
	p.watched = 0
	return p.take(read, asked, wait), nil
}

func (p *tablePart) watch(ctx context.Context, after uint64, wait time.Duration) (known, error) {
	read, err := p.source.WatchTable(ctx, after, wait, p.historyMost())
	if needsWhole(err) {
		p.watched = wait
	}
	if err != nil {
		return known{}, err
	}
	return p.take(read, clock.Now(), wait), nil
}

// take takes an answer in and tells the other boxes of it.
func (p *tablePart) take(read TableResult, at time.Time, wait time.Duration) known {
	if read.Table != nil {
		p.bytes = read.Bytes
	}
	before := p.directory.readTable(read, at)
	p.directory.tellTable(before, read, wait)
	return known{revision: read.Revision, changed: read.Changed}
}

type serversPart struct {
	directory *Directory
	source    Source
	providers Providers
	timing    Timing
}

// readsWhole is false: changes are short, and the list is long.
func (p *serversPart) readsWhole(target) bool { return false }

// read reads all pages. While many boxes start at once they ask for far more pages than
// the source gives in a second, so the pages after the first may be stale; what has
// changed since the oldest of them is read afterwards.
func (p *serversPart) read(ctx context.Context, asked time.Time) (known, error) {
	// No server of an evacuated hall may get anything from a box that has just started.
	if err := p.readEvacuations(ctx, asked); err != nil {
		return known{}, err
	}
	list, err := p.pages(ctx, true)
	if err == nil && list.stale {
		err = p.renew(ctx, &list)
	}
	if errors.Is(err, ErrHistoryLost) {
		// What has changed since the stale pages can't be had.
		list, err = p.pages(ctx, false)
	}
	if err != nil {
		return known{}, err
	}
	before := p.directory.list.known().revision
	events := p.directory.takeList(list.servers, list.revision, asked)
	if before > 0 {
		p.directory.tellServers(Delta{From: before, To: list.revision, Events: events}, briefly)
	}
	// A list does not show what was removed before, nor when.
	return known{revision: list.revision, changed: list.revision}, nil
}

func (p *serversPart) readEvacuations(ctx context.Context, asked time.Time) error {
	ctx, cancel := stall.WithLimits(ctx, p.timing.limits(p.directory.list.patience(p.timing)))
	defer cancel()
	evacuations, err := p.source.ReadEvacuations(ctx)
	if err != nil {
		return withCause(ctx, err)
	}
	p.directory.SetEvacuations(evacuations, asked)
	return nil
}

// pagedList is a list as its pages gave it, all of them no older than a revision.
type pagedList struct {
	servers  []routing.Server
	revision uint64
	stale    bool
}

// pages reads all pages, those after the first stale where that is allowed.
func (p *serversPart) pages(ctx context.Context, stale bool) (pagedList, error) {
	first, err := p.page(ctx, "", false)
	if err != nil {
		return pagedList{}, err
	}
	// What changes while the other pages are read comes with a watch.
	list := pagedList{servers: first.Servers, revision: first.Revision}
	for from := first.Next; from != ""; {
		page, err := p.page(ctx, from, stale)
		if err != nil {
			return pagedList{}, err
		}
		list.stale = stale
		list.servers = append(list.servers, page.Servers...)
		if stale {
			list.revision = min(list.revision, page.Revision)
		}
		from = page.Next
	}
	return list, nil
}

// renew brings a list up to the source's revision of now.
func (p *serversPart) renew(ctx context.Context, list *pagedList) error {
	ctx, cancel := stall.WithLimits(ctx, p.timing.limits(p.directory.list.patience(p.timing)))
	defer cancel()
	changes, err := p.source.WatchServers(ctx, list.revision, briefly)
	if err != nil {
		return err
	}
	for _, e := range changes.Events {
		list.servers = slices.DeleteFunc(list.servers, func(s routing.Server) bool { return s.ID == e.Server.ID })
		if !e.Removed {
			list.servers = append(list.servers, e.Server)
		}
	}
	list.revision = changes.Revision
	return nil
}

// pageTries bounds how often a page is asked for. To begin the whole list anew for
// one page that was refused would never end while many boxes start at once.
const pageTries = 12

func (p *serversPart) page(ctx context.Context, from string, stale bool) (page ServersPage, err error) {
	for try := range pageTries {
		page, err = p.pageOnce(ctx, from, stale, p.directory.list.patience(p.timing))
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		p.directory.list.missed()
		pause.For(ctx, p.directory.list.limit(p.timing, backoff(p.timing, try)))
	}
	return page, err
}

func (p *serversPart) pageOnce(ctx context.Context, from string, stale bool, patience time.Duration) (ServersPage, error) {
	ctx, cancel := stall.WithLimits(ctx, p.timing.limits(patience))
	defer cancel()
	return p.source.ReadServers(ctx, from, stale)
}

func (p *serversPart) watch(ctx context.Context, after uint64, wait time.Duration) (known, error) {
	changes, err := p.source.WatchServers(ctx, after, wait)
	if err != nil {
		return known{}, err
	}
	delta := Delta{From: after, To: changes.Revision, Events: changes.Events}
	p.directory.ApplyDelta(delta)
	p.directory.tellServers(delta, wait)
	return p.directory.list.known(), nil
}
