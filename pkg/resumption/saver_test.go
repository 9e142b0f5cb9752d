package resumption

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/resumption/resumptionpb"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/storerev"
)

const (
	// unansweredWrites and lateWrites are the shares of writes that are done although no answer comes, the latter
	// only later.
	unansweredWrites, lateWrites = 0.03, 0.02
	storeLatency                 = 20 * time.Millisecond
)

// streamStore is a StreamStore that is silent and restored together with a versionStore.
type streamStore struct {
	versions *versionStore

	mu              sync.Mutex
	random          *rand.Rand
	objects, copied map[string]StoredStreams
	number          uint64
	copiedNumber    uint64
	calls, bytes    int
}

func newStreamStore(versions *versionStore, seed uint64) *streamStore {
	return &streamStore{versions: versions, random: rand.New(rand.NewPCG(seed, 3)), objects: make(map[string]StoredStreams)}
}

func (s *streamStore) era() uint64 {
	s.versions.mu.Lock()
	defer s.versions.mu.Unlock()
	return s.versions.era
}

// begin counts a call, which takes a moment.
func (s *streamStore) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	latency := time.Duration(s.random.Int64N(int64(storeLatency)))
	s.mu.Unlock()
	wait(ctx, latency)
	if s.versions.isSilent() {
		return errSilent
	}
	return ctx.Err()
}

func (s *streamStore) All(ctx context.Context, f func(string, StoredStreams)) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	for box, stored := range s.snapshot() {
		stored.Revision, _ = storerev.New(s.era(), stored.Revision.Number())
		f(box, stored)
	}
	return nil
}

func (s *streamStore) snapshot() map[string]StoredStreams {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects)
}

func (s *streamStore) Read(ctx context.Context, box string) (StoredStreams, error) {
	if err := s.begin(ctx); err != nil {
		return StoredStreams{}, err
	}
	stored, ok := s.snapshot()[box]
	if !ok {
		return StoredStreams{Revision: storerev.StartOf(s.era())}, nil
	}
	stored.Revision, _ = storerev.New(s.era(), stored.Revision.Number())
	return stored, nil
}

func (s *streamStore) Write(ctx context.Context, box string, streams SavedStreams, revision storerev.Revision) (storerev.Revision, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	fate := s.random.Float64()
	late := time.Duration(s.random.Int64N(int64(3 * time.Second)))
	s.mu.Unlock()
	if fate < lateWrites {
		time.AfterFunc(late, func() { _, _ = s.replace(box, streams, revision) })
		return 0, errSilent
	}
	written, err := s.replace(box, streams, revision)
	if fate < lateWrites+unansweredWrites {
		return 0, errSilent
	}
	return written, err
}

func (s *streamStore) replace(box string, streams SavedStreams, revision storerev.Revision) (storerev.Revision, error) {
	era := s.era()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[box].Revision.Number() != revision.Number() || era != revision.Era() {
		return 0, &StreamsConflictError{Revision: revision}
	}
	body, err := json.Marshal(streams)
	if err != nil {
		return 0, err
	}
	s.bytes += len(body)
	s.number++
	written, err := storerev.New(era, s.number)
	s.objects[box] = StoredStreams{Streams: streams, Revision: written}
	return written, err
}

func (s *streamStore) Remove(ctx context.Context, box string, revision storerev.Revision) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[box].Revision.Number() != revision.Number() {
		return &StreamsConflictError{Revision: revision}
	}
	delete(s.objects, box)
	return nil
}

func (s *streamStore) copyObjects() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedNumber = maps.Clone(s.objects), s.number
}

func (s *streamStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.number = maps.Clone(s.copied), s.copiedNumber
}

// contactTime is the time after which a box that has started is in touch.
const contactTime = 3 * time.Second

// settled reports whether the box has been up for long enough to be in touch.
func (b *simulatedBox) settled() bool {
	return b.inTouch() && clock.Since(b.started) > contactTime
}

// forwardUntil forwards events of a stream for a time, or until the box is killed. The box learns of the end of a
// stream that is broken off otherwise.
func (b *simulatedBox) forwardUntil(k Key, o Origin, d time.Duration) (alive bool) {
	b.mu.Lock()
	b.inProgress[k] = o
	b.mu.Unlock()
	b.exchange.Began(k, o)
	isDown := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.down
	}
	for end := clock.Now().Add(d); clock.Now().Before(end) && !isDown(); {
		time.Sleep(min(50*time.Millisecond, time.Until(end)))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inProgress, k)
	return !b.down
}

