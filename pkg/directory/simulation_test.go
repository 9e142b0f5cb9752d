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
)

const (
	// historyBoxes are the boxes of a history, the first two of them with fast links.
	historyBoxes = 8
	fastLink     = 200_000_000 / 8 // bytes a second
	slowLink     = 10_000_000 / 8
	storeLink    = 1_000_000_000 / 8
	// largeTable is a table that a slow link carries in 0.88 s.
	largeTable = 1_100_000
	// contact is how long a box must have been in touch to be judged.
	contact = 4 * time.Second
	applied = 3 * time.Second
	// checkEvery and checkSpread are when a box checks the source, as in routerd.
	checkEvery  = applied * 45 / 100
	checkSpread = applied * 20 / 100
	// readersOfHistories are the boxes that read the store, hallsOfHistories the halls in
	// which boxes stand by turns.
	readersOfHistories = 2
	hallsOfHistories   = 5
	// packed is how many times shorter a table is between boxes than in the store's answers:
	// see BenchmarkTableBytes of pkg/snapshot.
	packed = 8
	// transfer is how long a slow link takes for a table.
	transfer = time.Second * largeTable / slowLink
	// inForceLeast is the time within which a change is in force also where no box that
	// watches is in touch: a check finds it, and two boxes read it one after the other.
	inForceLeast = checkEvery + checkSpread + 2*transfer + 500*time.Millisecond
)

var historyTiming = Timing{
	WatchWait: 20 * time.Second, AnswerTimeout: 700 * time.Millisecond, MaxAnswerTime: 5 * time.Minute,
	MaxLag: applied * 50 / 100, BatchDelay: applied * 10 / 100,
	InitialBackoff: applied * 3 / 100, MaxBackoff: applied * 60 / 100,
}

// version is one version of the table in a history.
type version struct {
	table    *routing.Table
	revision uint64
	made     time.Time
}

// store is the source that all boxes of a history ask.
type store struct {
	mu       sync.Mutex
	versions []version
	changed  chan struct{}
	// tableBytes is the length of a table.
	tableBytes int

	// transfers are the answers under way, which share the store's link; calls and bytes
	// count what was asked and sent.
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
	s.versions = append(s.versions, version{table: table, revision: uint64(len(s.versions) + 1), made: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) since(revision uint64) ([]version, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[min(int(revision), len(s.versions)):], s.changed
}

func (s *store) newest() version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[len(s.versions)-1]
}

// due is the newest version made before a time.
func (s *store) due(before time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := uint64(0)
	for _, v := range s.versions {
		if v.made.Before(before) {
			due = v.table.Version
		}
	}
	return due
}

// storedFor is how long the store keeps history.
const storedFor = 20 * time.Second

// simulatedBox is one box of a history, with its way to the store.
type simulatedBox struct {
	history *history
	number  int
	speed   int
	stop    func()

	mu        sync.Mutex
	directory *Directory
	// inTouch is since when the box is in touch; zero while it is not.
	inTouch time.Time
	// refused and cut are the troubles of now: the store refuses this box; nothing reaches
	// it or leaves it.
	refused, cut bool
	heard        time.Time
	seen         uint64
	// providers are the boxes to ask, uploads the answers to others that are under way.
	providers []*simulatedBox
	uploads   atomic.Int64
}

var errRefused = errors.New("refused")

// reach waits for the store's answer to begin.
func (b *simulatedBox) reach(ctx context.Context) error {
	b.history.store.calls.Add(1)
	pause.For(ctx, 4*time.Millisecond)
	return b.troubled(ctx)
}

// troubled returns how a trouble of now ends an exchange.
func (b *simulatedBox) troubled(ctx context.Context) error {
	b.mu.Lock()
	refused, cut := b.refused, b.cut
	b.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return context.Cause(ctx)
	case refused:
		return errRefused
	}
	return context.Cause(ctx)
}

