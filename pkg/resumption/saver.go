package resumption

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/storerev"
)

const (
	// maxReadingFleet is the size of a fleet up to which each box that starts reads what all boxes saved. In a larger one the
	// first maxReaders boxes by rank read it for the others: each sends a part of the records to the boxes that keep them.
	// Each part is sent by readersOfPart boxes, as some may be down.
	maxReadingFleet = 128
	maxReaders      = 32
	readersOfPart   = 3
	// streamsPollInterval is how often a box that starts looks whether it knows the versions of its services.
	streamsPollInterval = 50 * time.Millisecond
	// maxRosterWait limits how long a box that starts waits for the list of all boxes.
	maxRosterWait = time.Second
	// streamsCheckInterval is how often a box looks for something to save while each service has one version.
	streamsCheckInterval = 5 * time.Second
	// sendPeriod is how long, and sendInterval how often, a box sends to others what it has read for them.
	sendPeriod   = 3 * time.Second
	sendInterval = 500 * time.Millisecond
	// maxSaveRetryDelay limits the delay of an attempt after several failures, which doubles up to maxSaveBackoff times.
	maxSaveRetryDelay = 2 * time.Second
	maxSaveBackoff    = 5
	// sweepInterval is how often the first box by rank looks for what boxes saved that are gone.
	sweepInterval = 2 * Retention
	// maxCallsPerList limits the time of a list of all boxes, which may take several calls.
	maxCallsPerList = 5
	// minDoubt is how long a stream of a service with one version is uncertain before it is saved. Most are only until their server
	// has answered a query, for which 0.3 s are allowed.
	minDoubt = 400 * time.Millisecond
	// readersDelay is the time in which the boxes that read for others have sent what they read.
	readersDelay = maxVersionReadSpread + sendInterval
)

// DoubtRecord keeps whether boxes have saved doubtful streams of services with one version: streams that are uncertain or ambiguous.
type DoubtRecord interface {
	// DoubtfulStreams reports whether boxes may have saved some before this one started. known is unset until that was read.
	DoubtfulStreams() (may, known bool)
	// RecordDoubtfulStreams is called as this box saves some. It must not block.
	RecordDoubtfulStreams()
}

// StreamSaverDeps are the dependencies of a StreamSaver.
type StreamSaverDeps struct {
	Store StreamStore
	// Several reports whether a service has several versions. HistoryKnown reports whether this box knows all of them.
	Several, HistoryKnown func() bool
	Doubts                DoubtRecord
	// Rank returns the rank of this box in the fleet, WritesPerSecond the writes that the store allows to all boxes.
	Rank            func() int
	WritesPerSecond func() float64
	// Timeout limits each call to the store.
	Timeout time.Duration
	Logger  log.Logger
}

// StreamSaver saves where the streams of a box began, for the case that all boxes end. It makes no calls while each
// service has one version and no stream is doubtful. Streams don't wait for it.
type StreamSaver struct {
	StreamSaverDeps
	exchange *Exchange
	changed  chan struct{}
	// readingFleet is the size of a fleet up to which each box reads for itself.
	readingFleet int

	// saved is what this box has in the store at revision; known is unset if that is not certain.
	saved    map[Key]Origin
	revision storerev.Revision
	known    bool
	// nextSweep is when objects of boxes that are gone are looked for; unchanged has those of the last time.
	nextSweep time.Time
	unchanged map[string]storerev.Revision
	// lastCall is when this box last began to save, or looked for doubtful streams.
	lastCall time.Time
	// failures is the number of failed attempts to save since the last one that did not fail.
	failures int
	// forOthers are the records that this box has read for others, to which it sends them until sendUntil, as they may
	// start later.
	forOthers           map[Key]Origin
	sendUntil, nextSend time.Time
	// uncertain are the uncertain streams of services with one version, with the time at which they were first seen; seenUncertain are
	// those that were seen now.
	uncertain, seenUncertain map[Key]time.Time
	// savesAnyDoubtful is set if there are doubtful streams of services with one version to save.
	savesAnyDoubtful bool
	// started is when the box started. lacksSaved is set until what boxes saved before was read.
	started    time.Time
	lacksSaved atomic.Bool
	// restored is set if the store may have lost what this box saved.
	restored atomic.Bool
}