// streamShape describes the streams of a history and their callers.
type streamShape struct {
	// A stream lasts between shortest and longest.
	shortest, longest time.Duration
	// patience is the time after which a caller notices that the box of its stream was killed.
	patience time.Duration
}

var (
	longStreams = streamShape{shortest: 2 * time.Second, longest: 8 * time.Second}
	// silentShortStreams belong to callers whose connections end without a reset.
	silentShortStreams = streamShape{shortest: 500 * time.Millisecond, longest: 1500 * time.Millisecond, patience: 6 * time.Second}
)

// repeatedStream is the life of a stream whose caller takes it up until it is whole, or for ten seconds.
func (h *history) repeatedStream(n int) {
	b := h.pick()
	if b == nil {
		return
	}
	versions := b.serving()
	if len(versions) == 0 {
		return
	}
	k, left := KeyOf("a", fmt.Sprint(n)), h.between(h.shape.shortest, h.shape.longest)
	origin := Origin{Service: testService, Version: versions[h.intN(len(versions))]}
	b.begin(origin.Version)
	for {
		d := left
		broken := h.intN(5) == 0
		if broken {
			d = h.between(time.Millisecond, left)
		}
		start := clock.Now()
		alive := b.forwardUntil(k, origin, d)
		if alive && !broken {
			return
		}
		if alive {
			b.exchange.Interrupted(k, origin)
		}
		left = max(100*time.Millisecond, left-clock.Since(start))
		if !alive {
			time.Sleep(h.shape.patience)
		}
		if b = h.takeUp(k, origin, !alive); b == nil {
			return
		}
	}
}

