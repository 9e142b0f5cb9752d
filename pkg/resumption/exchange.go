package resumption

import (
	"bytes"
	"context"
	"iter"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/resumption/resumptionpb"
	"headhill.example/headhill/pkg/roster"
)

const (
	// datagramKind is the kind of the datagrams of this package.
	datagramKind = "streams"
	// copies is the number of boxes that keep a record besides the box that began the stream. In a fleet of
	// up to smallFleet boxes all do, as any number of them may be killed at once.
	copies     = 3
	smallFleet = 9
	// maxAsked is the number of boxes that are asked for a record. Boxes after the first copies ones have
	// those that boxes handed over as they stopped.
	maxAsked = 9
	// answerTimeout is how long a group of boxes may take to answer. A record or a question that is lost
	// costs this time once.
	answerTimeout = 40 * time.Millisecond
	// retryPause is the pause before boxes are asked again. The record of a stream that a box sent just
	// before it was lost may be on its way, as may that of a version that has just appeared.
	retryPause = 80 * time.Millisecond
	// uncertainPause is the pause before they are asked again for the version of a stream that is not certain yet, maxUncertainPause the
	// longest one: it is doubled, as a server mostly answers at once and the list of servers later.
	uncertainPause    = 50 * time.Millisecond
	maxUncertainPause = 200 * time.Millisecond
	// lookupRounds is how often boxes are asked where there are several versions and no record.
	lookupRounds = 3
	// maxListWait limits how long a stream waits for the list of servers to be confirmed.
	maxListWait = 1200 * time.Millisecond
	// maxUncertainWait limits how long a stream waits for its version to become certain. Callers give a stream up after two
	// seconds without an event, and the server that resumes it has to prefill.
	maxUncertainWait = 1500 * time.Millisecond
	// recordInterval is how often the streams in progress are recorded again.
	recordInterval = Retention / 3
)

// Deps are the dependencies of an Exchange.
type Deps struct {
	// Box is the name of this box.
	Box  string
	Port *datagram.Port
	// Boxes returns all boxes, including this one.
	Boxes func() []roster.Entry
	// BoxesKnown reports whether Boxes returns all of them.
	BoxesKnown func() bool
	// Versions returns what this box knows about the versions of a service's servers.
	Versions func(service string) ServiceVersions
	// InProgress returns the streams that this box forwards. The loop over them must not block.
	InProgress func() iter.Seq2[Key, Origin]
	Logger     log.Logger
}

// Exchange records where streams began, and finds it out for those that callers take up.
type Exchange struct {
	Deps
	registry *Registry
	// interrupted are the streams that were interrupted at this box, or that are ambiguous, loaded those that boxes had saved before this one
	// started. What boxes know themselves goes before the latter.
	interrupted, loaded *Registry
	// ofOthers are the latest records of other boxes, which this one saves too while savesOthers is set.
	ofOthers    *Registry
	savesOthers atomic.Bool
	// savesDoubtful reports whether a stream of a service with one version is saved.
	savesDoubtful func(k Key, o Origin, now time.Time) bool
	// loading is set until the saved streams were read.
	loading atomic.Bool
	changed chan struct{}
	// toSaveChanged receives a value when there is a stream to save.
	toSaveChanged chan struct{}
	// lastID is the ID of the last question. It begins at a random value, as replies to an earlier life of this box may
	// still arrive.
	lastID atomic.Uint64
	// counts of what was recorded and found, see Counts.
	recorded, found, oneVersion, unknown, dropped atomic.Int64
	// savedNow is the number of streams that this box has in the store, saves that of writes.
	savedNow, saves atomic.Int64

	mu sync.Mutex
	// waiting holds the questions that are not answered yet.
	waiting map[uint64]question

	// several holds the services with several versions whose streams were recorded. It is used by Run.
	several map[string]bool
}

// question is a question about a stream, with the boxes that have answered and the channel for their replies.
type question struct {
	key      []byte
	answered map[string]bool
	replies  chan<- *resumptionpb.Reply
}

// New returns an Exchange and registers it for messages on the port.
func New(d Deps) *Exchange {
	e := &Exchange{
		Deps: d, registry: NewRegistry(), interrupted: NewRegistry(), loaded: NewRegistry(), ofOthers: NewRegistry(), changed: make(chan struct{}, 1), toSaveChanged: make(chan struct{}, 1),
		waiting: make(map[uint64]question), several: make(map[string]bool),
	}
	e.ofOthers.maxGeneration = maxSavedOfOthers
	e.lastID.Store(rand.Uint64())
	d.Port.Handle(datagramKind, e.receive)
	return e
}

