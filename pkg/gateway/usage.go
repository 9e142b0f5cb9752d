package gateway

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Usage counts requests that begin to run.
type Usage interface {
	RequestStarted(organisation string, at time.Time)
}

// noteRun counts the request as one that began to run at a time: a stream with its first
// event, another request when it was sent. It counts once, however often it is sent.
func (x *exchange) noteRun(at time.Time) {
	if x.counted || x.organisation == nil {
		return
	}
	x.counted = true
	x.gateway.Usage.RequestStarted(x.organisation.Name, at)
}

// noteLostRun counts a request whose answer did not come as one that ran. Of a stream the
// first event would have come.
func (x *exchange) noteLostRun() {
	if x.route.Kind != routing.KindStream {
		x.noteRun(x.sent)
	}
}