// carry transfers an answer of the store over the box's link.
func (b *simulatedBox) carry(ctx context.Context, bytes int) error {
	s := b.history.store
	s.transfers.Add(1)
	defer s.transfers.Add(-1)
	return transferOver(&linkReader{ctx: ctx, box: b, left: bytes, share: func() int { return int(storeLink / s.transfers.Load()) }, sent: &s.bytes})
}

func transferOver(r *linkReader) error {
	_, err := io.Copy(io.Discard, stall.NewReader(r.ctx, r))
	return err
}

// linkReader gives an answer's bytes at the speed of a box's link, or of the sender's share.
type linkReader struct {
	ctx   context.Context
	box   *simulatedBox
	left  int
	share func() int
	sent  *atomic.Int64
}

func (r *linkReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if err := r.box.troubled(r.ctx); err != nil {
		return 0, err
	}
	n := min(r.left, len(p), 32<<10)
	pause.For(r.ctx, time.Duration(n)*time.Second/time.Duration(min(r.box.speed, r.share())))
	r.sent.Add(int64(n))
	r.left -= n
	return n, context.Cause(r.ctx)
}

func (b *simulatedBox) ReadTable(ctx context.Context) (TableResult, error) {
	if err := b.reach(ctx); err != nil {
		return TableResult{}, err
	}
	v, bytes := b.history.store.newest(), b.history.store.tableLength()
	return TableResult{Table: v.table, Revision: v.revision, Changed: v.revision, Bytes: bytes}, b.carry(ctx, bytes)
}

func (b *simulatedBox) WatchTable(ctx context.Context, after uint64, wait time.Duration, most int) (TableResult, error) {
	if err := b.reach(ctx); err != nil {
		return TableResult{}, err
	}
	versions, changed := b.history.store.since(after)
	if len(versions) == 0 {
		select {
		case <-ctx.Done():
			return TableResult{}, context.Cause(ctx)
		case <-time.After(wait):
			return TableResult{Revision: after}, nil
		case <-changed:
		}
		versions, _ = b.history.store.since(after)
	}
	last := versions[len(versions)-1]
	switch bytes := len(versions) * b.history.store.tableLength(); {
	case time.Since(versions[0].made) > storedFor:
		return TableResult{}, ErrHistoryLost
	case bytes > most:
		return TableResult{}, ErrHistoryTooLong
	default:
		return TableResult{Table: last.table, Revision: last.revision, Changed: last.revision, Bytes: bytes}, b.carry(ctx, bytes)
	}
}

func (b *simulatedBox) ReadServers(ctx context.Context, _ string, _ bool) (ServersPage, error) {
	return ServersPage{Revision: b.history.store.newest().revision}, b.reach(ctx)
}

func (b *simulatedBox) ReadEvacuations(ctx context.Context) (Evacuations, error) {
	return Evacuations{}, ctx.Err()
}

func (b *simulatedBox) WatchServers(ctx context.Context, after uint64, wait time.Duration) (ServerChanges, error) {
	if err := b.reach(ctx); err != nil {
		return ServerChanges{}, err
	}
	pause.For(ctx, wait)
	return ServerChanges{Revision: max(after, b.history.store.newest().revision)}, context.Cause(ctx)
}

// Table implements Providers.
func (b *simulatedBox) Table(ctx context.Context, _ *routing.Table, least uint64) (TableCopy, error) {
	return askProviders(ctx, b, func(ctx context.Context, p *simulatedBox, d *Directory) (TableCopy, error) {
		c, err := d.TableCopy(ctx, least)
		if err != nil {
			return c, err
		}
		p.uploads.Add(1)
		defer p.uploads.Add(-1)
		bytes := b.history.store.tableLength() / packed
		within, cancel := stall.WithLimits(b.history.ctx, historyTiming.limits(historyTiming.AnswerTimeout))
		defer cancel()
		return c, transferOver(&linkReader{ctx: within, box: b, left: bytes, share: func() int { return p.speed / int(p.uploads.Load()) }, sent: &b.history.between})
	})
}