// Counts returns the records that are kept, what was recorded and found since the start, and the replies that were
// dropped: late ones, repeated ones, and those about another stream.
func (e *Exchange) Counts() map[string]int64 {
	return map[string]int64{
		"kept": int64(e.registry.Len()), "recorded": e.recorded.Load(), "found": e.found.Load(),
		"one version": e.oneVersion.Load(), "unknown": e.unknown.Load(),
		"replies dropped": e.dropped.Load(),
		"loaded":          int64(e.loaded.Len()), "saved": e.savedNow.Load(), "saves": e.saves.Load(),
	}
}

// Began records where a stream began, if its service has several versions or may have. It does not block, and is called
// before the first event is forwarded, and again once an uncertain origin is found out.
func (e *Exchange) Began(k Key, o Origin) {
	now := clock.Now()
	before, known := e.registry.Get(k, now)
	if !o.Uncertain && !o.Ambiguous && !(known && before.Uncertain) && !e.hasSeveral(o.Service) {
		return
	}
	e.registry.Put(k, o, true, now)
	e.recorded.Add(1)
	e.sendRecords(map[Key]Origin{k: o})
	notify(e.toSaveChanged)
}

// Interrupted keeps where a stream began that did not reach its end, and so may be taken up.
func (e *Exchange) Interrupted(k Key, o Origin) {
	now := clock.Now()
	before, known := e.registry.Get(k, now)
	e.registry.Put(k, o, true, now)
	e.interrupted.Put(k, o, true, now)
	if o.Uncertain || o.Ambiguous || known && before.Uncertain || e.hasSeveral(o.Service) {
		e.sendRecords(map[Key]Origin{k: o})
		notify(e.toSaveChanged)
	}
}

// notify sends a value on a channel with a buffer of one, unless one waits there already.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Find returns the verdict on a stream of a service that its caller takes up.
func (e *Exchange) Find(ctx context.Context, k Key, service string) Verdict {
	start := clock.Now()
	var v Verdict
	for round := 0; round < lookupRounds || v.mayResolve && clock.Since(start) < maxWaitFor(v); round++ {
		if round > 0 {
			pause.For(ctx, pauseFor(v, round))
		}
		v = Decide(service, e.collect(ctx, k, service, start))
		if v.Known || ctx.Err() != nil {
			break
		}
	}
	switch {
	case !v.Known:
		e.unknown.Add(1)
	case v.Recorded:
		e.found.Add(1)
	default:
		e.oneVersion.Add(1)
	}
	return v
}

// maxWaitFor returns how long a stream waits while its verdict may become another one.
func maxWaitFor(v Verdict) time.Duration {
	if v.Uncertain {
		return maxUncertainWait
	}
	return maxListWait
}

// pauseFor returns the pause before boxes are asked again after the verdict of a number of rounds.
func pauseFor(v Verdict, rounds int) time.Duration {
	if v.Uncertain {
		return min(uncertainPause<<min(rounds-1, 8), maxUncertainPause)
	}
	return retryPause
}

// copiesOf returns the number of boxes that keep a record in a fleet of a size.
func copiesOf(boxes int) int {
	if boxes <= smallFleet {
		return smallFleet - 1
	}
	return copies
}

// collect asks other boxes for the record of a stream that was taken up at a time, unless this box has it.
func (e *Exchange) collect(ctx context.Context, k Key, service string, since time.Time) Evidence {
	versions := e.Versions(service)
	evidence := Evidence{ServiceVersions: versions, ListConfirmed: versions.Age < clock.Since(since), Loading: e.loading.Load()}
	if evidence.Origin, evidence.Found = e.origin(k); evidence.Found && !evidence.Origin.Uncertain {
		return evidence
	}
	ask := Keepers(e.Boxes(), k, maxAsked, e.Box)
	evidence.Others = len(ask)
	if !e.BoxesKnown() {
		evidence.Others = max(evidence.Others, minAnswers)
	}
	group := copiesOf(len(ask) + 1)
	// A box that has restarted under another name may have several entries, and so may this one.
	answered := map[string]bool{e.Box: true}
	for len(ask) > 0 && ctx.Err() == nil {
		n := min(group, len(ask))
		e.askGroup(ctx, ask[:n], &resumptionpb.Query{Key: k[:], Service: service}, answered, &evidence)
		ask = ask[n:]
		if evidence.settled() {
			break
		}
	}
	if o, ok := e.loaded.Get(k, clock.Now()); ok && !evidence.Found {
		evidence.addSaved(o)
	}
	return evidence
}

