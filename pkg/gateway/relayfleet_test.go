package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/callerconn"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/retry"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
	"headhill.example/headhill/pkg/upstream"
)

// relayFleet is a gateway with servers. The organisations "a" to "h" have keys of the same names.
// The sockets of its callers have small buffers, so that a caller that does not read is soon slow.
type relayFleet struct {
	gateway *Gateway
	caller  *httptest.Server
	servers []routing.Server
	// backends are the processes of the servers.
	backends []*httptest.Server
	config   relayConfig

	mu      sync.Mutex
	records []Record
	logs    strings.Builder
}

type relayConfig struct {
	maxHeld   int64
	readAhead bool
	// target is the first-event target, from which the timeout of an attempt follows; a minute if
	// zero.
	target time.Duration
	// route changes the route; nil for a stream that may be resumed.
	route func(*routing.Route)
	// throughBox makes the connections to the servers lead through another box.
	throughBox bool
}

const relayWait = 20 * time.Second

var relayOrganisations = strings.Split("abcdefgh", "")

// unlimitedRetries returns the budget of a box that has run for long and may retry what it likes.
func unlimitedRetries() *retry.Budget {
	b := retry.NewBudget(retry.Limits{Window: time.Minute, Slack: 1e8}, time.Now().Add(-time.Hour))
	b.ObserveRoster(1, true, time.Now())
	return b
}

func newRelayFleet(t testing.TB, c relayConfig, handlers ...http.HandlerFunc) *relayFleet {
	f := &relayFleet{config: c}
	for i, h := range handlers {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		f.backends = append(f.backends, s)
		f.servers = append(f.servers, routing.Server{ID: fmt.Sprint("i-", i), Service: "s", Slots: 100, Address: s.Listener.Addr().String()})
	}
	d := directory.New(log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	go d.Follow(ctx, directory.FollowOptions{Source: f, Reader: func() bool { return true }, Timing: directory.Timing{
		WatchWait: time.Hour, AnswerTimeout: time.Hour, MaxAnswerTime: time.Hour, MaxLag: time.Hour, InitialBackoff: time.Millisecond, MaxBackoff: time.Second,
	}})
	t.Cleanup(cancel)
	require.Eventually(t, func() bool { return d.Loaded() && len(d.View().Listed("s")) == len(handlers) }, relayWait, time.Millisecond)
	logger := log.NewSyncLogger(log.NewLogfmtLogger(f))
	f.gateway = New(Deps{
		Protocol: relayProtocol{}, Directory: d, Balancer: balancer.New(logger), Budget: unlimitedRetries(),
		Upstream: newRelayUpstream(t, c), Quarantine: noQuarantine{}, Recorder: f, Usage: noUsage{}, Logger: logger,
		RegionOf: func(string) string { return "" }, Scheduling: func() Scheduling { return Scheduling{ReadAhead: c.readAhead} },
		Shutdown: func() *Shutdown { return nil },
		Limits:   Limits{MaxRequests: 10000, MaxHeldBytes: c.maxHeld, LostServerGrace: time.Second, MaxDenialTableAge: time.Hour},
	})
	f.caller = httptest.NewUnstartedServer(f.gateway)
	f.caller.Config.ConnContext = callerconn.ConnContext
	f.caller.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
		}
	}
	f.caller.Start()
	t.Cleanup(func() {
		f.caller.CloseClientConnections()
		f.caller.Close()
	})
	return f
}

// Write collects the logs.
func (f *relayFleet) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logs.Write(b)
}

func (f *relayFleet) Record(r Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, r)
}

func (f *relayFleet) outcomes() (list []Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.records {
		list = append(list, r.Outcome)
	}
	return list
}

