package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Request is the part of a request that identifies it across retries. The request ID, the deadline and
// hints change with each attempt and are left out.
type Request struct {
	// Organisation is empty for callers without one.
	Organisation string
	Method       string
	Host         string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// parts returns all fields except the body.
func (r *Request) parts() [4]string {
	return [...]string{r.Organisation, r.Method, r.Host, r.Target}
}

// Outline is a cheap hash of a request that covers only the length of its body. It rules out most
// requests that are not suspects without hashing their bodies.
type Outline uint64

// OutlineOf returns the outline of a request.
func OutlineOf(r *Request) Outline {
	var h xxhash.Digest
	h.Reset()
	for _, part := range r.parts() {
		writePart(&h, part)
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(r.Body)))
	_, _ = h.Write(length[:]) // Write never returns an error.
	return Outline(h.Sum64())
}

// writePart writes a part followed by a terminator, so that different parts cannot concatenate to the
// same input.
func writePart(h *xxhash.Digest, part string) {
	_, _ = h.WriteString(part)
	_, _ = h.Write([]byte{0})
}

// digestBytes is the size of a digest. It is large enough that a caller cannot construct a request
// with the digest of another one.
const digestBytes = 16

// Fingerprint identifies a request.
type Fingerprint struct {
	Outline Outline
	Digest  [digestBytes]byte
}

// FingerprintOf returns the fingerprint of a request, which requires hashing its body.
func FingerprintOf(r *Request) Fingerprint {
	h := sha256.New()
	for _, part := range r.parts() {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	f := Fingerprint{Outline: OutlineOf(r)}
	copy(f.Digest[:], h.Sum(nil))
	return f
}

// nameBytes is the number of digest bytes in the name of a fingerprint.
const nameBytes = 6

// String returns the name used in logs and by operators.
func (f Fingerprint) String() string { return hex.EncodeToString(f.Digest[:nameBytes]) }