// askGroup asks some boxes at once, and adds their answers until these settle the question, all have answered,
// or answerTimeout has passed. answered has the boxes that have answered for the same stream.
func (e *Exchange) askGroup(ctx context.Context, boxes []roster.Entry, q *resumptionpb.Query, answered map[string]bool, evidence *Evidence) {
	replies := make(chan *resumptionpb.Reply, len(boxes))
	q.Id = e.lastID.Add(1)
	e.await(q.Id, question{q.GetKey(), answered, replies})
	defer e.endWait(q.Id)
	e.send(&resumptionpb.Message{Query: q}, boxes)
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for range boxes {
		select {
		case r := <-replies:
			evidence.add(r)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
		if evidence.settled() {
			return
		}
	}
}

// add adds an answer.
func (e *Evidence) add(r *resumptionpb.Reply) {
	e.Answers++
	// An earlier build does not state whether it knows the recent versions, so it confirms none.
	if r.GetHistoryKnown() {
		e.Confirming++
	}
	e.OthersSeveral = e.OthersSeveral || r.GetSeveral()
	if r.GetRecord() == nil {
		return
	}
	_, o, err := decodeRecord(r.GetRecord())
	switch {
	case err != nil, e.Found && !e.Origin.Uncertain && o.Uncertain:
	case r.GetRecord().GetSaved():
		e.addSaved(o)
	default:
		e.Origin, e.Found, e.Saved = o, true, false
	}
}

// await registers a question for its replies.
func (e *Exchange) await(id uint64, q question) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting[id] = q
}

func (e *Exchange) endWait(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, id)
}

// receive handles a message of another box. It must not block.
func (e *Exchange) receive(m datagram.Message) {
	p := &resumptionpb.Message{}
	if err := proto.Unmarshal(m.Body, p); err != nil {
		_ = level.Debug(e.Logger).Log("msg", "record of a stream dropped", "from", m.Box, "err", err)
		return
	}
	for _, r := range p.GetRecords() {
		k, o, err := decodeRecord(r)
		if err != nil {
			_ = level.Debug(e.Logger).Log("msg", "record of a stream dropped", "from", m.Box, "err", err)
			continue
		}
		if r.GetSaved() {
			e.loaded.Put(k, o, false, m.Received)
			continue
		}
		e.registry.Put(k, o, false, m.Received)
		saves := !o.Uncertain && e.savesOthers.Load()
		if saves {
			e.ofOthers.Put(k, o, false, m.Received)
		}
		known, _ := e.registry.Get(k, m.Received)
		if known.Ambiguous {
			// The stream's box may have saved it as certain, and end before it saves that it is not.
			e.interrupted.Put(k, known, false, m.Received)
		}
		if known.Ambiguous || saves {
			notify(e.toSaveChanged)
		}
	}
	if q := p.GetQuery(); q != nil && len(q.GetKey()) == keyBytes {
		e.answer(q, m.From)
	}
	if r := p.GetReply(); r != nil {
		e.deliver(r, m.Box)
	}
}

func (e *Exchange) answer(q *resumptionpb.Query, to *net.UDPAddr) {
	k := Key(q.GetKey())
	versions := e.Versions(q.GetService())
	r := &resumptionpb.Reply{Id: q.GetId(), Several: len(versions.Versions) > 1, HistoryKnown: proto.Bool(versions.HistoryKnown)}
	if o, ok := e.origin(k); ok {
		r.Record = encodeRecord(k, o)
	} else if o, ok := e.loaded.Get(k, clock.Now()); ok {
		r.Record = encodeRecord(k, o)
		r.Record.Saved = true
	}
	e.sendTo(&resumptionpb.Message{Reply: r}, to)
}

// origin returns where a stream began that this box has a record of or forwards.
func (e *Exchange) origin(k Key) (Origin, bool) {
	if o, ok := e.registry.Get(k, clock.Now()); ok {
		return o, true
	}
	for inProgress, o := range e.InProgress() {
		if inProgress == k {
			return o, true
		}
	}
	return Origin{}, false
}

