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
	"headhill.example/headhill/pkg/storerev"
)

// part is one part of the directory: the routing table or the list of servers.
type part interface {
	// prefersFullRead reports whether to reach a target by a full read although its changes could be
	// fetched.
	prefersFullRead(t target) bool
	// read reads the whole part from the source.
	read(ctx context.Context, askedAt time.Time) (position, error)
	// watch applies the changes after a revision.
	watch(ctx context.Context, after storerev.Revision, wait time.Duration) (position, error)
	// fetch copies the part from another box that knows it at minRevision or later.
	fetch(ctx context.Context, minRevision storerev.Revision) (position, error)
}

type tablePart struct {
	directory *Directory
	source    Source
	providers Providers
	timing    Timing
	// lastTableBytes is the length of the last answer that held a table.
	lastTableBytes int
	// failedWatchWait is the wait of a watch that failed because a full read is needed. It lets the
	// read that replaces it notify the other boxes as the watch would have.
	failedWatchWait time.Duration
}

const (
	// maxGrowth is the longest accepted answer to a watch, as a multiple of the last table's
	// length. A longer one holds several versions and takes longer than a full read.
	maxGrowth = 1.5
	// minHistoryBytes is accepted in any case: a table of 1 MiB, the largest value that stores keep,
	// with its envelope.
	minHistoryBytes = 1<<20 + 1<<18
)

// maxHistoryBytes returns the longest accepted answer to a watch.
func (p *tablePart) maxHistoryBytes() int {
	return max(minHistoryBytes, int(maxGrowth*float64(p.lastTableBytes)))
}

// prefersFullRead is true if the table has changed: each change carries the whole table, so a full
// read is never longer.
func (p *tablePart) prefersFullRead(t target) bool { return t.changed > 0 }

func (p *tablePart) read(ctx context.Context, askedAt time.Time) (position, error) {
	ctx, cancel := stall.WithLimits(ctx, p.timing.stallLimits(p.directory.table.answerTimeout(p.timing)))
	defer cancel()
	result, err := p.source.ReadTable(ctx)
	if err != nil {
		return position{}, err
	}
	wait := max(pollWait, p.failedWatchWait)
	p.failedWatchWait = 0
	return p.applyResult(result, askedAt, wait), nil
}

func (p *tablePart) watch(ctx context.Context, after storerev.Revision, wait time.Duration) (position, error) {
	result, err := p.source.WatchTable(ctx, after, wait, p.maxHistoryBytes())
	if needsFullRead(err) {
		p.failedWatchWait = wait
	}
	if err != nil {
		return position{}, err
	}
	return p.applyResult(result, clock.Now(), wait), nil
}

// applyResult applies a table and notifies the other boxes.
func (p *tablePart) applyResult(result TableResult, at time.Time, wait time.Duration) position {
	if result.Table != nil {
		p.lastTableBytes = result.Bytes
	}
	known := p.directory.table.position().revision
	before := p.directory.applyTable(result, at)
	p.directory.notifyTable(before, result, wait)
	start := storerev.StartOf(result.Revision.Era())
	p.directory.notifyEra(Notification{TableChanged: max(result.Changed, start)}, known, result.Revision)
	return position{revision: result.Revision, changed: result.Changed}
}

type serversPart struct {
	directory *Directory
	source    Source
	providers Providers
	timing    Timing
}

// prefersFullRead is true if the source was restored, as it cannot tell the changes since a revision of an
// earlier era. Otherwise changes are shorter than the list.
func (p *serversPart) prefersFullRead(t target) bool {
	return t.changed.Era() > p.directory.list.position().revision.Era()
}

