package directory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/storerev"
)

const (
	// simulationBoxes is the number of boxes; the first simulationReaders have fast links.
	simulationBoxes      = 8
	fastLinkBytesPerSec  = 200_000_000 / 8
	slowLinkBytesPerSec  = 10_000_000 / 8
	storeLinkBytesPerSec = 1_000_000_000 / 8
	// largeTableBytes is the size of a table that a slow link transfers in 0.88 s.
	largeTableBytes = 1_100_000
	// settleTime is how long a box must have been connected before it has to be up to date.
	settleTime = 4 * time.Second
	applyBound = 3 * time.Second
	// checkEvery and checkSpread are the interval and jitter of source checks, as in routerd.
	checkEvery  = applyBound * 45 / 100
	checkSpread = applyBound * 20 / 100
	// simulationReaders is the number of boxes that read the store, simulationHalls the number of
	// halls over which boxes are spread.
	simulationReaders = 2
	simulationHalls   = 5
	// compressionRatio is the size of a table in the store's answers relative to that between boxes,
	// see BenchmarkTableBytes of pkg/snapshot.
	compressionRatio = 8
	// slowTransfer is how long a slow link takes for a table.
	slowTransfer = time.Second * largeTableBytes / slowLinkBytesPerSec
	// propagationBound is the time in which a change must reach all boxes if no watching box is
	// connected: a check discovers it, and two boxes read it in sequence.
	propagationBound = checkEvery + checkSpread + 2*slowTransfer + 500*time.Millisecond
)

var simulationTiming = Timing{
	WatchWait: 20 * time.Second, AnswerTimeout: 700 * time.Millisecond, MaxAnswerTime: 5 * time.Minute,
	MaxLag: applyBound * 50 / 100, BatchDelay: applyBound * 10 / 100,
	InitialBackoff: applyBound * 3 / 100, MaxBackoff: applyBound * 60 / 100,
}

// version is one version of the table.
type version struct {
	table     *routing.Table
	revision  storerev.Revision
	createdAt time.Time
}

// store is the simulated source.
type store struct {
	mu         sync.Mutex
	versions   []version
	changed    chan struct{}
	tableBytes int

	// transfers counts the answers in flight, which share the store's link; calls and bytes count
	// requests and sent bytes.
	transfers, calls, bytes atomic.Int64
}

func newStore(tableBytes int) *store {
	return &store{changed: make(chan struct{}), tableBytes: tableBytes}
}

func (s *store) resize(tableBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableBytes = tableBytes
}

func (s *store) tableLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableBytes
}

func (s *store) change(table *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{table: table, revision: storerev.Revision(len(s.versions) + 1), createdAt: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) since(revision storerev.Revision) ([]version, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[min(int(revision), len(s.versions)):], s.changed
}

func (s *store) newest() version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[len(s.versions)-1]
}

// dueVersion returns the newest version created before a time.
func (s *store) dueVersion(before time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := uint64(0)
	for _, v := range s.versions {
		if v.createdAt.Before(before) {
			due = v.table.Version
		}
	}
	return due
}

// historyRetention is how long the store keeps its history.
const historyRetention = 20 * time.Second

// simulatedBox is one box of a simulation, with its link to the store.
type simulatedBox struct {
	sim         *simulation
	number      int
	bytesPerSec int
	stop        func()

	mu        sync.Mutex
	directory *Directory
	// connectedSince is zero while the box is failing.
	connectedSince time.Time
	// rejected makes the store reject the box's requests; isolated drops all traffic of the box.
	rejected, isolated bool
	lastCheck          time.Time
	highestVersion     uint64
	// providers are the boxes to query, uploads counts the answers to others in flight.
	providers []*simulatedBox
	uploads   atomic.Int64
}

var errRejected = errors.New("rejected by the store")

// roundTrip waits for the first byte of the store's answer.
func (b *simulatedBox) roundTrip(ctx context.Context) error {
	b.sim.store.calls.Add(1)
	pause.For(ctx, 4*time.Millisecond)
	return b.faultError(ctx)
}

// faultError returns the error of an exchange under the current fault.
func (b *simulatedBox) faultError(ctx context.Context) error {
	b.mu.Lock()
	rejected, isolated := b.rejected, b.isolated
	b.mu.Unlock()
	switch {
	case isolated:
		<-ctx.Done()
		return context.Cause(ctx)
	case rejected:
		return errRejected
	}
	return context.Cause(ctx)
}

