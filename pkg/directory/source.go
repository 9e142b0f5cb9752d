package directory

import (
	"context"
	"errors"
	"time"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// ErrHistoryLost is returned if the source has compacted the changes since a revision.
var ErrHistoryLost = errors.New("changes since that revision are compacted: full read required")

// ErrHistoryTooLong is returned if the changes since a revision exceed the caller's limit.
var ErrHistoryTooLong = errors.New("changes since that revision exceed the size limit: full read required")

// ErrRestored is returned by a watch if the source was restored from an older copy: changes since a
// revision are defined only within an era.
var ErrRestored = errors.New("the source was restored from an older copy: full read required")

// TableResult is the routing table at a revision of the source.
type TableResult struct {
	// Table is nil if there is none yet, or if it has not changed.
	Table    *routing.Table
	Revision storerev.Revision
	// Changed is the revision at which the table changed, zero if Table is nil.
	Changed storerev.Revision
	// Bytes is the length of the answer.
	Bytes int
}

// ServersPage is a page of the list of servers, read at a revision of the source.
type ServersPage struct {
	Servers  []routing.Server
	Revision storerev.Revision
	// Next is the start of the next page; empty for the last one.
	Next string
}

// ServerEvent is one change of the list. For a removed server only the ID is set.
type ServerEvent struct {
	Server  routing.Server `json:"server"`
	Removed bool           `json:"removed,omitempty"`
}

// ServerChanges holds the changes of the list up to a revision, in order.
type ServerChanges struct {
	Events   []ServerEvent
	Revision storerev.Revision
}

// Source provides the routing table and the list of servers. Watches return when there is a change
// or the wait is over.
type Source interface {
	ReadTable(ctx context.Context) (TableResult, error)
	// WatchTable returns ErrHistoryTooLong if the answer would exceed maxBytes, as the changes since
	// a revision may hold many whole tables.
	WatchTable(ctx context.Context, after storerev.Revision, wait time.Duration, maxBytes int) (TableResult, error)
	// ReadServers reads the page that starts at from; empty for the first one. A stale page may lag
	// behind the source, but does not count against its rate limit.
	ReadServers(ctx context.Context, from string, stale bool) (ServersPage, error)
	WatchServers(ctx context.Context, after storerev.Revision, wait time.Duration) (ServerChanges, error)
	// ReadEvacuations reads the evacuated halls.
	ReadEvacuations(ctx context.Context) (Evacuations, error)
}