// takeUp takes up a stream until a box lets it go on, which is returned. killed is set if its box was killed.
func (h *history) takeUp(k Key, origin Origin, killed bool) *simulatedBox {
	for interrupted := clock.Now(); clock.Since(interrupted) < 10*time.Second; {
		time.Sleep(h.between(100*time.Millisecond, 600*time.Millisecond))
		b := h.pick()
		if b == nil {
			continue
		}
		settled := b.settled()
		v := b.exchange.Find(h.t.Context(), k, testService)
		h.mu.Lock()
		if v.Known && v.Origin.Version != origin.Version {
			h.mixed++
			h.t.Logf("stream of two versions: began at %s, verdict %+v", origin.Version, v)
		}
		if v.Known && killed {
			h.wentOn++
		}
		if killed && settled && b.settled() {
			h.settledTries[v.Known]++
		}
		h.mu.Unlock()
		if v.Known {
			return b
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if killed {
		h.refused++
	}
	return nil
}

// minGoingOnSilent is the share of the streams that go on if the store is silent for a fifth of the time: what began
// meanwhile is not saved.
const minGoingOnSilent = 0.85

// sideBySideShare is the number of drawn histories for each one of playSideBySide, which takes longer.
const sideBySideShare = 10

// trouble of the store in a history.
type storeTrouble int

const (
	storeThere storeTrouble = iota
	storeSilent
	storeOlder
)

// playSideBySide plays a drawn history of a service with two versions, while all boxes are killed from time to time, and a
// third version comes and goes. If renamed is set, other boxes take the place of those that were killed.
func playSideBySide(t *testing.T, seed uint64, n int, trouble storeTrouble, renamed, saving bool, shape streamShape, configure ...func(*history)) *history {
	var h *history
	synctest.Test(t, func(t *testing.T) {
		store := &versionStore{}
		h = &history{
			t: t, random: rand.New(rand.NewPCG(seed, 1)), roster: boxes(n, 2), versions: []string{"v1", "v2"}, boxes: make([]*simulatedBox, n), store: store, settledTries: make(map[bool]int), shape: shape,
			network: &network{random: rand.New(rand.NewPCG(seed, 2)), conns: make(map[string]*packetConn), cut: make(map[string]bool)},
		}
		for _, f := range configure {
			f(h)
		}
		if saving {
			h.saved = newStreamStore(store, seed)
		}
		for i := range n {
			h.start(i)
		}
		end := clock.Now().Add(40 * time.Second)
		repeat := func(from, to time.Duration, f func()) {
			h.streams.Go(func() {
				for time.Sleep(h.between(from, to)); clock.Now().Before(end); time.Sleep(h.between(from, to)) {
					f()
				}
			})
		}
		kills := 0
		repeat(8*time.Second, 15*time.Second, func() {
			kills++
			if renamed {
				h.rename(kills)
			}
			h.killAll([]time.Duration{0, 30 * time.Millisecond}[h.intN(2)])
		})
		if h.intN(2) == 0 {
			repeat(4*time.Second, 9*time.Second, func() {
				h.awaitStore()
				h.appear("v3")
				time.Sleep(h.between(300*time.Millisecond, 4*time.Second))
				h.disappear("v3")
			})
		}
		switch trouble {
		case storeSilent:
			repeat(2*time.Second, 8*time.Second, func() {
				h.store.setSilent(true)
				time.Sleep(h.between(200*time.Millisecond, 2*time.Second))
				h.store.setSilent(false)
			})
		case storeOlder:
			repeat(2*time.Second, 8*time.Second, h.restoreStore)
		}
		for i := 0; clock.Now().Before(end); i++ {
			h.streams.Go(func() { h.repeatedStream(i) })
			time.Sleep(h.between(20*time.Millisecond, 80*time.Millisecond))
		}
		h.streams.Wait()
		for _, b := range h.boxes {
			b.close()
		}
		synctest.Wait()
	})
	return h
}

// rename gives the boxes that start from now on other names, at the same addresses.
func (h *history) rename(kills int) {
	renamed := boxes(len(h.roster), 2)
	for i := range renamed {
		renamed[i].Box = fmt.Sprintf("box-%d-%d", i, kills)
	}
	h.renamed.Store(&renamed)
}

// Guards against streams of two versions, and against refusals, after all boxes were killed while two versions serve.
func TestStreamsGoOnAfterAllBoxesEndedWithTwoVersions(t *testing.T) {
	for name, c := range map[string]struct {
		trouble storeTrouble
		renamed bool
		goingOn float64
	}{
		"store there":                    {storeThere, false, minGoingOn},
		"store there, other boxes":       {storeThere, true, minGoingOn},
		"store silent from time to time": {storeSilent, false, minGoingOnSilent},
		"store restored":                 {storeOlder, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			wentOn, refused, calls := 0, 0, 0
			count := 1 + *historiesCount/sideBySideShare
			for i := range count {
				seed := *historiesFirst + uint64(i)
				h := playSideBySide(t, seed, 1+int(seed%8), c.trouble, c.renamed, true, longStreams)
				if h.mixed > 0 {
					t.Errorf("seed %d: %d streams of two versions, %d went on, %d refused, %d boxes", seed, h.mixed, h.wentOn, h.refused, len(h.roster))
				}
				wentOn, refused, calls = wentOn+h.wentOn, refused+h.refused, calls+h.saved.calls
			}
			assert.GreaterOrEqual(t, float64(wentOn), c.goingOn*float64(wentOn+refused), "streams that go on")
			t.Logf("%d histories: %d streams went on, %d were refused, %d calls", count, wentOn, refused, calls)
		})
	}
}

// Guards against streams of about a second that are refused because their box was killed before it saved them.
func TestShortStreamsGoOnAfterAllBoxesLostPower(t *testing.T) {
	wentOn, refused, calls := 0, 0, 0
	tries := make(map[bool]int)
	count := 1 + *historiesCount/sideBySideShare
	for i := range count {
		h := playSideBySide(t, *historiesFirst+uint64(i), 7, storeThere, false, true, silentShortStreams)
		assert.Zero(t, h.mixed, "streams of two versions, seed %d", *historiesFirst+uint64(i))
		wentOn, refused, calls = wentOn+h.wentOn, refused+h.refused, calls+h.saved.calls
		for known, n := range h.settledTries {
			tries[known] += n
		}
	}
	assert.GreaterOrEqual(t, float64(wentOn), minGoingOn*float64(wentOn+refused), "streams that go on")
	t.Logf("%d histories: %d streams went on, %d were refused, %d of %d tries at boxes in touch went on, %d calls", count, wentOn, refused, tries[true], tries[true]+tries[false], calls)
}

// Shows that the histories find refused streams if boxes save none.
func TestStreamsAreRefusedAfterAllBoxesEndedIfNoneAreSaved(t *testing.T) {
	wentOn, refused := 0, 0
	for seed := range uint64(3) {
		h := playSideBySide(t, seed+1, 3, storeThere, false, false, longStreams)
		assert.Zero(t, h.mixed)
		wentOn, refused = wentOn+h.wentOn, refused+h.refused
	}
	assert.Less(t, float64(wentOn), minGoingOn*float64(wentOn+refused))
	t.Logf("%d streams went on, %d were refused", wentOn, refused)
}

// Guards against a large fleet of which only the first boxes know what was saved.
func TestFirstBoxesReadForALargeFleet(t *testing.T) {
	wentOn, refused := 0, 0
	for seed := range uint64(2) {
		h := playSideBySide(t, seed+1, maxReaders+12, storeThere, false, true, longStreams, func(h *history) { h.readingFleet = maxReaders })
		assert.Zero(t, h.mixed)
		wentOn, refused = wentOn+h.wentOn, refused+h.refused
	}
	assert.GreaterOrEqual(t, float64(wentOn), minGoingOn*float64(wentOn+refused))
	t.Logf("%d streams went on, %d were refused", wentOn, refused)
}

// noDoubts is a DoubtRecord of a fleet that has never saved doubtful streams. It counts how often they are recorded.
type noDoubts struct{ recorded atomic.Int64 }

func (d *noDoubts) DoubtfulStreams() (may, known bool) { return false, true }

func (d *noDoubts) RecordDoubtfulStreams() { d.recorded.Add(1) }

// saverOf returns an Exchange without others and its saver.
func saverOf(t *testing.T, store StreamStore, name string, versions ...string) (*Exchange, *StreamSaver, *atomic.Pointer[[]string]) {
	listed := &atomic.Pointer[[]string]{}
	listed.Store(&versions)
	n := &network{random: rand.New(rand.NewPCG(1, 2)), conns: make(map[string]*packetConn), cut: make(map[string]bool)}
	all := boxes(1, 1)
	all[0].Box = name
	conn := n.listen(all[0].Address())
	t.Cleanup(func() { conn.Close() })
	e := New(Deps{
		Box: name, Port: datagram.NewPort(datagram.Deps{Box: name, Conn: conn, IsPeer: func(netip.AddrPort) bool { return true }, Logger: log.NewNopLogger()}),
		Boxes: func() []roster.Entry { return all }, BoxesKnown: func() bool { return true }, Logger: log.NewNopLogger(),
		Versions:   func(string) ServiceVersions { return ServiceVersions{Versions: *listed.Load(), HistoryKnown: true} },
		InProgress: func() iter.Seq2[Key, Origin] { return maps.All(map[Key]Origin{}) },
	})
	s := NewStreamSaver(e, StreamSaverDeps{
		Store: store, Several: func() bool { return len(*listed.Load()) > 1 }, HistoryKnown: func() bool { return true }, Doubts: &noDoubts{},
		Rank: func() int { return 0 }, WritesPerSecond: func() float64 { return 400 }, Timeout: time.Second, Logger: log.NewNopLogger(),
	})
	return e, s, listed
}

// Guards against calls to the store for services with one version.
func TestOneVersionMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStreamStore(&versionStore{}, 1)
		e, s, _ := saverOf(t, store, "box-0", "v1")
		go s.Run(t.Context())
		for i := range 100 {
			e.Interrupted(KeyOf("a", fmt.Sprint(i)), Origin{Service: testService, Version: "v1"})
			time.Sleep(time.Second)
		}
		assert.Zero(t, store.calls)
	})
}

