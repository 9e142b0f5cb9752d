package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

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
	// Service is the service whose servers run the request. Parts are the IDs of the parts of its prompt that
	// other requests may have, in order.
	Service string
	Parts   []string
	// SentAt is when the request was sent to the server that it is reported with; zero if that is not known. It does
	// not identify the request.
	SentAt time.Time
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

// partOutline is the outline of all parts of prompts. It tells them from requests in messages and in the record, too,
// so that builds which know requests only carry parts along.
const partOutline Outline = 1

// digestBytes is the size of a digest. It is large enough that a caller cannot construct a request
// with the digest of another one.
const digestBytes = 16

// Fingerprint identifies a suspect: a request, or a part of the prompts of requests to a service.
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

// PartFingerprint returns the fingerprint of a part of the prompts of requests to a service. Callers of all
// organisations share it: a part that crashes servers does so whoever sends it.
func PartFingerprint(service, part string) Fingerprint {
	sum := sha256.Sum256([]byte(service + "\x00" + part))
	f := Fingerprint{Outline: partOutline}
	copy(f.Digest[:], sum[:])
	return f
}

// IsPart reports whether the suspect is a part of prompts.
func (f Fingerprint) IsPart() bool { return f.Outline == partOutline }

// partFingerprints returns the fingerprints of the parts of a request, in order.
func (r *Request) partFingerprints() []Fingerprint {
	list := make([]Fingerprint, len(r.Parts))
	for n, part := range r.Parts {
		list[n] = PartFingerprint(r.Service, part)
	}
	return list
}

// Matches reports whether a request is a suspect, or has it as a part.
func (r *Request) Matches(f Fingerprint) bool {
	if f.IsPart() {
		return slices.Contains(r.partFingerprints(), f)
	}
	return OutlineOf(r) == f.Outline && FingerprintOf(r) == f
}

// nameBytes is the number of digest bytes in the name of a fingerprint.
const nameBytes = 6

// String returns the name used in logs and by operators.
func (f Fingerprint) String() string { return hex.EncodeToString(f.Digest[:nameBytes]) }
