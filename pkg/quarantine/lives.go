package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// restartTime is the time after a crash from which on a request that reached the server was at its next life. A
// request sent earlier may have been lost with a connection that was not yet known to be broken.
const restartTime = 500 * time.Millisecond

// later returns the hash of the nth life that followed an incarnation without an entry of its own.
func (h IncarnationHash) later(n int) IncarnationHash {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(h))
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return IncarnationHash(xxhash.Sum64(b[:]))
}

// lifeOf returns the life of a server that crashed while it had a request sent at a time; zero if that is not
// known. The entry of a server that has restarted under its ID may be that of a life known to have crashed. Boxes with
// the same evidence return the same.
func (l *Ledger) lifeOf(server IncarnationHash, sent time.Time) IncarnationHash {
	l.mu.Lock()
	defer l.mu.Unlock()
	life := server
	for n := 1; ; n++ {
		crash, known := l.crashes[life]
		if !known || sent.Before(crash.at.Add(restartTime)) {
			return life
		}
		life = server.later(n)
	}
}
