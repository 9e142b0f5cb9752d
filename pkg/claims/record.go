package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"headhill.example/headhill/pkg/objlog"
)

// ShardCount is the number of claim shards.
const ShardCount = 16

// KeySize is the size of a Key in bytes.
const KeySize = 16

// Key identifies a call by a hash of its organisation and idempotency key.
type Key [KeySize]byte

// KeyOf returns the Key of an organisation's idempotency key. The organisation is
// length-prefixed, so that no two pairs yield the same hash input.
func KeyOf(organisation, idempotencyKey string) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(organisation)))
	h.Write(length[:])
	h.Write([]byte(organisation))
	h.Write([]byte(idempotencyKey))
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// Shard returns the number of the claim shard that stores the key.
func (k Key) Shard() int { return int(k[0]) % ShardCount }

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != KeySize {
		return fmt.Errorf("claim key of %d characters: %d are needed", len(b), hex.EncodedLen(KeySize))
	}
	_, err := hex.Decode(k[:], b)
	return err
}

// State is the outcome of a claim. Its values match peerpb.ClaimState.
type State int

// States of a claim.
const (
	// Granted means that this attempt holds the key and may run.
	Granted State = iota + 1
	// Taken means that another attempt holds the key and its outcome is unknown.
	Taken
	// Done means that another attempt completed the call.
	Done
)

// Operations in a record.
const (
	opClaim = "claim"
	opDone  = "done"
	opFree  = "free"
)

// record is an entry of a claim shard's log.
type record struct {
	Op      string    `json:"op"`
	Key     Key       `json:"key"`
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
}

// entry is the current state of one key.
type entry struct {
	Attempt string    `json:"attempt"`
	Fence   uint64    `json:"fence"`
	Done    bool      `json:"done,omitempty"`
	At      time.Time `json:"at"`
}

// index is the state obtained by replaying a claim shard's log.
type index struct {
	entries map[Key]entry
}

func newIndex() *index { return &index{entries: make(map[Key]entry)} }

// Restore implements objlog.StateMachine.
func (x *index) Restore(_ uint64, parts [][]byte) error {
	x.entries = make(map[Key]entry)
	for _, p := range parts {
		if err := json.Unmarshal(p, &x.entries); err != nil {
			return &objlog.CorruptError{Key: "claims snapshot", Cause: err}
		}
	}
	return nil
}

// Apply implements objlog.StateMachine.
func (x *index) Apply(i uint64, r objlog.Record) error {
	var rec record
	if err := json.Unmarshal(r.Data, &rec); err != nil {
		return &objlog.CorruptError{Key: r.ID, Cause: err}
	}
	x.apply(i, rec)
	return nil
}

// apply applies the record at log index i. The first claim of a key wins, and only the
// attempt that holds the key can complete or release it.
func (x *index) apply(i uint64, rec record) {
	e, exists := x.entries[rec.Key]
	switch rec.Op {
	case opClaim:
		if !exists {
			x.entries[rec.Key] = entry{Attempt: rec.Attempt, Fence: i, At: rec.At}
		}
	case opDone:
		if exists && e.Attempt == rec.Attempt {
			e.Done = true
			x.entries[rec.Key] = e
		}
	case opFree:
		if exists && e.Attempt == rec.Attempt {
			delete(x.entries, rec.Key)
		}
	}
}

// maxPartEntries bounds the entries in one part of a snapshot, so that an encoded part
// stays below the platform's object size limit.
const maxPartEntries = 4000

// snapshot evicts the entries older than retention and encodes the rest.
func (x *index) snapshot(now time.Time, retention time.Duration) [][]byte {
	var parts [][]byte
	part := make(map[Key]entry)
	flush := func() {
		// Marshalling these types can't fail.
		b, _ := json.Marshal(part)
		parts = append(parts, b)
		part = make(map[Key]entry)
	}
	for k, e := range x.entries {
		if now.Sub(e.At) > retention {
			delete(x.entries, k)
			continue
		}
		part[k] = e
		if len(part) == maxPartEntries {
			flush()
		}
	}
	flush()
	return parts
}