// deliver passes a reply on to the one who asked. It drops one whose question has ended or is of an earlier life of
// this box, one whose record is of another stream, and a second one of a box: datagrams may be repeated on their way.
func (e *Exchange) deliver(r *resumptionpb.Reply, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, asked := e.waiting[r.GetId()]
	if !asked || q.answered[from] || r.GetRecord() != nil && !bytes.Equal(r.GetRecord().GetKey(), q.key) {
		e.dropped.Add(1)
		_ = level.Debug(e.Logger).Log("msg", "reply about a stream dropped", "from", from, "question", r.GetId(), "asked", asked, "repeated", q.answered[from], "record", r.GetRecord() != nil)
		return
	}
	q.answered[from] = true
	select {
	case q.replies <- r:
	default:
	}
}

// SeveralVersions reports whether the servers of a service have several versions, or had lately.
func (e *Exchange) SeveralVersions(service string) bool { return e.hasSeveral(service) }

func (e *Exchange) hasSeveral(service string) bool {
	return len(e.Versions(service).Versions) > 1
}

// ServersChanged is called when the list of servers has changed. It does not block.
func (e *Exchange) ServersChanged() { notify(e.changed) }

// Run records the streams of services that get a second version, and again those that are still in progress,
// until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.changed:
			e.recordNewlySeveral()
		case <-ticker.C:
			e.recordInProgress(e.hasSeveral)
		}
	}
}

// recordNewlySeveral records the streams of services that have had one version until now: those in progress
// and those that were interrupted.
func (e *Exchange) recordNewlySeveral() {
	newly := make(map[string]bool)
	own := e.registry.All(true, clock.Now())
	inProgress := maps.Collect(e.InProgress())
	for _, streams := range []map[Key]Origin{own, inProgress} {
		for _, o := range streams {
			newly[o.Service] = e.hasSeveral(o.Service) && !e.several[o.Service]
		}
	}
	interrupted := make(map[Key]Origin)
	for k, o := range own {
		if newly[o.Service] {
			interrupted[k] = e.registry.Renew(k, o, clock.Now())
		}
	}
	e.sendRecords(interrupted)
	e.recordInProgress(func(service string) bool { return newly[service] })
	e.several = e.severalNow(newly)
}

// severalNow returns which of the services that were looked at have several versions.
func (e *Exchange) severalNow(newly map[string]bool) map[string]bool {
	several := make(map[string]bool)
	for service := range e.several {
		if e.hasSeveral(service) {
			several[service] = true
		}
	}
	for service, is := range newly {
		if is {
			several[service] = true
		}
	}
	return several
}

// recordInProgress records the streams in progress of some services.
func (e *Exchange) recordInProgress(of func(service string) bool) {
	streams := maps.Collect(e.InProgress())
	now := clock.Now()
	for k, o := range streams {
		if !of(o.Service) {
			delete(streams, k)
			continue
		}
		streams[k] = e.registry.Renew(k, o, now)
	}
	e.sendRecords(streams)
}

// HandOver sends all records to other boxes before this one stops.
func (e *Exchange) HandOver() {
	all := e.registry.All(false, clock.Now())
	for k, o := range all {
		if !o.Uncertain && !o.Ambiguous && !e.hasSeveral(o.Service) {
			delete(all, k)
		}
	}
	e.sendRecords(all)
}

// sendRecords sends records to the boxes that keep them.
func (e *Exchange) sendRecords(streams map[Key]Origin) {
	if len(streams) == 0 {
		return
	}
	e.sendEach(streams, encodeRecord)
}

func (e *Exchange) sendEach(streams map[Key]Origin, encode func(Key, Origin) *resumptionpb.Record) {
	boxes := e.Boxes()
	records := make(map[string][]*resumptionpb.Record)
	keepers := make(map[string]roster.Entry)
	for k, o := range streams {
		for _, keeper := range Keepers(boxes, k, copiesOf(len(boxes)), e.Box) {
			keepers[keeper.Box] = keeper
			records[keeper.Box] = append(records[keeper.Box], encode(k, o))
		}
	}
	for name, list := range records {
		for _, m := range batch(list) {
			e.send(m, []roster.Entry{keepers[name]})
		}
	}
}

func (e *Exchange) send(m *resumptionpb.Message, boxes []roster.Entry) {
	to := make([]*net.UDPAddr, 0, len(boxes))
	for _, b := range boxes {
		if a := b.Address(); a != nil {
			to = append(to, a)
		}
	}
	e.sendTo(m, to...)
}

func (e *Exchange) sendTo(m *resumptionpb.Message, to ...*net.UDPAddr) {
	body, err := proto.Marshal(m)
	if err != nil || !e.Port.Send(datagramKind, body, to...) {
		_ = level.Warn(e.Logger).Log("msg", "sending records of streams failed", "records", len(m.GetRecords()), "bytes", len(body), "err", err)
	}
}
