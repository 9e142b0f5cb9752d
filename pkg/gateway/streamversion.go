package gateway

import (
	"context"
	"errors"
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/resumption"
	"headhill.example/headhill/pkg/routing"
)

// Streams knows at which version of the software of its service a stream began. What two versions write
// doesn't fit together.
type Streams interface {
	// Began is called before the first event of a stream is forwarded. It must not block.
	Began(resumption.Key, resumption.Origin)
	// Interrupted is called for a stream that was not forwarded to its end. It must not block.
	Interrupted(resumption.Key, resumption.Origin)
	// SeveralVersions reports whether the servers of a service have several versions, or had lately.
	SeveralVersions(service string) bool
	// Find finds out where a stream of a service began that its caller takes up.
	Find(ctx context.Context, k resumption.Key, service string) resumption.Verdict
}

// VersionRecord is the record of software versions that outlives all boxes.
type VersionRecord interface {
	// Unrecorded returns the versions of a service that are not in the record, and that new streams should avoid while others serve.
	Unrecorded(service string) []string
	// RecordNow is called when a stream begins at such a version. It must not block.
	RecordNow()
}

// Incarnations tells which servers may have restarted without an entry that says so.
type Incarnations interface {
	// Version returns the version of the server to which a connection leads, and false if that can't be told.
	Version(c incarnation.Connection, now time.Time) (string, bool)
	// VersionAsked returns the version of the server to which a broken connection led, after the server was asked since: its entry counts
	// unless another process may have run by then. It returns false if that can't be told yet.
	VersionAsked(c incarnation.Connection) (string, bool)
	// Proved reports whether the list proves that a connection led to the process of its server's entry.
	Proved(c incarnation.Connection) bool
	// Reliable reports whether the entry of a server may be relied on for a connection.
	Reliable(c incarnation.Connection, now time.Time) bool
	// Query has the server of a connection queried whether its entry describes the process that runs, and reports whether an
	// answer may come. It must not block.
	Query(c incarnation.Connection) bool
	// MayHaveRestarted reports whether the entry of a server is not to be relied on. With certainOnly, a single
	// connection that broke does not count.
	MayHaveRestarted(server *routing.Server, certainOnly bool, now time.Time) bool
	// RecordLost records that a connection to a server broke; last is set if it was the last one in use.
	RecordLost(c incarnation.Connection, last bool)
	// RecordIdleClosed records that a server has closed an idle connection. With announce, other boxes are informed before the server has
	// answered a query.
	RecordIdleClosed(c incarnation.Connection, announce bool)
	// RecordEnded records that the process of a server has ended.
	RecordEnded(server *routing.Server, at time.Time)
}

// noRestarts implements Incarnations for servers that never restart under their IDs.
type noRestarts struct{}

func (noRestarts) Version(c incarnation.Connection, _ time.Time) (string, bool) {
	return c.Server.Version, true
}
func (noRestarts) VersionAsked(c incarnation.Connection) (string, bool) {
	return c.Server.Version, true
}
func (noRestarts) Proved(incarnation.Connection) bool                     { return true }
func (noRestarts) Reliable(incarnation.Connection, time.Time) bool        { return true }
func (noRestarts) Query(incarnation.Connection) bool                      { return false }
func (noRestarts) MayHaveRestarted(*routing.Server, bool, time.Time) bool { return false }
func (noRestarts) RecordLost(incarnation.Connection, bool)                {}
func (noRestarts) RecordIdleClosed(incarnation.Connection, bool)          {}
func (noRestarts) RecordEnded(*routing.Server, time.Time)                 {}

// unknownVersionRetryAfter is the Retry-After of a stream whose version nobody knows, before jitter: a box
// that knows it may be out of reach for a moment.
const unknownVersionRetryAfter = 300 * time.Millisecond

// uncertainVersionRetryAfter is that of a stream whose version the list of servers will tell.
const uncertainVersionRetryAfter = 700 * time.Millisecond

const (
	// maxProofWait limits how long the first event of a stream that goes on waits until the version of its server is certain,
	// proofInterval is the pause before each look.
	maxProofWait  = 300 * time.Millisecond
	proofInterval = 10 * time.Millisecond
	// maxAnswerWait limits how long the answer is awaited of a server whose entry is not in doubt.
	maxAnswerWait = time.Second
)

