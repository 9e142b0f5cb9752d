package resumption

import (
	"crypto/sha256"
	"encoding/binary"
)

const keyBytes = 16

// Key identifies a stream. Organisations can't choose the key of another one's stream.
type Key [keyBytes]byte

// KeyOf returns the key of the stream whose first event was brought by a call of an organisation.
func KeyOf(organisation, call string) Key {
	h := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(organisation)))
	h.Write(length[:])
	h.Write([]byte(organisation))
	h.Write([]byte(call))
	return Key(h.Sum(nil)[:keyBytes])
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the software of the server that brought the first event.
	Version string
	// Ambiguous is set if the version can't be told.
	Ambiguous bool
	// Uncertain is set while the version can't be told, as the server may have restarted with another one.
	Uncertain bool
}
