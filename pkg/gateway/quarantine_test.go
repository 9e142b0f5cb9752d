package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/quarantine"
)

// endings is a Quarantine that learns of an end with each judgement, up to some.
type endings struct {
	Quarantine
	known, most int
	judged      int
}

func (e *endings) MaySuspect(*quarantine.Request) bool { return true }

func (e *endings) Verdict(quarantine.Fingerprint) quarantine.Verdict {
	e.judged++
	v := quarantine.Verdict{Crashes: e.known}
	e.known = min(e.known+1, e.most)
	return v
}

// A request under which servers end stands back as long as further ones do, and no longer.
func TestSuspectStandsBackWhileServersEnd(t *testing.T) {
	for _, c := range []struct {
		name              string
		known, most, want int
	}{
		{"no server has ended", 0, 0, 1},
		{"one has", 1, 1, 1},
		{"two have", 2, 2, 2},
		{"a third one ends meanwhile", 2, 3, 3},
		{"two more end meanwhile", 2, 4, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &endings{known: c.known, most: c.most}
			x := &exchange{gateway: &Gateway{Deps: Deps{Quarantine: q}}, request: httptest.NewRequest("POST", "/deadly", nil)}
			x.standBack(context.Background(), time.Millisecond)
			assert.Equal(t, c.want, q.judged)
		})
	}
}