// boundStream is a stream that must go on where it began.
type boundStream struct {
	key    resumption.Key
	origin resumption.Origin
	// connection is the one over which the stream began, resolution its origin as it was found later; nil for a stream that was taken
	// up. needsProof is set if the entry of the server must be proved, proofBy is when it counts without a proof; zero for never.
	connection incarnation.Connection
	resolution *resolution
	needsProof bool
	proofBy    time.Time
	// doubted is set if the origin was certain until connection broke, over which the stream began or went on: its server
	// must have had the version of the origin.
	doubted bool
	// asked is set if connection was not proved when it broke: the server is asked, and its entry counts from proofBy on.
	asked bool
	// answerBy is until when the answer of the server is awaited; zero for none. The origin counts as certain meanwhile.
	answerBy time.Time
}

// known returns the origin as it was last resolved.
func (b *boundStream) known() resumption.Origin {
	if b.resolution == nil || b.origin.Ambiguous {
		return b.origin
	}
	if known := b.resolution.origin.Load(); known != nil {
		return *known
	}
	return b.origin
}

// resolve returns the origin, which the list of servers or the server may tell by now.
func (b *boundStream) resolve(i Incarnations, now time.Time) resumption.Origin {
	o := b.known()
	if !o.Uncertain || o.Ambiguous {
		return o
	}
	if b.asked {
		return b.resolveAsked(i, now)
	}
	if b.doubted && i.Query(b.connection) {
		// A failed link refutes a restart without proof that the process ran.
		return o
	}
	version, ok := i.Version(b.connection, now)
	if ok && b.needsProof && version == b.connection.Server.Version && !i.Reliable(b.connection, now) {
		if b.proofBy.IsZero() || now.Before(b.proofBy) && i.Query(b.connection) {
			return o
		}
		// No answer is to come, or it has come since the version was looked up.
		version, ok = i.Version(b.connection, now)
	}
	if !ok {
		return o
	}
	o.Uncertain = false
	if o.Ambiguous = b.doubted && version != o.Version; !o.Ambiguous {
		o.Version = version
	}
	b.resolution.set(o)
	return b.known()
}

// resolveAsked returns the origin of a stream whose server is asked since it broke off.
func (b *boundStream) resolveAsked(i Incarnations, now time.Time) resumption.Origin {
	o := b.known()
	if b.awaitsAnswer(i, now) {
		return o
	}
	version, ok := i.VersionAsked(b.connection)
	if !ok {
		return o
	}
	o.Uncertain, o.Ambiguous = false, version != o.Version
	b.resolution.set(o)
	return b.known()
}

// awaitsAnswer reports whether the stream broke off and the answer of its server is still to come.
func (b *boundStream) awaitsAnswer(i Incarnations, now time.Time) bool {
	return b.asked && b.known().Uncertain && now.Before(b.proofBy) && i.Query(b.connection)
}

// checkAnswer checks a certain origin against the answer of the server, and reports whether the check is over: the server has answered,
// or the time for it is up, so that the origin stands. The stream is ambiguous if the server denies its entry, as the version has been
// passed on.
func (b *boundStream) checkAnswer(i Incarnations, now time.Time) bool {
	if now.Before(b.answerBy) && i.Query(b.connection) {
		return false
	}
	version, ok := i.Version(b.connection, now)
	if ok && !b.connection.Broken.IsZero() {
		version, ok = i.VersionAsked(b.connection)
	}
	if !ok || version != b.origin.Version {
		o := b.origin
		o.Ambiguous = true
		b.resolution.set(o)
	}
	return true
}

// takesUpStream reports whether the caller takes up a stream after its last event.
func (x *exchange) takesUpStream() bool {
	return x.resumable() && x.call.LastEventID != ""
}

func (x *exchange) resumable() bool {
	return x.route.Kind == routing.KindStream && x.route.Resumable && x.gateway.Streams != nil
}

// firstCall returns the ID of the call that brought the first event of the stream, "" if it has none. A caller
// that takes up a stream and does not name that call gets the version of no other stream.
func (x *exchange) firstCall() string {
	if x.call.LastEventID != "" && x.call.Resumes != "" {
		return x.call.Resumes
	}
	return x.call.ID
}

func (x *exchange) streamKey() resumption.Key {
	return resumption.KeyOf(x.organisationName(), x.firstCall())
}

