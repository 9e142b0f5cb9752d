package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// What is held of answers stays within the bound, however many are held at once, and is given back.
func TestHeldAnswersAreBounded(t *testing.T) {
	const most = 1 << 20
	g := &Gateway{Deps: Deps{Limits: Limits{MaxHeldBytes: most}}}
	var wg conc.WaitGroup
	for range 1000 {
		wg.Go(func() {
			x := &exchange{gateway: g}
			_, _, err := x.hold(strings.NewReader(strings.Repeat("x", answerMost)))
			assert.NoError(t, err)
			assert.LessOrEqual(t, g.HeldBytes(), int64(most+1000*holdStepMost), "a refused step is given back at once")
			g.held.Add(-x.reserved)
		})
	}
	wg.Wait()
	assert.Zero(t, g.HeldBytes())
}

// Whatever way an answer comes, what is held is what was sent; complete only where all of it is there.
func TestHeldAnswerIsWhatWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, 3*answerMost/32).Draw(t, "sixteens"))
		g := &Gateway{Deps: Deps{Limits: Limits{MaxHeldBytes: int64(rapid.IntRange(0, 2*answerMost).Draw(t, "room"))}}}
		broken := rapid.Bool().Draw(t, "broken")
		var from io.Reader = bytes.NewReader(sent)
		if broken {
			from = io.MultiReader(from, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		if rapid.Bool().Draw(t, "in halves") {
			from = iotest.HalfReader(from)
		}
		x := &exchange{gateway: g}
		body, complete, err := x.hold(from)
		if !bytes.HasPrefix(sent, body) {
			t.Fatalf("%d bytes are held of %d others", len(body), len(sent))
		}
		if complete && (broken || len(body) != len(sent)) {
			t.Fatalf("%d of %d bytes look whole, broken %t", len(body), len(sent), broken)
		}
		if !complete && err == nil && len(body) <= answerMost && x.reserved+holdStepMost <= g.Limits.MaxHeldBytes {
			t.Fatal("it is not complete though there is room")
		}
		if x.reserved > g.Limits.MaxHeldBytes {
			t.Fatalf("%d bytes are reserved of %d", x.reserved, g.Limits.MaxHeldBytes)
		}
	})
}