// Servers implements Providers.
func (b *simulatedBox) Servers(ctx context.Context, since, least uint64) (ListCopy, error) {
	return askProviders(ctx, b, func(ctx context.Context, _ *simulatedBox, d *Directory) (ListCopy, error) {
		if _, err := d.ListMetadata(ctx, least); err != nil {
			return ListCopy{}, err
		}
		return d.ListCopy(), nil
	})
}

// providersWait is how long providers may take together to begin an answer, as in routerd;
// firstShare is what each gets of it while there are others, as in pkg/snapshot.
const (
	providersWait = applied * 15 / 100
	firstShare    = 2.0 / 3
)

// askProviders asks one provider after the other. What is asked may be lost, and then the
// provider is silent.
func askProviders[T any](ctx context.Context, b *simulatedBox, ask func(context.Context, *simulatedBox, *Directory) (T, error)) (T, error) {
	var got T
	err := ErrNoProvider
	end := time.Now().Add(providersWait)
	for i, p := range b.providers {
		wait := time.Until(end)
		if i < len(b.providers)-1 {
			wait = time.Duration(firstShare * float64(wait))
		}
		pause.For(ctx, time.Millisecond+rand.N(3*time.Millisecond))
		within, cancel := context.WithTimeout(ctx, wait)
		if b.isCut() || p.isCut() || b.history.apart(b, p) {
			<-within.Done()
			cancel()
			err = within.Err()
			continue
		}
		got, err = ask(within, p, p.now())
		cancel()
		if err == nil {
			return got, nil
		}
	}
	return got, err
}

func (b *simulatedBox) isCut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// now is the box's directory in this life.
func (b *simulatedBox) now() *Directory {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.directory
}

// start begins a life of the box.
func (b *simulatedBox) start(ctx context.Context, wg *sync.WaitGroup) {
	ctx, b.stop = context.WithCancel(ctx)
	d := New(b.history.logger(b.number))
	d.OnNotification(func(n Notification) {
		b.history.tell(b, func(_ *simulatedBox, d *Directory) { d.ApplyNotification(n.within(smallDelta)) })
	})
	b.mu.Lock()
	b.directory, b.seen, b.inTouch, b.heard = d, 0, time.Now(), time.Now()
	b.mu.Unlock()
	wg.Go(func() {
		d.Follow(ctx, FollowOptions{Source: b, Providers: b, Timing: historyTiming, Reader: func() bool { return b.number < readersOfHistories }})
	})
	wg.Go(func() { b.checks(ctx, d) })
}

// smallDelta is how many routes a delta may set to fit a datagram.
const smallDelta = 5

// within leaves out a delta that is too long for a datagram.
func (n Notification) within(routes int) Notification {
	if n.TableDelta != nil && len(n.TableDelta.Routes.Set) > routes {
		n.TableDelta = nil
	}
	return n
}

// checks checks the store while no other box tells that it has.
func (b *simulatedBox) checks(ctx context.Context, d *Directory) {
	for ctx.Err() == nil {
		if !b.quietFor(ctx, checkEvery+rand.N(checkSpread)) {
			continue
		}
		within, cancel := context.WithTimeout(ctx, historyTiming.AnswerTimeout)
		asked, err := time.Now(), b.reach(within)
		cancel()
		if err != nil {
			continue
		}
		if c, ok := d.Verify(ctx, b.history.store.newest().revision, asked, historyTiming); ok {
			b.history.tell(b, func(to *simulatedBox, d *Directory) {
				to.spared()
				d.ApplyCheck(c)
			})
		}
	}
}

// quietFor waits until no other box has checked the store for a time. It returns false
// when the box ends.
func (b *simulatedBox) quietFor(ctx context.Context, d time.Duration) bool {
	for ctx.Err() == nil {
		b.mu.Lock()
		left := d - time.Since(b.heard)
		b.mu.Unlock()
		if left <= 0 {
			b.spared()
			return true
		}
		pause.For(ctx, left)
	}
	return false
}