// NewStreamSaver returns a StreamSaver for the streams of an Exchange.
func NewStreamSaver(e *Exchange, d StreamSaverDeps) *StreamSaver {
	e.loading.Store(true)
	s := &StreamSaver{StreamSaverDeps: d, exchange: e, changed: make(chan struct{}, 1), readingFleet: maxReadingFleet, started: clock.Now(), seenUncertain: make(map[Key]time.Time)}
	s.lacksSaved.Store(true)
	e.savesDoubtful = s.savesDoubtful
	versions := e.Versions
	e.Versions = func(service string) ServiceVersions {
		v := versions(service)
		v.HistoryKnown = v.HistoryKnown && !s.mayLackDoubtful()
		return v
	}
	return s
}

// mayLackDoubtful reports whether boxes may have saved doubtful streams that this one does not know yet, so that it can't tell that a
// stream without a record began at the only version.
func (s *StreamSaver) mayLackDoubtful() bool {
	if !s.lacksSaved.Load() || clock.Since(s.started) >= Retention {
		return false
	}
	may, _ := s.Doubts.DoubtfulStreams()
	return may
}

// ServersChanged is called when the list of servers has changed. It does not block.
func (s *StreamSaver) ServersChanged() { notify(s.changed) }

// Run reads what all boxes saved, and then saves the streams of this box until ctx is done.
func (s *StreamSaver) Run(ctx context.Context) {
	s.exchange.saveOthers(s.interval())
	if s.load(ctx) {
		s.lacksSaved.Store(false)
	} else {
		time.AfterFunc(readersDelay, func() { s.lacksSaved.Store(false) })
	}
	s.exchange.loading.Store(false)
	if s.Several() {
		// Boxes that started at one moment would all write at one, and lose what began since.
		pause.For(ctx, rand.N(s.interval()))
	}
	for notified := false; ctx.Err() == nil; {
		several := s.Several()
		s.sendAgain()
		if several || notified || len(s.saved) > 0 {
			s.report(s.save(ctx))
		}
		if several || len(s.unchanged) > 0 {
			s.sweep(ctx)
		}
		notified = !several && (len(s.uncertain) > 0 || s.failures > 0)
		if several || notified || len(s.forOthers) > 0 {
			s.awaitNextSave(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.exchange.toSaveChanged:
			notified = true
			pause.For(ctx, s.interval()-clock.Since(s.lastCall))
		case <-s.changed:
		case <-time.After(streamsCheckInterval):
		}
	}
}

// awaitNextSave waits until the box may write again and there is something to save. After a failure it does not wait for
// a stream, but longer for each further failure.
func (s *StreamSaver) awaitNextSave(ctx context.Context) {
	interval := s.interval()
	s.exchange.saveOthers(interval)
	if s.failures > 1 {
		interval = max(interval, min(interval<<min(s.failures-1, maxSaveBackoff), maxSaveRetryDelay))
	}
	pause.For(ctx, interval-rand.N(interval/10)-clock.Since(s.lastCall))
	if s.failures > 0 {
		return
	}
	timer := time.NewTimer(maxSaveInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.exchange.toSaveChanged:
	case <-s.changed:
	case <-timer.C:
	}
}

func (s *StreamSaver) interval() time.Duration {
	return SaveInterval(len(s.exchange.Boxes()), s.WritesPerSecond())
}

// sendAgain sends once more what this box has read for others.
func (s *StreamSaver) sendAgain() {
	now := clock.Now()
	if len(s.forOthers) == 0 || now.Before(s.nextSend) {
		return
	}
	s.exchange.sendSaved(s.forOthers)
	s.nextSend = now.Add(sendInterval)
	if now.After(s.sendUntil) {
		s.forOthers = nil
	}
}

// report logs the first of several failures, and the end of them.
func (s *StreamSaver) report(err error) {
	switch {
	case err != nil && s.failures == 0:
		_ = level.Info(s.Logger).Log("msg", "saving streams failed", "err", err, "outcome", "retrying; streams that began since are refused after a restart of all boxes")
	case err == nil && s.failures > 0:
		_ = level.Info(s.Logger).Log("msg", "saving streams works again", "saved", len(s.saved))
	}
	if s.failures++; err == nil {
		s.failures = 0
	}
}

// load reads what all boxes saved, if a service has several versions or doubtful streams may have been saved. It returns false if other boxes
// read it, or a part of it, for this one.
func (s *StreamSaver) load(ctx context.Context) bool {
	for ctx.Err() == nil && !s.Several() && !s.HistoryKnown() {
		if _, known := s.Doubts.DoubtfulStreams(); known {
			break
		}
		pause.For(ctx, streamsPollInterval)
	}
	if !s.needsSaved() {
		return true
	}
	for start := clock.Now(); ctx.Err() == nil && !s.exchange.BoxesKnown() && clock.Since(start) < maxRosterWait; {
		pause.For(ctx, streamsPollInterval)
	}
	boxes := len(s.exchange.Boxes())
	forOthers := boxes > s.readingFleet
	if forOthers && s.Rank() >= maxReaders {
		return false
	}
	pause.For(ctx, rand.N(min(maxVersionReadSpread, time.Duration(boxes)*versionReadSpread)+1))
	for ctx.Err() == nil && s.needsSaved() {
		start := clock.Now()
		read, err := s.readAll(ctx)
		if err == nil {
			_ = level.Info(s.Logger).Log("msg", "loaded streams", "objects", read.objects, "of_earlier_era", read.ofEarlierEra, "oversized", read.oversized, "streams", len(read.streams), "for_others", forOthers, "after_ms", clock.Since(start).Milliseconds())
			s.take(read, forOthers)
			return !forOthers
		}
		_ = level.Info(s.Logger).Log("msg", "reading saved streams failed", "err", err, "outcome", "retrying; streams whose version no box has recorded are refused")
		s.report(s.save(ctx))
		pause.For(ctx, versionRetryDelay+rand.N(versionRetryDelay))
	}
	return true
}

// needsSaved reports whether this box needs what boxes saved before it started.
func (s *StreamSaver) needsSaved() bool { return s.Several() || s.mayLackDoubtful() }

// readStreams is what all boxes saved.
type readStreams struct {
	streams               []savedStream
	own                   StoredStreams
	objects, ofEarlierEra int
	// revisions are those of the objects of other boxes.
	revisions map[string]storerev.Revision
	// oversized is the number of objects that hold more streams than a box saves, which are not used.
	oversized int
}

type savedStream struct {
	key    Key
	origin Origin
}

func (s *StreamSaver) readAll(ctx context.Context) (r readStreams, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallsPerList*s.Timeout)
	defer cancel()
	r.revisions = make(map[string]storerev.Revision)
	err = s.Store.All(ctx, func(box string, stored StoredStreams) {
		era := stored.Revision.Era()
		r.objects++
		if stored.Streams.Era != era {
			r.ofEarlierEra++
		}
		if stored.Streams.oversized() {
			r.oversized++
		}
		if box == s.exchange.Box {
			r.own = stored
		} else {
			r.revisions[box] = stored.Revision
		}
		stored.Streams.each(era, func(k Key, o Origin) { r.streams = append(r.streams, savedStream{k, o}) })
	})
	return r, err
}