// logLines returns the log lines that contain a text.
func (f *relayFleet) logLines(text string) (lines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for line := range strings.Lines(f.logs.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// send sends a request of an organisation and returns the connection, with a small receive buffer.
func (f *relayFleet) send(t testing.TB, organisation string) net.Conn {
	c, err := net.Dial("tcp", f.caller.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
	_, err = fmt.Fprintf(c, "GET /stream HTTP/1.1\r\nHost: h\r\nKey: %s\r\nId: %s\r\nConnection: close\r\n\r\n", organisation, organisation)
	require.NoError(t, err)
	return c
}

// awaitReadAhead waits until a short stream has been read and the sockets of its caller are full. It returns how much of
// the stream the box holds.
func (f *relayFleet) awaitReadAhead(t testing.TB) int64 {
	const rest = 50 * time.Millisecond
	held, since := int64(0), time.Now()
	require.Eventually(t, func() bool {
		if h := f.gateway.readAhead.Held(); h != held {
			held, since = h, time.Now()
		}
		return held > heldOfShortStream && time.Since(since) > rest
	}, relayWait, pollPeriod)
	return held
}

// running returns the number of this box's requests at its servers.
func (f *relayFleet) running() (n int) {
	for _, l := range f.gateway.Balancer.Report(time.Now()).Loads {
		n += l.Running
	}
	return n
}

// directory.Source.

func (f *relayFleet) ReadTable(context.Context) (directory.TableResult, error) {
	route := routing.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: routing.KindStream, Resumable: true, Timeout: time.Minute, FirstEventTarget: cmp.Or(f.config.target, time.Minute),
		Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 100,
	}
	if f.config.route != nil {
		f.config.route(&route)
	}
	var organisations []routing.Organisation
	for _, name := range relayOrganisations {
		organisations = append(organisations, routing.Organisation{Name: name, Keys: []string{name}})
	}
	return directory.TableResult{Revision: 1, Changed: 1, Table: routing.NewTable(routing.Content{
		Version: 1, Routes: []routing.Route{route}, Services: []routing.Service{{Name: "s"}}, Limits: routing.Limits{BodyBytes: 8 << 20},
		Organisations: organisations,
	})}, nil
}

func (f *relayFleet) WatchTable(ctx context.Context, after storerev.Revision, _ time.Duration, _ int) (directory.TableResult, error) {
	pause.For(ctx, time.Hour)
	return directory.TableResult{Revision: after}, ctx.Err()
}

func (f *relayFleet) ReadServers(context.Context, string, bool) (directory.ServersPage, error) {
	return directory.ServersPage{Servers: f.servers, Revision: 1}, nil
}

func (f *relayFleet) WatchServers(ctx context.Context, after storerev.Revision, _ time.Duration) (directory.ServerChanges, error) {
	pause.For(ctx, time.Hour)
	return directory.ServerChanges{Revision: after}, ctx.Err()
}

func (f *relayFleet) ReadEvacuations(context.Context) (directory.Evacuations, error) {
	return directory.Evacuations{}, nil
}

type relayProtocol struct{}

func (relayProtocol) ReadCall(r *http.Request) (Call, error) {
	timeout, _ := strconv.Atoi(r.Header.Get("Timeout-Ms"))
	return Call{Timeout: time.Duration(timeout) * time.Millisecond, ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last-Event-Id")}, nil
}

func (relayProtocol) RequestHeader(h http.Header, a Attempt) http.Header {
	h = upstream.EndToEndHeader(h)
	h.Set("Last-Event-Id", a.LastEventID)
	return h
}

func (relayProtocol) ParseResponse(int, http.Header) ResponseInfo  { return ResponseInfo{} }
func (relayProtocol) IDHeader() string                             { return "" }
func (relayProtocol) SetRetryAfter(h http.Header, _ time.Duration) { h.Set("Retry-After", "1") }

type noUsage struct{}

func (noUsage) RequestStarted(string, time.Time) {}

type noQuarantine struct{}

func (noQuarantine) Find(*quarantine.Request) quarantine.Finding { return quarantine.Finding{} }
func (noQuarantine) RecordCrash(*quarantine.Request, quarantine.IncarnationHash, time.Time) {
}
func (noQuarantine) RecordSuccess(*quarantine.Request, bool, time.Time) {}
func (noQuarantine) BeginTrial(context.Context, quarantine.Fingerprint, time.Time) bool {
	return true
}

// events writes the events from the one after the request's last to a number of them, each with a
// body of some bytes.
func writeEvents(w http.ResponseWriter, r *http.Request, last, size int) {
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	w.Header().Set("Content-Type", eventStreamType)
	for n := first + 1; n <= last; n++ {
		if _, err := io.WriteString(w, relayEvent(n, size)); err != nil {
			return
		}
	}
}

func relayEvent(n, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", size))
}

func relayEvents(last, size int) string {
	var b strings.Builder
	for n := 1; n <= last; n++ {
		b.WriteString(relayEvent(n, size))
	}
	return b.String()
}
