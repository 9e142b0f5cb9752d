// Package callerconn ends responses to callers that have neither a length nor chunks and extend to the end of
// their connection. An orderly close states that such a response ended; a reset, that it was broken off.
package callerconn

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext is the ConnContext of an HTTP server whose handlers use this package. Without it, a response
// that was broken off can't be told from one that ended.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// BeginUntilClose makes a response extend to the end of its connection. It must be called before the header
// is written. Until EndUntilClose the connection is reset when it is closed, also if the process is killed.
func BeginUntilClose(w http.ResponseWriter, r *http.Request) {
	// net/http then sends no chunks and closes the connection after the response.
	w.Header().Set("Transfer-Encoding", "identity")
	resetOnClose(r, true)
}

// EndUntilClose ends a response that was begun with BeginUntilClose.
func EndUntilClose(r *http.Request) { resetOnClose(r, false) }

func resetOnClose(r *http.Request, reset bool) {
	c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = c.SetLinger(seconds)
}
