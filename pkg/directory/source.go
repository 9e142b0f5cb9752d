package directory

import (
	"context"
	"errors"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// ErrHistoryLost says that changes since a revision can't be had any more: the
// whole has to be read again.
var ErrHistoryLost = errors.New("the history since that revision is gone: read the whole again")

// ErrHistoryTooLong says that the changes since a revision are longer than what the caller
// would take.
var ErrHistoryTooLong = errors.New("the changes since that revision are too long: read the whole instead")

// TableResult is the routing table at a revision of the source.
type TableResult struct {
	// Table is nil if there is none yet, or if it has not changed.
	Table    *routing.Table
	Revision uint64
	// Changed is the revision at which the table changed, zero if Table is nil.
	Changed uint64
	// Bytes is how long the answer was.
	Bytes int
}

// ServersPage is a part of the list of servers, and the revision of the source when
// it was read.
type ServersPage struct {
	Servers  []routing.Server
	Revision uint64
	// Next is where the next page begins; "" after the last one.
	Next string
}

// ServerEvent is one change of the list. Of a removed server only the ID is known.
type ServerEvent struct {
	Server  routing.Server `json:"server"`
	Removed bool           `json:"removed,omitempty"`
}

// ServerChanges are the changes of the list up to a revision, in order.
type ServerChanges struct {
	Events   []ServerEvent
	Revision uint64
}

// Source is where table and servers come from. Watches return when something has
// changed or the wait is over.
type Source interface {
	ReadTable(ctx context.Context) (TableResult, error)
	// WatchTable takes at most so many bytes. The changes since a revision may hold many
	// whole tables; a longer answer is ErrHistoryTooLong.
	WatchTable(ctx context.Context, after uint64, wait time.Duration, most int) (TableResult, error)
	// ReadServers reads the page of the list that begins at a place; "" is the
	// beginning. A stale page may be older than the source, but it is cheap and bound
	// by no rate.
	ReadServers(ctx context.Context, from string, stale bool) (ServersPage, error)
	WatchServers(ctx context.Context, after uint64, wait time.Duration) (ServerChanges, error)
	// ReadEvacuations reads which halls are evacuated.
	ReadEvacuations(ctx context.Context) (Evacuations, error)
}