// bindTakenUp binds a stream that the caller takes up to the version at which it began, or refuses it if
// nobody knows that.
func (x *exchange) bindTakenUp(ctx context.Context) error {
	if !x.takesUpStream() {
		return nil
	}
	key := x.streamKey()
	v := x.gateway.Streams.Find(ctx, key, x.service.Name)
	_ = level.Info(x.gateway.Logger).Log("msg", "stream taken up", "id", x.call.ID, "resumes", x.call.Resumes, "service", x.service.Name,
		"known", v.Known, "began_at", v.Origin.Service, "server_version", v.Origin.Version, "reason", v.Reason,
		"versions", strings.Join(v.Evidence.Versions, ","), "history_known", v.Evidence.HistoryKnown, "list_confirmed", v.Evidence.ListConfirmed,
		"others", v.Evidence.Others, "answers", v.Evidence.Answers, "confirming", v.Evidence.Confirming, "others_several", v.Evidence.OthersSeveral, "after_ms", clock.Since(x.arrival).Milliseconds())
	if !v.Known {
		retryAfter := unknownVersionRetryAfter
		if v.Uncertain {
			retryAfter = uncertainVersionRetryAfter
		}
		return &RefusedError{Reason: "the software version at which the stream began is not known: " + v.Reason, RetryAfter: jitter(retryAfter)}
	}
	if v.Origin.Service != x.service.Name && !x.switchService(v.Origin.Service) {
		// The stream goes on at another service, whose versions are not comparable.
		return nil
	}
	x.bound.Store(&boundStream{key: key, origin: v.Origin})
	x.takenUp = v.Recorded
	return nil
}

// switchService makes the request go to a service that its route leads to as well. It returns false if the
// route does not.
func (x *exchange) switchService(name string) bool {
	if !slices.ContainsFunc(x.route.Targets, func(t routing.Target) bool { return t.Service == name }) {
		return false
	}
	service, ok := x.view.Table.Service(name)
	if ok {
		x.service = service
	}
	return ok
}

// errUncertainVersion is the cause of an attempt whose server may have restarted with another version than that at which
// the stream must go on.
var errUncertainVersion = errors.New("the server may have another software version than the stream")

// bindStream binds a stream to the version of the server that brought its first event. It is called before
// the event is forwarded; attempts that brought none don't count. A stream that is bound already must not get events of
// a server whose version is another one or not certain.
func (x *exchange) bindStream() error {
	if !x.resumable() {
		return nil
	}
	if x.end.bound {
		return nil
	}
	if b := x.bound.Load(); b != nil {
		version, ok := x.provedVersion(b)
		origin := b.resolve(x.gateway.Incarnations, clock.Now())
		if !ok || origin.Uncertain || origin.Ambiguous || version != origin.Version {
			return errUncertainVersion
		}
		x.end.bound = true
		if x.firstEventTime.IsZero() && x.firstCall() != "" {
			x.gateway.Streams.Began(b.key, origin)
		}
		return nil
	}
	x.end.bound = true
	version, ok := x.attemptVersion()
	b := x.newBoundStream(version, ok)
	x.bound.Store(b)
	if x.firstCall() == "" {
		return nil
	}
	x.gateway.Streams.Began(b.key, b.origin)
	if b.origin.Uncertain {
		_ = level.Info(x.gateway.Logger).Log("msg", "version of a stream is not certain", "id", x.call.ID, "server", b.connection.Server.ID, "server_version", version, "connection_age_ms", clock.Since(b.connection.Opened).Milliseconds(), "may_have_restarted", !ok)
	}
	if b.origin.Uncertain || !b.answerBy.IsZero() {
		x.gateway.addUnchecked(b)
	}
	return nil
}

// newBoundStream returns a stream that began at the server of the latest attempt.
func (x *exchange) newBoundStream(version string, ok bool) *boundStream {
	b := &boundStream{key: x.streamKey(), connection: x.attemptConnection(), resolution: &resolution{}}
	b.connection.Server = new(x.end.lease.Server)
	b.needsProof = ok && x.needsProof()
	if b.needsProof && !x.severalVersions() {
		b.needsProof = x.gateway.Incarnations.Query(b.connection)
		b.proofBy = clock.Now().Add(maxProofWait)
		// The server may have denied its entry meanwhile, so that there is no need to ask.
		version, ok = x.attemptVersion()
	}
	b.origin = resumption.Origin{Service: x.service.Name, Version: version, Uncertain: !ok || b.needsProof}
	if !b.origin.Uncertain && x.severalVersions() && x.gateway.Incarnations.Query(b.connection) {
		b.answerBy = clock.Now().Add(maxAnswerWait)
		b.origin.Uncertain = !x.gateway.unchecked.hasRoom()
	}
	return b
}

