package quarantine

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func drawRequest(t *rapid.T) Request {
	part := rapid.SampledFrom([]string{"", "a", "b", "ab", "a\x00", "\x00b"})
	return Request{
		Organisation: part.Draw(t, "organisation"), Method: part.Draw(t, "method"), Host: part.Draw(t, "host"),
		Target: part.Draw(t, "target"), Body: []byte(part.Draw(t, "body")),
	}
}

// Requests that differ in organisation, method, host, target or body must have different fingerprints, also
// if the parts concatenate to the same bytes. Only bodies may contain zero bytes.
func TestFingerprintsDistinguishRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRequest(t), drawRequest(t)
		for _, r := range []*Request{&a, &b} {
			r.Organisation = strings.ReplaceAll(r.Organisation, "\x00", "")
			r.Method = strings.ReplaceAll(r.Method, "\x00", "")
			r.Host = strings.ReplaceAll(r.Host, "\x00", "")
			r.Target = strings.ReplaceAll(r.Target, "\x00", "")
		}
		same := a.Organisation == b.Organisation && a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && string(a.Body) == string(b.Body)
		assert.Equal(t, same, FingerprintOf(&a) == FingerprintOf(&b))
	})
}

func BenchmarkOutline(b *testing.B) {
	r := Request{Organisation: "alpha", Method: "POST", Host: "caller.example", Target: "/stream/1", Body: make([]byte, 16<<10)}
	for b.Loop() {
		OutlineOf(&r)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	r := Request{Organisation: "alpha", Method: "POST", Host: "caller.example", Target: "/stream/1", Body: make([]byte, 16<<10)}
	for b.Loop() {
		FingerprintOf(&r)
	}
}