// read reads all pages. Pages after the first may be stale, which spares the source when many boxes
// start at once; the changes since the oldest page are then fetched with a watch.
func (p *serversPart) read(ctx context.Context, askedAt time.Time) (position, error) {
	// Evacuations come first, so that no server of an evacuated hall gets work from a starting box.
	if err := p.readEvacuations(ctx, askedAt); err != nil {
		return position{}, err
	}
	list, err := p.readPages(ctx, true)
	if err == nil && list.stale {
		err = p.catchUp(ctx, &list)
	}
	if needsFullRead(err) || isOlderEra(err) {
		// The changes since the stale pages are compacted, or the pages are of different eras.
		list, err = p.readPages(ctx, false)
	}
	if err != nil {
		return position{}, err
	}
	before := p.directory.list.position().revision
	events := p.directory.applyList(list.servers, list.revision, askedAt)
	p.directory.notifyEra(Notification{ServersChanged: list.revision}, before, list.revision)
	if before > 0 && before.SameEra(list.revision) {
		p.directory.notifyServers(Delta{From: before, To: list.revision, Events: events}, pollWait)
	}
	// A list does not show when servers were removed.
	return position{revision: list.revision, changed: list.revision}, nil
}

func (p *serversPart) readEvacuations(ctx context.Context, askedAt time.Time) error {
	ctx, cancel := stall.WithLimits(ctx, p.timing.stallLimits(p.directory.list.answerTimeout(p.timing)))
	defer cancel()
	evacuations, err := p.source.ReadEvacuations(ctx)
	if err != nil {
		return withCause(ctx, err)
	}
	p.directory.SetEvacuations(evacuations, askedAt)
	return nil
}

// pagedList is a list assembled from pages, none of them older than its revision.
type pagedList struct {
	servers  []routing.Server
	revision storerev.Revision
	stale    bool
}

// readPages reads all pages. If stale is set, those after the first may be stale.
func (p *serversPart) readPages(ctx context.Context, stale bool) (pagedList, error) {
	firstPage, err := p.readPage(ctx, "", false)
	if err != nil {
		return pagedList{}, err
	}
	// A watch returns what changes while the other pages are read.
	list := pagedList{servers: firstPage.Servers, revision: firstPage.Revision}
	for from := firstPage.Next; from != ""; {
		page, err := p.readPage(ctx, from, stale)
		if err != nil {
			return pagedList{}, err
		}
		if !page.Revision.SameEra(firstPage.Revision) {
			return pagedList{}, ErrRestored
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

// catchUp applies the changes since the list's revision.
func (p *serversPart) catchUp(ctx context.Context, list *pagedList) error {
	ctx, cancel := stall.WithLimits(ctx, p.timing.stallLimits(p.directory.list.answerTimeout(p.timing)))
	defer cancel()
	changes, err := p.source.WatchServers(ctx, list.revision, pollWait)
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

// isOlderEra reports whether an answer was rejected because its era has ended.
func isOlderEra(err error) bool {
	var older *storerev.OlderEraError
	return errors.As(err, &older)
}

// maxPageAttempts bounds the attempts for each page. Retrying a page instead of the whole list lets
// the read complete when the source rejects many calls.
const maxPageAttempts = 12

func (p *serversPart) readPage(ctx context.Context, from string, stale bool) (page ServersPage, err error) {
	for attempt := range maxPageAttempts {
		page, err = p.readPageOnce(ctx, from, stale, p.directory.list.answerTimeout(p.timing))
		if err == nil || ctx.Err() != nil || isOlderEra(err) {
			return page, err
		}
		p.directory.list.countFailure()
		pause.For(ctx, p.directory.list.boundPause(p.timing, backoff(p.timing, attempt)))
	}
	return page, err
}

func (p *serversPart) readPageOnce(ctx context.Context, from string, stale bool, timeout time.Duration) (ServersPage, error) {
	ctx, cancel := stall.WithLimits(ctx, p.timing.stallLimits(timeout))
	defer cancel()
	return p.source.ReadServers(ctx, from, stale)
}

func (p *serversPart) watch(ctx context.Context, after storerev.Revision, wait time.Duration) (position, error) {
	changes, err := p.source.WatchServers(ctx, after, wait)
	if err != nil {
		return position{}, err
	}
	delta := Delta{From: after, To: changes.Revision, Events: changes.Events}
	p.directory.ApplyDelta(delta)
	p.directory.notifyServers(delta, wait)
	return p.directory.list.position(), nil
}