// transferAnswer transfers an answer of the store over the box's link.
func (b *simulatedBox) transferAnswer(ctx context.Context, bytes int) error {
	s := b.sim.store
	s.transfers.Add(1)
	defer s.transfers.Add(-1)
	return transferOver(&linkReader{ctx: ctx, box: b, remaining: bytes, share: func() int { return int(storeLinkBytesPerSec / s.transfers.Load()) }, sent: &s.bytes})
}

func transferOver(r *linkReader) error {
	_, err := io.Copy(io.Discard, stall.NewReader(r.ctx, r))
	return err
}

// linkReader reads an answer at the speed of a box's link or of its share of the sender's link.
type linkReader struct {
	ctx       context.Context
	box       *simulatedBox
	remaining int
	share     func() int
	sent      *atomic.Int64
}

func (r *linkReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	if err := r.box.faultError(r.ctx); err != nil {
		return 0, err
	}
	n := min(r.remaining, len(p), 32<<10)
	pause.For(r.ctx, time.Duration(n)*time.Second/time.Duration(min(r.box.bytesPerSec, r.share())))
	r.sent.Add(int64(n))
	r.remaining -= n
	return n, context.Cause(r.ctx)
}

func (b *simulatedBox) ReadTable(ctx context.Context) (TableResult, error) {
	if err := b.roundTrip(ctx); err != nil {
		return TableResult{}, err
	}
	v, bytes := b.sim.store.newest(), b.sim.store.tableLength()
	return TableResult{Table: v.table, Revision: v.revision, Changed: v.revision, Bytes: bytes}, b.transferAnswer(ctx, bytes)
}

func (b *simulatedBox) WatchTable(ctx context.Context, after storerev.Revision, wait time.Duration, maxBytes int) (TableResult, error) {
	if err := b.roundTrip(ctx); err != nil {
		return TableResult{}, err
	}
	versions, changed := b.sim.store.since(after)
	if len(versions) == 0 {
		select {
		case <-ctx.Done():
			return TableResult{}, context.Cause(ctx)
		case <-time.After(wait):
			return TableResult{Revision: after}, nil
		case <-changed:
		}
		versions, _ = b.sim.store.since(after)
	}
	last := versions[len(versions)-1]
	switch bytes := len(versions) * b.sim.store.tableLength(); {
	case time.Since(versions[0].createdAt) > historyRetention:
		return TableResult{}, ErrHistoryLost
	case bytes > maxBytes:
		return TableResult{}, ErrHistoryTooLong
	default:
		return TableResult{Table: last.table, Revision: last.revision, Changed: last.revision, Bytes: bytes}, b.transferAnswer(ctx, bytes)
	}
}

func (b *simulatedBox) ReadServers(ctx context.Context, _ string, _ bool) (ServersPage, error) {
	return ServersPage{Revision: b.sim.store.newest().revision}, b.roundTrip(ctx)
}

func (b *simulatedBox) ReadEvacuations(ctx context.Context) (Evacuations, error) {
	return Evacuations{}, ctx.Err()
}

func (b *simulatedBox) WatchServers(ctx context.Context, after storerev.Revision, wait time.Duration) (ServerChanges, error) {
	if err := b.roundTrip(ctx); err != nil {
		return ServerChanges{}, err
	}
	pause.For(ctx, wait)
	return ServerChanges{Revision: max(after, b.sim.store.newest().revision)}, context.Cause(ctx)
}

// Table implements Providers.
func (b *simulatedBox) Table(ctx context.Context, _ *routing.Table, minRevision storerev.Revision) (TableCopy, error) {
	return queryInTurn(ctx, b, func(ctx context.Context, p *simulatedBox, d *Directory) (TableCopy, error) {
		c, err := d.TableCopy(ctx, minRevision)
		if err != nil {
			return c, err
		}
		p.uploads.Add(1)
		defer p.uploads.Add(-1)
		bytes := b.sim.store.tableLength() / compressionRatio
		callCtx, cancel := stall.WithLimits(b.sim.ctx, simulationTiming.stallLimits(simulationTiming.AnswerTimeout))
		defer cancel()
		return c, transferOver(&linkReader{ctx: callCtx, box: b, remaining: bytes, share: func() int { return p.bytesPerSec / int(p.uploads.Load()) }, sent: &b.sim.bytesBetweenBoxes})
	})
}

