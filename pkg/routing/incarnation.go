package routing

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Incarnation names one life of a server: what is known of one says nothing of the next, which begins
// with nothing cached and nothing to do.
type Incarnation struct {
	ID      string
	Started int64
}

// Incarnation is the life of the server that the entry tells of.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Started: s.Started} }

// String is the name of a life in keys; the ID alone for a server that does not say when it
// started.
func (l Incarnation) String() string {
	if l.Started == 0 {
		return l.ID
	}
	return l.ID + "@" + strconv.FormatInt(l.Started, 10)
}

// Hash is the name of a life in short.
func (l Incarnation) Hash() uint64 {
	h := xxhash.Sum64String(l.ID)
	if l.Started == 0 {
		return h
	}
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], h)
	binary.LittleEndian.PutUint64(both[8:], uint64(l.Started))
	return xxhash.Sum64(both[:])
}
