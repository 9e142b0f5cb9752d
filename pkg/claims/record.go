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

// KeySize is the size of a claim's key, in bytes.
const KeySize = 16

// Key names a call: a hash of its organisation and idempotency key.
type Key [KeySize]byte

// KeyOf returns the key of an organisation's idempotency key.
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

// Shard returns the key's claim shard.
func (k Key) Shard() int { return int(k[0]) % ShardCount }

// String returns the key in hex.
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

// State is what is known of a claim.
type State int

// States of a claim.
const (
	// Granted: this attempt may run.
	Granted State = iota + 1
	// Taken: another attempt has the key, and how it ended is not known.
	Taken
	// Done: another attempt ran to its end.
	Done
)

// Operations of a record.
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

// entry is what the log says of one key.
type entry struct {
	Attempt string    `json:"attempt"`
	Fence   uint64    `json:"fence"`
	Done    bool      `json:"done,omitempty"`
	At      time.Time `json:"at"`
}

// index is the state of a claim shard's log.
type index struct {
	entries map[Key]entry
}

func newIndex() *index { return &index{entries: make(map[Key]entry)} }

// Restore implements objlog.Reader.
func (x *index) Restore(_ uint64, parts [][]byte) error {
	x.entries = make(map[Key]entry)
	for _, p := range parts {
		if err := json.Unmarshal(p, &x.entries); err != nil {
			return &objlog.CorruptError{Key: "claims snapshot", Cause: err}
		}
	}
	return nil
}

// Apply implements objlog.Reader.
func (x *index) Apply(i uint64, r objlog.Record) error {
	var rec record
	if err := json.Unmarshal(r.Data, &rec); err != nil {
		return &objlog.CorruptError{Key: r.ID, Cause: err}
	}
	x.apply(i, rec)
	return nil
}

// apply takes one record in. The first claim of a key stands; only the attempt
// that has it can end it.
func (x *index) apply(i uint64, rec record) {
	e, held := x.entries[rec.Key]
	switch rec.Op {
	case opClaim:
		if !held {
			x.entries[rec.Key] = entry{Attempt: rec.Attempt, Fence: i, At: rec.At}
		}
	case opDone:
		if held && e.Attempt == rec.Attempt {
			e.Done = true
			x.entries[rec.Key] = e
		}
	case opFree:
		if held && e.Attempt == rec.Attempt {
			delete(x.entries, rec.Key)
		}
	}
}

// partEntries is the number of entries in a part of a snapshot: about half of
// the platform's largest value.
const partEntries = 4000

// snapshot encodes the entries younger than keep, and drops the others.
func (x *index) snapshot(now time.Time, keep time.Duration) [][]byte {
	var parts [][]byte
	batch := make(map[Key]entry)
	flush := func() {
		// Plain structs always encode.
		b, _ := json.Marshal(batch)
		parts = append(parts, b)
		batch = make(map[Key]entry)
	}
	for k, e := range x.entries {
		if now.Sub(e.At) > keep {
			delete(x.entries, k)
			continue
		}
		batch[k] = e
		if len(batch) == partEntries {
			flush()
		}
	}
	flush()
	return parts
}
