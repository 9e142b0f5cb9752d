package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// relayDialTimeout is the timeout of a relay's connection to a server. It is shorter than the time that
// the box which asks waits, so that it is told the reason.
const relayDialTimeout = 200 * time.Millisecond

// lingerTimeout is how long a relay waits for the other box to close a tunnel whose server has ended.
const lingerTimeout = time.Second

// ServerDeps are the dependencies of a Server.
type ServerDeps struct {
	// IsPeerHost reports whether an IP address belongs to another box.
	IsPeerHost func(netip.Addr) bool
	// IsServer reports whether an address is that of a listed server.
	IsServer func(address string) bool
	// Dial opens a direct connection to a server.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ReachesOthers reports whether this box can connect to another server than that at an address. If it
	// can't, a refused connection says nothing of the server.
	ReachesOthers func(ctx context.Context, address string) bool
	// Isolated reports whether this box has lost its links to the servers.
	Isolated func() bool
	// RetryDirect checks in the background whether the link to a server is back. It is called when this box
	// refuses a tunnel as isolated, since a box without callers opens no other connections.
	RetryDirect func(address string)
	// Busy reports whether this box needs its capacity for its own callers.
	Busy func() bool
	// MaxTunnels limits the tunnels that are open at once.
	MaxTunnels int
	Logger     log.Logger
}

// Server opens tunnels for other boxes.
type Server struct {
	ServerDeps

	mu       sync.Mutex
	open     map[*frameWriter]bool
	stopping bool
	// opened, refused and bytes count since the start.
	opened  int64
	refused map[Reason]int64
	bytes   int64
	// failures holds the connections to servers that failed lately, by address.
	failures map[string]serverFailure
}

// serverFailure is the reason for a connection to a server that failed.
type serverFailure struct {
	reason Reason
	at     time.Time
}

const (
	// failureTTL is how long a failed connection to a server counts for further requests, as many boxes
	// ask at the same time when a server exits.
	failureTTL = 200 * time.Millisecond
	// maxFailures limits the failures that are remembered.
	maxFailures = 1024
)

// NewServer returns a Server.
func NewServer(d ServerDeps) *Server {
	return &Server{ServerDeps: d, open: make(map[*frameWriter]bool), refused: make(map[Reason]int64), failures: make(map[string]serverFailure)}
}

// Stop refuses further tunnels and announces to those that are open that this box is shutting down.
// They stay open until the other boxes close them.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopping = true
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	for _, w := range open {
		_ = w.notify(noticeStopping)
	}
}

// Close refuses further tunnels and closes those that are open.
func (s *Server) Close() {
	s.mu.Lock()
	s.stopping = true
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	for _, w := range open {
		w.close()
	}
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Counts returns what was opened, refused and copied since the start, and what is open.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int64{"open": int64(len(s.open)), "opened": s.opened, "bytes": s.bytes}
	for reason, n := range s.refused {
		counts["refused "+string(reason)] = n
	}
	return counts
}

// Wrap returns a handler that serves CONNECT requests and passes all others on.
func (s *Server) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			next.ServeHTTP(w, r)
			return
		}
		s.serve(w, r)
	})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	frames := &frameWriter{}
	if reason := s.admit(r, frames); reason != "" {
		s.refuse(w, r, reason)
		return
	}
	defer s.release(frames)
	ctx, cancel := context.WithTimeout(r.Context(), relayDialTimeout)
	defer cancel()
	server, err := s.Dial(ctx, r.Host)
	if err != nil {
		reason := s.reasonOf(r, err)
		s.recordFailure(r.Host, reason)
		s.refuse(w, r, reason)
		return
	}
	defer server.Close()
	near, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.refuse(w, r, ReasonBusy)
		return
	}
	defer near.Close()
	if err := frames.start(near); err != nil {
		return
	}
	if s.isStopping() {
		_ = frames.notify(noticeStopping)
	}
	s.carry(near, buffered.Reader, server, frames)
}

// admit reserves a tunnel, or returns the reason why none is opened.
func (s *Server) admit(r *http.Request, frames *frameWriter) Reason {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	switch {
	case err != nil || !s.IsPeerHost(remote.Addr()):
		return ReasonUnknownBox
	case !s.IsServer(r.Host):
		return ReasonUnknownServer
	case s.Isolated():
		s.RetryDirect(r.Host)
		return ReasonIsolated
	case s.Busy():
		return ReasonBusy
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.failures[r.Host]; ok && time.Since(f.at) < failureTTL {
		return f.reason
	}
	switch {
	case s.stopping:
		return ReasonStopping
	case len(s.open) >= s.MaxTunnels:
		return ReasonBusy
	}
	s.open[frames] = true
	s.opened++
	return ""
}

func (s *Server) recordFailure(address string, reason Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.failures) >= maxFailures {
		clear(s.failures)
	}
	s.failures[address] = serverFailure{reason: reason, at: time.Now()}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) release(frames *frameWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, frames)
}

// reasonOf returns the reason for a connection to a server that failed.
func (s *Server) reasonOf(r *http.Request, err error) Reason {
	switch {
	case !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET):
		return ReasonServerSilent
	case !s.ReachesOthers(r.Context(), r.Host):
		return ReasonIsolated
	}
	return ReasonServerRefused
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason Reason) {
	s.mu.Lock()
	s.refused[reason]++
	s.mu.Unlock()
	_ = level.Info(s.Logger).Log("msg", "tunnel refused", "box", r.RemoteAddr, "address", r.Host, "reason", reason)
	w.Header().Set(headerReason, string(reason))
	w.WriteHeader(statusOf(reason))
}

func statusOf(reason Reason) int {
	switch reason {
	case ReasonUnknownBox, ReasonUnknownServer:
		return http.StatusForbidden
	case ReasonServerRefused, ReasonServerSilent:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// carry copies bytes in both directions until one side has ended.
func (s *Server) carry(near net.Conn, request *bufio.Reader, server net.Conn, frames *frameWriter) {
	start := time.Now()
	sent := make(chan int64, 1)
	go func() { sent <- copyRequests(server, request) }()
	received, err := copyResponses(frames, server)
	server.Close()
	// Closing a connection with unread data would discard what the other box has not read yet.
	_ = near.SetReadDeadline(time.Now().Add(lingerTimeout))
	total := received + <-sent
	near.Close()
	s.mu.Lock()
	s.bytes += total
	s.mu.Unlock()
	_ = level.Debug(s.Logger).Log("msg", "tunnel closed", "box", near.RemoteAddr(), "address", server.RemoteAddr(), "bytes", total, "after", time.Since(start), "err", err)
}

// copyRequests copies what the other box sends until it closes the tunnel, and then closes the
// connection to the server. A server may respond without reading the whole request, so a failed write
// does not end the tunnel.
func copyRequests(server net.Conn, from io.Reader) (copied int64) {
	defer server.Close()
	buffer := make([]byte, maxFrameBytes)
	failed := false
	for {
		n, err := from.Read(buffer)
		if n > 0 && !failed {
			_, writeErr := server.Write(buffer[:n])
			failed = writeErr != nil
			copied += int64(n)
		}
		if err != nil {
			return copied
		}
	}
}

// copyResponses copies what the server sends in frames, and the end of its connection as a notice.
func copyResponses(to *frameWriter, server net.Conn) (copied int64, err error) {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, readErr := server.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if err := to.write(buffer[:frameHeaderBytes+n]); err != nil {
				return copied, err
			}
			copied += int64(n)
		}
		if readErr != nil {
			return copied, to.notify(noticeOf(readErr))
		}
	}
}
