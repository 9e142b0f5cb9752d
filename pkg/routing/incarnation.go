package routing

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one run of a backend server, from its start to its end. State that was
// collected for one incarnation does not apply to the next one with the same ID, which starts with
// an empty cache and no requests.
type Incarnation struct {
	ID      string
	Started int64
}

// Incarnation returns the incarnation that the entry describes.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Started: s.Started} }

// String returns the ID and start time, or the ID alone if the server does not report when it
// started.
func (i Incarnation) String() string {
	if i.Started == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Started, 10)
}

// Hash returns a 64-bit hash that identifies the incarnation.
func (i Incarnation) Hash() uint64 {
	h := xxhash.Sum64String(i.ID)
	if i.Started == 0 {
		return h
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], h)
	binary.LittleEndian.PutUint64(buf[8:], uint64(i.Started))
	return xxhash.Sum64(buf[:])
}