// Servers implements Providers.
func (b *simulatedBox) Servers(ctx context.Context, since, minRevision storerev.Revision) (ListCopy, error) {
	return queryInTurn(ctx, b, func(ctx context.Context, _ *simulatedBox, d *Directory) (ListCopy, error) {
		if _, err := d.ListMetadata(ctx, minRevision); err != nil {
			return ListCopy{}, err
		}
		return d.ListCopy(), nil
	})
}

const (
	// providersWait is the total time for providers to send a first byte, as in routerd;
	// firstProviderShare is the fraction each gets while others remain, as in pkg/snapshot.
	providersWait      = applyBound * 15 / 100
	firstProviderShare = 2.0 / 3
)

// queryInTurn queries the providers in turn. An unreachable provider times out.
func queryInTurn[T any](ctx context.Context, b *simulatedBox, query func(context.Context, *simulatedBox, *Directory) (T, error)) (T, error) {
	var got T
	err := ErrNoProvider
	end := time.Now().Add(providersWait)
	for i, p := range b.providers {
		wait := time.Until(end)
		if i < len(b.providers)-1 {
			wait = time.Duration(firstProviderShare * float64(wait))
		}
		pause.For(ctx, time.Millisecond+rand.N(3*time.Millisecond))
		callCtx, cancel := context.WithTimeout(ctx, wait)
		if b.isIsolated() || p.isIsolated() || b.sim.separated(b, p) {
			<-callCtx.Done()
			cancel()
			err = callCtx.Err()
			continue
		}
		got, err = query(callCtx, p, p.currentDirectory())
		cancel()
		if err == nil {
			return got, nil
		}
	}
	return got, err
}

func (b *simulatedBox) isIsolated() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isolated
}

// currentDirectory returns the directory since the last restart.
func (b *simulatedBox) currentDirectory() *Directory {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.directory
}

// start starts or restarts the box.
func (b *simulatedBox) start(ctx context.Context, wg *sync.WaitGroup) {
	ctx, b.stop = context.WithCancel(ctx)
	d := New(b.sim.logger(b.number))
	d.OnNotification(func(n Notification) {
		b.sim.broadcast(b, func(_ *simulatedBox, d *Directory) { d.ApplyNotification(n.withoutLargeDelta(smallDeltaRoutes)) })
	})
	b.mu.Lock()
	b.directory, b.highestVersion, b.connectedSince, b.lastCheck = d, 0, time.Now(), time.Now()
	b.mu.Unlock()
	wg.Go(func() {
		d.Follow(ctx, FollowOptions{Source: b, Providers: b, Timing: simulationTiming, Reader: func() bool { return b.number < simulationReaders }})
	})
	wg.Go(func() { b.runChecks(ctx, d) })
}

// smallDeltaRoutes is the number of routes in a table delta that fits a datagram.
const smallDeltaRoutes = 5

// withoutLargeDelta clears a table delta that does not fit a datagram.
func (n Notification) withoutLargeDelta(routes int) Notification {
	if n.TableDelta != nil && len(n.TableDelta.Routes.Set) > routes {
		n.TableDelta = nil
	}
	return n
}

// runChecks verifies the store whenever no other box has done so for a while.
func (b *simulatedBox) runChecks(ctx context.Context, d *Directory) {
	for ctx.Err() == nil {
		if !b.waitUntilCheckDue(ctx, checkEvery+rand.N(checkSpread)) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, simulationTiming.AnswerTimeout)
		askedAt, err := time.Now(), b.roundTrip(callCtx)
		cancel()
		if err != nil {
			continue
		}
		if c, ok := d.Verify(ctx, b.sim.store.newest().revision, askedAt, simulationTiming); ok {
			b.sim.broadcast(b, func(to *simulatedBox, d *Directory) {
				to.recordCheck()
				d.ApplyCheck(c)
			})
		}
	}
}

// waitUntilCheckDue blocks until no box has checked the store for d. It returns false when ctx ends.
func (b *simulatedBox) waitUntilCheckDue(ctx context.Context, d time.Duration) bool {
	for ctx.Err() == nil {
		b.mu.Lock()
		remaining := d - time.Since(b.lastCheck)
		b.mu.Unlock()
		if remaining <= 0 {
			b.recordCheck()
			return true
		}
		pause.For(ctx, remaining)
	}
	return false
}