// provedVersion returns the version of the server of the latest attempt, for a stream that goes on. The first event waits for the
// answers of that server, if the connection is not proved, and of the one at which the stream began, if it is asked. With one version there
// need not be a sign of a restart, as the server may be the first of another one; its entry counts if no answer comes. Only engines answer.
func (x *exchange) provedVersion(b *boundStream) (version string, ok bool) {
	i := x.gateway.Incarnations
	several := x.severalVersions()
	for end := clock.Now().Add(maxProofWait); ; time.Sleep(proofInterval) {
		now := clock.Now()
		version, ok = x.attemptVersion()
		proved := ok && !x.needsProof()
		answered := proved && !several && !x.service.Engine || !i.Query(x.attemptConnection())
		answered = answered && !b.awaitsAnswer(i, now)
		if answered && (b.answerBy.IsZero() || b.checkAnswer(i, now)) || now.After(end) {
			return version, proved || ok && !several
		}
	}
}

// needsProof reports whether the entry of the latest attempt's server is not to be relied on for its connection as yet. With one
// version, only a sign of a restart is a reason not to.
func (x *exchange) needsProof() bool {
	i, now := x.gateway.Incarnations, clock.Now()
	return (x.severalVersions() || i.MayHaveRestarted(&x.end.lease.Server, false, now)) && !i.Reliable(x.attemptConnection(), now)
}

// severalVersions reports whether the servers of the service have several versions, or had lately.
func (x *exchange) severalVersions() bool { return x.gateway.Streams.SeveralVersions(x.service.Name) }

// attemptVersion returns the version of the server of the latest attempt. It returns false if that can't be told.
func (x *exchange) attemptVersion() (string, bool) {
	return x.gateway.Incarnations.Version(x.attemptConnection(), clock.Now())
}

func (x *exchange) attemptConnection() incarnation.Connection {
	return incarnation.Connection{Server: &x.end.lease.Server, Opened: x.response.ConnOpened, Broken: x.end.doneAt()}
}

// pick chooses a server. A new stream goes to a version of which there is no record only if the other servers can't take it as well. Its
// version is recorded at once then.
func (x *exchange) pick(q balancer.Query, now time.Time) (*balancer.Lease, bool) {
	x.avoided = x.unrecordedVersions()
	if len(x.avoided) > 0 {
		q.Prefer = func(s *routing.Server) bool { return !slices.Contains(x.avoided, s.Version) }
	}
	lease, ok := x.gateway.Balancer.Pick(q, now)
	if ok && slices.Contains(x.avoided, lease.Server.Version) {
		x.gateway.VersionRecord.RecordNow()
	}
	return lease, ok
}

// unrecordedVersions returns the versions of the service that would not be known after all boxes ended, if the request is a
// resumable stream that has not begun.
func (x *exchange) unrecordedVersions() []string {
	if !x.resumable() || x.bound.Load() != nil || x.gateway.VersionRecord == nil {
		return nil
	}
	return x.gateway.VersionRecord.Unrecorded(x.service.Name)
}

// ofBoundVersion returns those of the servers at which the stream may go on, without those that may have restarted
// if there are others.
func (x *exchange) ofBoundVersion(servers []routing.Server) []routing.Server {
	b := x.bound.Load()
	if b == nil {
		return servers
	}
	now := clock.Now()
	origin := b.resolve(x.gateway.Incarnations, now)
	if origin.Ambiguous || origin.Uncertain && !b.awaitsAnswer(x.gateway.Incarnations, now) {
		return nil
	}
	fit := filterServers(servers, func(s *routing.Server) bool {
		return s.Version == origin.Version && !x.mayHaveRestarted(s, now)
	})
	sound := filterServers(fit, func(s *routing.Server) bool { return !x.gateway.Incarnations.MayHaveRestarted(s, false, now) })
	if len(sound) > 0 {
		return sound
	}
	return fit
}

// mayHaveRestarted reports whether a server is left out for a stream that goes on, as its process may have ended. It is queried then.
func (x *exchange) mayHaveRestarted(server *routing.Server, now time.Time) bool {
	may := x.gateway.Incarnations.MayHaveRestarted(server, true, now)
	if may {
		x.gateway.Incarnations.Query(incarnation.Connection{Server: server, Opened: now})
	}
	return may
}

// filterServers returns the servers for which keep returns true, without a copy if these are all.
func filterServers(servers []routing.Server, keep func(*routing.Server) bool) []routing.Server {
	for i := range servers {
		if keep(&servers[i]) {
			continue
		}
		kept := slices.Clone(servers[:i])
		for j := i + 1; j < len(servers); j++ {
			if keep(&servers[j]) {
				kept = append(kept, servers[j])
			}
		}
		return kept
	}
	return servers
}

