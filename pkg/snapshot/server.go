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

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/roster"
)

// Server serves what this box knows.
type Server struct {
	directory *directory.Directory
	known     func(netip.Addr) bool
	stranger  func()
	logger    log.Logger
	boxes     func() (roster.Snapshot, bool)
	table     tableEncoder
	list      listEncoder
	roster    boxEncoder
}

// ServerDeps are what a Server is built on.
type ServerDeps struct {
	Directory *directory.Directory
	// IsPeerHost tells whether an IP is that of another box: nobody else is told anything.
	IsPeerHost func(netip.Addr) bool
	// OnUnknownHost is told that somebody else has asked, who may be a box that has just been
	// added. It must not block.
	OnUnknownHost func()
	// Boxes are those that there are; false while only some are known.
	Boxes  func() (roster.Snapshot, bool)
	Logger log.Logger
}

// NewServer returns a server.
func NewServer(d ServerDeps) *Server {
	return &Server{directory: d.Directory, known: d.IsPeerHost, stranger: d.OnUnknownHost, boxes: d.Boxes, logger: d.Logger}
}

// Handler returns the server's handler.
func (s *Server) Handler() http.Handler {
	routes := httprouter.New()
	routes.GET(pathTable, s.forBoxes(s.serveTable))
	routes.GET(pathServers, s.forBoxes(s.serveList))
	routes.GET(pathBoxes, s.forBoxes(s.serveBoxes))
	return routes
}

// question is what another box asks.
type question struct {
	least, inForce uint64
	// since is the revision at which the asker knows the list of servers.
	since uint64
	wait  time.Duration
}

func readQuestion(r *http.Request) (question, error) {
	values := r.URL.Query()
	least, err1 := strconv.ParseUint(values.Get(keyLeast), 10, 64)
	inForce, err2 := strconv.ParseUint(values.Get(keyInForce), 10, 64)
	wait, err3 := strconv.ParseUint(values.Get(keyWait), 10, 32)
	// Boxes of earlier builds do not say what they know: they are sent the whole.
	since, err := strconv.ParseUint(values.Get(keySince), 10, 64)
	if err != nil {
		since = 0
	}
	return question{
		least: least, inForce: inForce, since: since, wait: min(time.Duration(wait)*time.Millisecond, waitMost),
	}, errors.Join(err1, err2, err3)
}

// answer is a part as it is sent.
type answer struct {
	known
	// body is nil where the asker has it already.
	body []byte
}

// forBoxes answers questions of other boxes.
func (s *Server) forBoxes(serve func(context.Context, question) (answer, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		q, err := readQuestion(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), q.wait)
		defer cancel()
		if !s.awaitKnown(ctx, r.RemoteAddr) {
			if _, whole := s.boxes(); !whole {
				// This box may hear of the asker yet.
				w.Header().Set(headerLoading, "1")
			}
			w.WriteHeader(http.StatusForbidden)
			return
		}
		a, err := serve(ctx, q)
		if err != nil {
			_ = level.Debug(s.logger).Log("msg", "snapshot not served", "path", r.URL.Path, "to", r.RemoteAddr, "least", q.least, "err", err)
			if errors.Is(err, directory.ErrLoading) {
				w.Header().Set(headerLoading, "1")
			}
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		a.write(w.Header())
		if a.body == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		_, err = w.Write(a.body)
		_ = level.Debug(s.logger).Log("msg", "snapshot served", "path", r.URL.Path, "to", r.RemoteAddr, "least", q.least, "revision", a.revision, "bytes", len(a.body), "err", err)
	}
}

// knownStep is how often this box looks whether it knows an asker by now.
const knownStep = 50 * time.Millisecond

// awaitKnown waits until an asker is known to be a box; false if it is not when ctx ends. Where many
// boxes start at once, those asked may hear of the asker a moment later.
func (s *Server) awaitKnown(ctx context.Context, remote string) bool {
	if s.isBox(remote) {
		return true
	}
	s.stranger()
	for ctx.Err() == nil {
		pause.For(ctx, knownStep)
		if s.isBox(remote) {
			return true
		}
	}
	return false
}

func (s *Server) isBox(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && s.known(ip)
}

func (s *Server) serveTable(ctx context.Context, q question) (answer, error) {
	c, err := s.directory.TableCopy(ctx, q.least)
	if err != nil {
		return answer{}, err
	}
	a := answer{known: known{revision: c.Revision, changed: c.Changed, age: time.Since(c.ConfirmedAt)}}
	if q.inForce == c.Table.Version {
		return a, nil
	}
	a.body, err = s.table.body(c.Table, q.inForce)
	return a, err
}

func (s *Server) serveList(ctx context.Context, q question) (answer, error) {
	head, err := s.directory.ListMetadata(ctx, q.least)
	if err != nil {
		return answer{}, err
	}
	list, err := s.list.from(q.since, head.Revision, s.directory)
	a := answer{body: list.body}
	a.known = known{revision: list.revision, changed: max(head.Changed, list.changed), age: time.Since(head.ConfirmedAt), evacuations: head.Evacuations, since: list.since}
	return a, err
}

// serveBoxes serves the boxes that there are, once this box has read all of them.
func (s *Server) serveBoxes(ctx context.Context, _ question) (answer, error) {
	for {
		c, whole := s.boxes()
		if whole {
			body, err := s.roster.body(c)
			return answer{known: known{revision: c.Revision, changed: c.Revision}, body: body}, err
		}
		if ctx.Err() != nil {
			return answer{}, directory.ErrLoading
		}
		pause.For(ctx, knownStep)
	}
}