// take keeps what was read. What this box had saved before it ended is saved again, as its callers may still retry.
func (s *StreamSaver) take(r readStreams, forOthers bool) {
	now := clock.Now()
	s.forOthers, s.sendUntil = make(map[Key]Origin), now.Add(sendPeriod)
	s.unchanged, s.nextSweep = r.revisions, now.Add(sweepInterval)
	for _, stream := range r.streams {
		if forOthers && !readsPart(s.Rank(), stream.key) {
			continue
		}
		s.exchange.loaded.Put(stream.key, stream.origin, false, now)
		if forOthers {
			s.forOthers[stream.key] = stream.origin
		}
	}
	s.exchange.sendSaved(s.forOthers)
	s.nextSend = now.Add(sendInterval)
	if r.own.Revision != 0 {
		s.takeOwn(r.own, now)
	}
}

// readsPart reports whether the box of a rank sends the record of a stream to those that keep it.
func readsPart(rank int, k Key) bool {
	return (rank-int(k[keyBytes-1])%maxReaders+maxReaders)%maxReaders < readersOfPart
}

// takeOwn keeps what this box has in the store.
func (s *StreamSaver) takeOwn(stored StoredStreams, now time.Time) {
	s.saved = make(map[Key]Origin)
	stored.Streams.each(stored.Revision.Era(), func(k Key, o Origin) {
		s.saved[k] = o
		// Records of others are kept for one to two intervals only, however often this box reads its object again.
		if !s.exchange.registry.isOfOther(k, now) {
			s.exchange.interrupted.Put(k, o, true, now)
		}
	})
	s.revision, s.known = stored.Revision, true
}