// Guards against a saved record that confirms a stream which has become ambiguous since.
func TestSavedRecordDoesNotConfirmAnAmbiguousStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, k := newStreamStore(&versionStore{}, 1), KeyOf("a", "1")
		e, s, _ := saverOf(t, store, "box-0", "v1", "v2")
		go s.Run(t.Context())
		e.Interrupted(k, Origin{Service: testService, Version: "v1"})
		time.Sleep(5 * time.Second)
		require.NotEmpty(t, store.snapshot())
		later, saver, _ := saverOf(t, store, "box-1", "v1", "v2")
		go saver.Run(t.Context())
		time.Sleep(time.Second)
		v := later.Find(t.Context(), k, testService)
		require.True(t, v.Known)
		assert.Equal(t, "recorded in the store", v.Reason)
		e.Interrupted(k, Origin{Service: testService, Version: "v1", Ambiguous: true})
		time.Sleep(5 * time.Second)
		last, saver, _ := saverOf(t, store, "box-2", "v1", "v2")
		go saver.Run(t.Context())
		time.Sleep(time.Second)
		assert.False(t, last.Find(t.Context(), k, testService).Known)
		later.registry.Put(k, Origin{Service: testService, Version: "v1", Ambiguous: true}, false, clock.Now())
		assert.False(t, later.Find(t.Context(), k, testService).Known, "what a box knows goes before what it has read")
	})
}