// spared notes that this box or another has just checked the store.
func (b *simulatedBox) spared() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard = time.Now()
}

// history is a store and its boxes.
type history struct {
	t     *testing.T
	store *store
	boxes []*simulatedBox
	wg    *sync.WaitGroup
	ctx   context.Context
	rand  *rand.Rand
	begun time.Time
	// loss is the part of what boxes tell each other that is lost; as much is doubled.
	loss float64
	// between counts the bytes that boxes have sent each other.
	between atomic.Int64
	// halved says that boxes with odd and with even numbers don't hear each other now.
	halved atomic.Bool
}

// apart tells whether two boxes are in different halves of a fleet that is cut in two.
func (h *history) apart(a, b *simulatedBox) bool {
	return h.halved.Load() && a.number%2 != b.number%2
}

// lossOfHistories is far above what calm networks lose.
const lossOfHistories = 0.1

// newHistory starts boxes at a store that has a table. The first two have fast links.
func newHistory(ctx context.Context, t *testing.T, seed uint64, boxes int, s *store, loss float64) *history {
	h := &history{t: t, begun: time.Now(), ctx: ctx, wg: &sync.WaitGroup{}, rand: rand.New(rand.NewPCG(seed, 1)), loss: loss, store: s}
	s.change(tableOf(1, "first"))
	var entries []roster.Entry
	for i := range boxes {
		b := &simulatedBox{history: h, number: i, speed: slowLink}
		if i < readersOfHistories || i%fastEach == 0 {
			b.speed = fastLink
		}
		h.boxes = append(h.boxes, b)
		entries = append(entries, b.entry())
	}
	for i, b := range h.boxes {
		for _, e := range roster.ProvidersOf(entries, entries[i]) {
			b.providers = append(b.providers, h.boxes[slices.IndexFunc(entries, func(x roster.Entry) bool { return x.Box == e.Box })])
		}
	}
	for _, b := range h.boxes {
		b.start(ctx, h.wg)
	}
	return h
}

// fastEach says that each so many-th box has a fast link: three of sixty in a hall.
const fastEach = 21

// entry is how the box stands in the roster. The readers have the fastest links.
func (b *simulatedBox) entry() roster.Entry {
	mbps := float64(b.speed) * 8 / 1e6
	if b.number < readersOfHistories {
		mbps++
	}
	return roster.Entry{Box: fmt.Sprint("box-", b.number), Hall: fmt.Sprint("hall-", b.number%hallsOfHistories), LinkMbps: mbps}
}

// tell brings something to the other boxes; some of it is lost, doubled or late.
func (h *history) tell(from *simulatedBox, what func(*simulatedBox, *Directory)) {
	from.mu.Lock()
	cut := from.cut
	from.mu.Unlock()
	if cut {
		return
	}
	for _, b := range h.boxes {
		if b == from || h.apart(b, from) {
			continue
		}
		copies := 1
		if rand.Float64() < h.loss {
			copies = 2
		}
		for range copies {
			if rand.Float64() >= h.loss {
				time.AfterFunc(time.Millisecond+rand.N(60*time.Millisecond), func() { b.receive(what) })
			}
		}
	}
}

func (b *simulatedBox) receive(what func(*simulatedBox, *Directory)) {
	b.mu.Lock()
	d, cut := b.directory, b.cut
	b.mu.Unlock()
	if !cut {
		what(b, d)
	}
}

// logger writes what a box logs where that is asked for.
func (h *history) logger(box int) log.Logger {
	if !*historyLogs {
		return log.NewNopLogger()
	}
	return log.With(log.NewLogfmtLogger(h.t.Output()), "at", log.Valuer(func() any { return time.Since(h.begun).Round(time.Millisecond) }), "box", box)
}