// save writes the streams of this box if there are new ones.
func (s *StreamSaver) save(ctx context.Context) error {
	now := clock.Now()
	if s.restored.Swap(false) {
		s.known = false
	}
	streams := s.toSave(now)
	if !s.Several() {
		s.lastCall = now
	}
	if s.known && len(streams) > 0 && !adds(streams, s.saved) || len(streams) == 0 && len(s.saved) == 0 {
		return nil
	}
	s.lastCall = now
	ctx, cancel := context.WithTimeout(ctx, 2*s.Timeout)
	defer cancel()
	if !s.known {
		stored, err := s.Store.Read(ctx, s.exchange.Box)
		if err != nil {
			return err
		}
		s.takeOwn(stored, now)
		streams = s.toSave(now)
	}
	return s.write(ctx, streams)
}

// toSave returns the streams of this box to save.
func (s *StreamSaver) toSave(now time.Time) map[Key]Origin {
	s.seenUncertain, s.savesAnyDoubtful = make(map[Key]time.Time), false
	streams := s.exchange.toSave(now)
	s.uncertain = s.seenUncertain
	if s.savesAnyDoubtful {
		s.Doubts.RecordDoubtfulStreams()
	}
	return streams
}

// savesDoubtful reports whether a stream of a service with one version is saved: an ambiguous one, one that has been uncertain for a while,
// or one that was saved as such and is certain now.
func (s *StreamSaver) savesDoubtful(k Key, o Origin, now time.Time) bool {
	is := o.Ambiguous
	if o.Uncertain {
		since, known := s.uncertain[k]
		if !known {
			since = now
		}
		s.seenUncertain[k] = since
		is = now.Sub(since) >= minDoubt
	}
	s.savesAnyDoubtful = s.savesAnyDoubtful || is
	return is || s.saved[k].Ambiguous
}

func (s *StreamSaver) write(ctx context.Context, streams map[Key]Origin) (err error) {
	defer func() { s.known = err == nil }()
	if len(streams) == 0 {
		if s.revision.Number() > 0 {
			err = s.Store.Remove(ctx, s.exchange.Box, s.revision)
		}
		if err == nil {
			s.saved, s.revision = nil, storerev.StartOf(s.revision.Era())
			_ = level.Info(s.Logger).Log("msg", "removed saved streams")
		}
		return err
	}
	revision, err := s.Store.Write(ctx, s.exchange.Box, encodeStreams(streams, s.revision.Era()), s.revision)
	if err != nil {
		return err
	}
	if len(s.saved) == 0 {
		_ = level.Info(s.Logger).Log("msg", "saved streams", "streams", len(streams), "revision", revision)
	}
	s.saved, s.revision = streams, revision
	s.exchange.savedNow.Store(int64(len(streams)))
	s.exchange.saves.Add(1)
	return nil
}

// ObserveEra is called when the store was restored from an older copy, which may have lost what this box saved. It does
// not block.
func (s *StreamSaver) ObserveEra() {
	s.restored.Store(true)
	s.ServersChanged()
}

// sweep removes what boxes saved that are gone, once it has not changed between two sweeps. The first box by rank does it.
func (s *StreamSaver) sweep(ctx context.Context) {
	now := clock.Now()
	if now.Before(s.nextSweep) || s.Rank() != 0 || !s.exchange.BoxesKnown() {
		return
	}
	s.nextSweep = now.Add(sweepInterval)
	ctx, cancel := context.WithTimeout(ctx, maxCallsPerList*s.Timeout)
	defer cancel()
	gone := make(map[string]storerev.Revision)
	err := s.Store.All(ctx, func(box string, stored StoredStreams) { gone[box] = stored.Revision })
	for _, b := range s.exchange.Boxes() {
		delete(gone, b.Box)
	}
	removed := 0
	for box, revision := range gone {
		if err == nil && s.unchanged[box] == revision {
			err = s.Store.Remove(ctx, box, revision)
			removed++
		}
	}
	var conflict *StreamsConflictError
	if err != nil && !errors.As(err, &conflict) || removed > 0 {
		_ = level.Info(s.Logger).Log("msg", "removing streams that boxes saved which are gone", "boxes", len(gone), "removed", removed, "err", err)
	}
	s.unchanged = gone
}
