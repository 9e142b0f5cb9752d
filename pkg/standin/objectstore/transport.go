package objectstore

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/objectstore"
)

// errConnection is returned for a call whose response is dropped.
var errConnection = errors.New("connection broken")

// Transport returns a transport that reaches the stand-in without a socket, so that
// it also works in virtual time.
func (s *Server) Transport() http.RoundTripper { return (*transport)(s) }

// Client returns a client that reaches the stand-in without a socket.
func (s *Server) Client() *objectstore.Client {
	return objectstore.NewClientWithTransport(s.Transport(), "http://platform", "", callrate.DefaultBudget)
}

type transport Server

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	if tr := httptrace.ContextClientTrace(r.Context()); tr != nil && tr.GotConn != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	defer func() {
		if p := recover(); p != nil {
			err = errConnection
		}
	}()
	w := httptest.NewRecorder()
	(*Server)(t).ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}