// recordCheck records that this box or another one has checked the store.
func (b *simulatedBox) recordCheck() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastCheck = time.Now()
}

// simulation is a store and its boxes.
type simulation struct {
	t         *testing.T
	store     *store
	boxes     []*simulatedBox
	wg        *sync.WaitGroup
	ctx       context.Context
	rand      *rand.Rand
	startedAt time.Time
	// loss is the fraction of messages between boxes that are lost; the same fraction is duplicated.
	loss float64
	// bytesBetweenBoxes counts the bytes transferred between boxes.
	bytesBetweenBoxes atomic.Int64
	// split is set while boxes with odd and with even numbers cannot reach each other.
	split atomic.Bool
}

// separated reports whether two boxes are in different halves of a split fleet.
func (sim *simulation) separated(a, b *simulatedBox) bool {
	return sim.split.Load() && a.number%2 != b.number%2
}

// simulationLoss is far above the loss of healthy networks.
const simulationLoss = 0.1

// newSimulation starts boxes with a store that has a table. The first ones have fast links.
func newSimulation(ctx context.Context, t *testing.T, seed uint64, boxes int, s *store, loss float64) *simulation {
	sim := &simulation{t: t, startedAt: time.Now(), ctx: ctx, wg: &sync.WaitGroup{}, rand: rand.New(rand.NewPCG(seed, 1)), loss: loss, store: s}
	s.change(tableOf(1, "first"))
	var entries []roster.Entry
	for i := range boxes {
		b := &simulatedBox{sim: sim, number: i, bytesPerSec: slowLinkBytesPerSec}
		if i < simulationReaders || i%fastLinkInterval == 0 {
			b.bytesPerSec = fastLinkBytesPerSec
		}
		sim.boxes = append(sim.boxes, b)
		entries = append(entries, b.entry())
	}
	for i, b := range sim.boxes {
		for _, e := range roster.ProvidersOf(entries, entries[i]) {
			b.providers = append(b.providers, sim.boxes[slices.IndexFunc(entries, func(x roster.Entry) bool { return x.Box == e.Box })])
		}
	}
	for _, b := range sim.boxes {
		b.start(ctx, sim.wg)
	}
	return sim
}

// fastLinkInterval gives every n-th box a fast link: three of sixty in a hall.
const fastLinkInterval = 21

// entry returns the roster entry of the box. The readers have the fastest links.
func (b *simulatedBox) entry() roster.Entry {
	mbps := float64(b.bytesPerSec) * 8 / 1e6
	if b.number < simulationReaders {
		mbps++
	}
	return roster.Entry{Box: fmt.Sprint("box-", b.number), Hall: fmt.Sprint("hall-", b.number%simulationHalls), LinkMbps: mbps}
}

// broadcast delivers a message to the other boxes; some copies are lost, duplicated or delayed.
func (sim *simulation) broadcast(from *simulatedBox, deliver func(*simulatedBox, *Directory)) {
	from.mu.Lock()
	isolated := from.isolated
	from.mu.Unlock()
	if isolated {
		return
	}
	for _, b := range sim.boxes {
		if b == from || sim.separated(b, from) {
			continue
		}
		copies := 1
		if rand.Float64() < sim.loss {
			copies = 2
		}
		for range copies {
			if rand.Float64() >= sim.loss {
				time.AfterFunc(time.Millisecond+rand.N(60*time.Millisecond), func() { b.receive(deliver) })
			}
		}
	}
}

func (b *simulatedBox) receive(deliver func(*simulatedBox, *Directory)) {
	b.mu.Lock()
	d, isolated := b.directory, b.isolated
	b.mu.Unlock()
	if !isolated {
		deliver(b, d)
	}
}

// logger writes the logs of a box if -histories.logs is set.
func (sim *simulation) logger(box int) log.Logger {
	if !*simulationLogs {
		return log.NewNopLogger()
	}
	return log.With(log.NewLogfmtLogger(sim.t.Output()), "at", log.Valuer(func() any { return time.Since(sim.startedAt).Round(time.Millisecond) }), "box", box)
}
