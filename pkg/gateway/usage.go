package gateway

import (
	"net/http"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Usage counts started requests.
type Usage interface {
	RequestStarted(organisation string, at time.Time)
}

// recordStart counts the request as started at a time: a stream at its first event, another request
// when it was sent. A request counts once, however often it is sent.
func (x *exchange) recordStart(at time.Time) {
	if x.usageCounted || x.organisation == nil {
		return
	}
	x.usageCounted = true
	x.gateway.Usage.RequestStarted(x.organisation.Name, at)
}

// recordLostStart counts a request whose response was lost as started. A stream is not counted, as
// its first event did not arrive.
func (x *exchange) recordLostStart() {
	if x.route.Kind != routing.KindStream {
		x.recordStart(x.attemptStart)
	}
}

// recordResponse counts a request as started whose response is no stream. A server that answers a request for one with 4xx has turned
// it away before its first event.
func (x *exchange) recordResponse(status int) {
	if x.route.Kind != routing.KindStream || status < http.StatusBadRequest || status >= http.StatusInternalServerError {
		x.recordStart(x.attemptStart)
	}
}
