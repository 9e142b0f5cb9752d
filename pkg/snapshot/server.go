package snapshot

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/julienschmidt/httprouter"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/storerev"
)

// Server serves snapshots of this box.
type Server struct {
	directory     *directory.Directory
	isPeerHost    func(netip.Addr) bool
	onUnknownHost func()
	logger        log.Logger
	boxes         func() (roster.Snapshot, bool)
	table         tableEncoder
	list          listEncoder
	roster        rosterEncoder
}

// ServerDeps are the dependencies of a Server.
type ServerDeps struct {
	Directory *directory.Directory
	// IsPeerHost reports whether an IP address belongs to another box. Requests from other
	// addresses are rejected.
	IsPeerHost func(netip.Addr) bool
	// OnUnknownHost is called for a request from any other address, which may be a box that was
	// just added. It must not block.
	OnUnknownHost func()
	// Boxes returns the roster. It returns false while the roster is incomplete.
	Boxes  func() (roster.Snapshot, bool)
	Logger log.Logger
}

// NewServer returns a Server.
func NewServer(d ServerDeps) *Server {
	return &Server{directory: d.Directory, isPeerHost: d.IsPeerHost, onUnknownHost: d.OnUnknownHost, boxes: d.Boxes, logger: d.Logger}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	routes := httprouter.New()
	routes.GET(pathTable, s.handle(s.serveTable))
	routes.GET(pathServers, s.handle(s.serveList))
	routes.GET(pathBoxes, s.handle(s.serveBoxes))
	return routes
}

// request holds the parameters of a request.
type request struct {
	// minRevision is the minimum revision of the response.
	minRevision storerev.Revision
	// tableVersion is the version of the requester's table, or zero for none.
	tableVersion uint64
	// since is the revision of the requester's server list, or zero for none.
	since storerev.Revision
	wait  time.Duration
}

func parseRequest(r *http.Request) (request, error) {
	values := r.URL.Query()
	minEra, err0 := parseEra(values.Get(paramMinEra))
	minRevision, err1 := parseMinRevision(values.Get(paramMinRevision), minEra)
	tableVersion, err2 := strconv.ParseUint(values.Get(paramTableVersion), 10, 64)
	wait, err3 := strconv.ParseUint(values.Get(paramWait), 10, 32)
	// Boxes with older builds do not send this parameter and get the full list.
	sinceEra, err := parseEra(values.Get(paramSinceEra))
	since, err4 := parseRevision(values.Get(paramSince), sinceEra)
	if errors.Join(err, err4) != nil {
		since = 0
	}
	return request{
		minRevision: minRevision, tableVersion: tableVersion, since: since, wait: min(time.Duration(wait)*time.Millisecond, maxWait),
	}, errors.Join(err0, err1, err2, err3)
}

// parseMinRevision parses a minimum revision. Unlike other revisions, it may be the start of an era.
func parseMinRevision(number string, era uint64) (storerev.Revision, error) {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, err
	}
	return storerev.New(era, n)
}

// response holds the headers and the body of a response.
type response struct {
	metadata
	// body is nil if the requester's data is current.
	body []byte
}

// handle returns an HTTP handler that accepts requests from peers only.
func (s *Server) handle(serve func(context.Context, request) (response, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		req, err := parseRequest(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), req.wait)
		defer cancel()
		if !s.awaitPeer(ctx, r.RemoteAddr) {
			if _, complete := s.boxes(); !complete {
				// The requester may be a peer that is not known yet.
				w.Header().Set(headerLoading, "1")
			}
			w.WriteHeader(http.StatusForbidden)
			return
		}
		resp, err := serve(ctx, req)
		if err != nil {
			_ = level.Debug(s.logger).Log("msg", "snapshot request failed", "path", r.URL.Path, "to", r.RemoteAddr, "least", req.minRevision, "err", err)
			if errors.Is(err, directory.ErrLoading) {
				w.Header().Set(headerLoading, "1")
			}
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		resp.write(w.Header())
		if resp.body == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
		_, err = w.Write(resp.body)
		_ = level.Debug(s.logger).Log("msg", "snapshot served", "path", r.URL.Path, "to", r.RemoteAddr, "least", req.minRevision, "revision", resp.revision, "bytes", len(resp.body), "err", err)
	}
}

// peerPollInterval is how often awaitPeer and serveBoxes check the roster.
const peerPollInterval = 50 * time.Millisecond

// awaitPeer waits until the remote address is that of a peer, as other boxes may start at the same
// time. It returns false if ctx ends first.
func (s *Server) awaitPeer(ctx context.Context, remote string) bool {
	if s.isPeer(remote) {
		return true
	}
	s.onUnknownHost()
	for ctx.Err() == nil {
		pause.For(ctx, peerPollInterval)
		if s.isPeer(remote) {
			return true
		}
	}
	return false
}

func (s *Server) isPeer(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && s.isPeerHost(ip)
}

func (s *Server) serveTable(ctx context.Context, req request) (response, error) {
	c, err := s.directory.TableCopy(ctx, req.minRevision)
	if err != nil {
		return response{}, err
	}
	resp := response{metadata: metadata{revision: c.Revision, changed: c.Changed, age: clock.Since(c.ConfirmedAt)}}
	if req.tableVersion == c.Table.Version {
		return resp, nil
	}
	resp.body, err = s.table.body(c.Table, req.tableVersion)
	return resp, err
}

func (s *Server) serveList(ctx context.Context, req request) (response, error) {
	listMetadata, err := s.directory.ListMetadata(ctx, req.minRevision)
	if err != nil {
		return response{}, err
	}
	list, err := s.list.get(req.since, listMetadata.Revision, s.directory)
	resp := response{body: list.body}
	resp.metadata = metadata{revision: list.revision, changed: max(listMetadata.Changed, list.changed), age: clock.Since(listMetadata.ConfirmedAt), evacuations: listMetadata.Evacuations, since: list.since}
	return resp, err
}

// serveBoxes serves the roster once it is complete.
func (s *Server) serveBoxes(ctx context.Context, _ request) (response, error) {
	for {
		c, complete := s.boxes()
		if complete {
			body, err := s.roster.body(c)
			return response{metadata: metadata{revision: c.Revision, changed: c.Revision}, body: body}, err
		}
		if ctx.Err() != nil {
			return response{}, directory.ErrLoading
		}
		pause.For(ctx, peerPollInterval)
	}
}