// Guards against a record that was read from the store and counts for more than what a box knows of the stream.
func TestRecordOfABoxGoesBeforeSavedOnes(t *testing.T) {
	v1, v2 := Origin{Service: testService, Version: "v1"}, Origin{Service: testService, Version: "v2"}
	reply := func(o Origin, saved bool) *resumptionpb.Reply {
		r := encodeRecord(KeyOf("a", "1"), o)
		r.Saved = saved
		return &resumptionpb.Reply{Record: r, Several: true}
	}
	ambiguous := Origin{Service: testService, Version: "v1", Ambiguous: true}
	for name, c := range map[string]struct {
		replies []*resumptionpb.Reply
		known   bool
		reason  string
	}{
		"saved":                        {[]*resumptionpb.Reply{reply(v1, true)}, true, "recorded in the store"},
		"saved by two boxes":           {[]*resumptionpb.Reply{reply(v1, true), reply(v1, true)}, true, "recorded in the store"},
		"saved with two versions":      {[]*resumptionpb.Reply{reply(v1, true), reply(v2, true)}, false, "its version is ambiguous"},
		"saved, one of them ambiguous": {[]*resumptionpb.Reply{reply(ambiguous, true), reply(v1, true)}, false, "its version is ambiguous"},
		"ambiguous at a box":           {[]*resumptionpb.Reply{reply(v1, true), reply(ambiguous, false)}, false, "its version is ambiguous"},
		"a box knows":                  {[]*resumptionpb.Reply{reply(ambiguous, false), reply(v1, true)}, false, "its version is ambiguous"},
		"known at a box":               {[]*resumptionpb.Reply{reply(v1, true), reply(v1, false)}, true, "recorded"},
	} {
		var e Evidence
		for _, r := range c.replies {
			e.add(r)
		}
		v := Decide(testService, e)
		assert.Equal(t, c.known, v.Known, name)
		assert.Equal(t, c.reason, v.Reason, name)
	}
}

// Guards against records of a copy of the store from before a restore, in which streams may not be ambiguous yet.
func TestRecordsOfAnEarlierEraAreNotUsed(t *testing.T) {
	streams := encodeStreams(map[Key]Origin{KeyOf("a", "1"): {Service: testService, Version: "v1"}}, 1)
	for era, want := range map[uint64]int{1: 1, 2: 0} {
		n := 0
		streams.each(era, func(Key, Origin) { n++ })
		assert.Equal(t, want, n, era)
	}
}

// Guards against an object that the store doesn't take, and against a load on it that grows with the fleet.
func TestSavedStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _, _ := saverOf(t, nil, "box-0", "v1", "v2")
		const newest, last = 100, 5*maxSaved + 100
		for i := range last {
			e.Interrupted(KeyOf("a", fmt.Sprint(i)), Origin{Service: testService, Version: fmt.Sprint("v", i%2)})
		}
		streams := e.toSave(clock.Now())
		assert.Len(t, streams, maxSaved)
		for i := range newest {
			assert.Contains(t, streams, KeyOf("a", fmt.Sprint(last-1-i)))
		}
		body, err := json.Marshal(encodeStreams(streams, 1))
		require.NoError(t, err)
		assert.Less(t, len(body), 1<<20)
		t.Logf("%d streams: %d bytes", len(streams), len(body))
	})
	for n, rate := range map[int]float64{7: 400, 91: 400, 985: 1200, 1700: 1200} {
		assert.LessOrEqual(t, float64(n)/SaveInterval(n, rate).Seconds(), saveShare*rate+1e-6, "%d boxes", n)
		t.Logf("%d boxes: every %s", n, SaveInterval(n, rate))
	}
}

// Guards against objects of boxes that are gone, which nobody removes.
func TestWhatBoxesSavedThatAreGoneIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStreamStore(&versionStore{}, 1)
		store.objects["gone"] = StoredStreams{Revision: 7}
		e, s, listed := saverOf(t, store, "box-0", "v1", "v2")
		go s.Run(t.Context())
		e.Interrupted(KeyOf("a", "1"), Origin{Service: testService, Version: "v1"})
		time.Sleep(sweepInterval / 2)
		assert.Contains(t, store.snapshot(), "gone")
		assert.Contains(t, store.snapshot(), "box-0")
		time.Sleep(sweepInterval)
		assert.NotContains(t, store.snapshot(), "gone")
		listed.Store(&[]string{"v1"})
		time.Sleep(3 * Retention)
		assert.Empty(t, store.snapshot(), "nothing is left while there is one version")
	})
}
