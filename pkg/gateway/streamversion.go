package gateway

import (
	"context"
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
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
	// Find finds out where a stream of a service began that its caller takes up.
	Find(ctx context.Context, k resumption.Key, service string) resumption.Verdict
}

// unknownVersionRetryAfter is the Retry-After of a stream whose version nobody knows, before jitter: a box
// that knows it may be out of reach for a moment.
const unknownVersionRetryAfter = 300 * time.Millisecond

// boundStream is a stream that must go on where it began.
type boundStream struct {
	key    resumption.Key
	origin resumption.Origin
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
		return &RefusedError{Reason: "the software version at which the stream began is not known: " + v.Reason, RetryAfter: jitter(unknownVersionRetryAfter)}
	}
	if v.Origin.Service != x.service.Name && !x.switchService(v.Origin.Service) {
		// The stream goes on at another service, whose versions are not comparable.
		return nil
	}
	x.bound.Store(&boundStream{key, v.Origin})
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

// bindStream binds a stream to the version of the server that brought its first event. It is called before
// the event is forwarded; attempts that brought none don't count.
func (x *exchange) bindStream() {
	if !x.resumable() || !x.firstEventTime.IsZero() {
		return
	}
	b := x.bound.Load()
	if b == nil {
		b = &boundStream{x.streamKey(), resumption.Origin{Service: x.service.Name, Version: x.end.lease.Server.Version}}
		x.bound.Store(b)
	}
	if x.firstCall() != "" {
		x.gateway.Streams.Began(b.key, b.origin)
	}
}

// ofBoundVersion returns those of the servers at which the stream may go on.
func (x *exchange) ofBoundVersion(servers []routing.Server) []routing.Server {
	b := x.bound.Load()
	if b == nil {
		return servers
	}
	differs := func(s routing.Server) bool { return b.origin.Ambiguous || s.Version != b.origin.Version }
	if !slices.ContainsFunc(servers, differs) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), differs)
}

// checkLife marks the version of an interrupted stream as ambiguous if its server has come back with another
// one: the box may have learned that only after it sent the request.
func (x *exchange) checkLife() {
	b := x.bound.Load()
	if b == nil || b.origin.Ambiguous || x.end == nil {
		return
	}
	used := x.end.lease.Server
	listed, ok := x.gateway.Directory.View().ServerAt(used.Address)
	if ok && listed.ID == used.ID && listed.Version != used.Version {
		ambiguous := *b
		ambiguous.origin.Ambiguous = true
		x.bound.Store(&ambiguous)
	}
}

// keepInterrupted keeps where a stream began that was not forwarded to its end, as its caller may take it up.
func (x *exchange) keepInterrupted() {
	x.checkLife()
	if b := x.bound.Load(); b != nil && !x.firstEventTime.IsZero() && x.firstCall() != "" {
		x.gateway.Streams.Interrupted(b.key, b.origin)
	}
}

// StreamsInProgress returns where the streams in progress began that their callers may take up.
func (g *Gateway) StreamsInProgress() iter.Seq2[resumption.Key, resumption.Origin] {
	return func(yield func(resumption.Key, resumption.Origin) bool) {
		g.activeMu.Lock()
		defer g.activeMu.Unlock()
		for x := range g.active {
			if b := x.bound.Load(); b != nil && x.firstCall() != "" && !yield(b.key, b.origin) {
				return
			}
		}
	}
}