// checkLife marks the version of an interrupted stream as ambiguous if its server has come back with another
// one, or may have before the stream began: the box may have learned that only after it sent the request. If only this box knows the
// version, it is uncertain instead of ambiguous where it may yet be told.
func (x *exchange) checkLife() {
	b := x.bound.Load()
	if b == nil || b.origin.Ambiguous || x.end == nil || x.end.asked {
		return
	}
	now := clock.Now()
	after := *b
	after.origin = b.resolve(x.gateway.Incarnations, now)
	if x.end.bound && x.response != nil && !after.origin.Uncertain {
		version, ok := x.attemptVersion()
		after.origin.Ambiguous = ok && version != after.origin.Version || !ok && !x.doubt(&after)
	}
	used := x.end.lease.Server
	listed, ok := x.gateway.Directory.View().ServerAt(used.Address)
	provable := used.Started != 0 && after.origin.Uncertain
	if x.end.bound && ok && listed.ID == used.ID && listed.Version != used.Version && !provable && (after.origin.Uncertain || after.origin.Version != listed.Version) {
		after.origin.Ambiguous = true
	}
	x.askAfterBreak(&after)
	if after != *b {
		x.bound.Store(&after)
	}
	toCheck := after.doubted && !b.doubted || after.asked && !b.asked || !after.answerBy.IsZero() && b.answerBy.IsZero()
	if toCheck && !after.origin.Ambiguous && x.firstCall() != "" {
		x.gateway.addUnchecked(&after)
	}
}

// askAfterBreak has the server of an interrupted stream asked, if nothing proves that the stream began at the process of its entry. Where
// one version is known, nobody has asked before: the server may be the first of another one.
func (x *exchange) askAfterBreak(b *boundStream) {
	if !x.end.bound || x.response == nil || b.origin.Uncertain || b.origin.Ambiguous || b.resolution == nil || b.resolution.origin.Load() != nil {
		return
	}
	c, now := x.attemptConnection(), clock.Now()
	if !x.service.Engine || b.asked || !b.answerBy.IsZero() || x.gateway.Incarnations.Proved(c) || !x.gateway.unchecked.hasRoom() || !x.asks(c, b.origin.Version) {
		return
	}
	c.Server = new(x.end.lease.Server)
	b.connection = c
	if x.severalVersions() {
		// The second version has appeared since the stream began, whose own was passed on.
		b.answerBy = now.Add(maxAnswerWait)
		return
	}
	x.end.asked = true
	b.resolution, b.asked, b.proofBy = &resolution{}, true, now.Add(maxProofWait)
	b.origin.Uncertain = true
}

// asks has the server of a connection asked that broke, and reports whether its version is open: an answer may come, or another process
// has answered by now.
func (x *exchange) asks(c incarnation.Connection, version string) bool {
	if x.gateway.Incarnations.Query(c) {
		return true
	}
	found, ok := x.gateway.Incarnations.VersionAsked(c)
	return !ok || found != version
}

// doubt makes the origin of an interrupted stream uncertain until the version of the latest attempt's server can be told. It returns false
// if other boxes may know the version, which would not wait: it has been passed on, or the stream was taken up here.
func (x *exchange) doubt(b *boundStream) bool {
	if b.resolution == nil || b.resolution.origin.Load() != nil || x.severalVersions() || !x.gateway.unchecked.hasRoom() {
		return false
	}
	b.connection, b.resolution = x.attemptConnection(), &resolution{}
	b.connection.Server = new(x.end.lease.Server)
	b.needsProof, b.proofBy, b.answerBy, b.doubted = true, time.Time{}, time.Time{}, true
	b.origin.Uncertain = true
	return true
}

// keepInterrupted keeps where a stream began that was not forwarded to its end, as its caller may take it up.
func (x *exchange) keepInterrupted() {
	x.checkLife()
	if b := x.bound.Load(); b != nil && !x.firstEventTime.IsZero() && x.firstCall() != "" {
		x.gateway.unchecked.markInterrupted(b.key)
		x.gateway.Streams.Interrupted(b.key, b.known())
	}
}

// StreamsInProgress returns where the streams in progress began that their callers may take up.
func (g *Gateway) StreamsInProgress() iter.Seq2[resumption.Key, resumption.Origin] {
	return func(yield func(resumption.Key, resumption.Origin) bool) {
		g.activeMu.Lock()
		defer g.activeMu.Unlock()
		now := clock.Now()
		for x := range g.active {
			if b := x.bound.Load(); b != nil && x.firstCall() != "" && !yield(b.key, b.resolve(g.Incarnations, now)) {
				return
			}
		}
	}
}
