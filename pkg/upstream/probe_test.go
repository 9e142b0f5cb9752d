package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func awaitProbe(t *testing.T, p *Probe) State {
	t.Helper()
	select {
	case <-p.Done:
	case <-time.After(10 * time.Second):
		t.Fatal("probe did not finish within 10 s")
	}
	return p.State
}

func TestProbeDetectsExitedServer(t *testing.T) {
	c := NewClient(time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	assert.Equal(t, StateUp, awaitProbe(t, c.Probe("a", address)))

	listener.Close()
	assert.Equal(t, StateExited, awaitProbe(t, c.Probe("b", address)))
	assert.Same(t, c.Probe("b", address), c.Probe("b", address), "concurrent probes of a server must be shared")
}

// Guards against a server that passes for running after it has crashed, since it was probed a moment before.
func TestProbeSinceDoesNotJoinEarlierProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := NewClient(time.Second)
	first := c.Probe("s", l.Addr().String())
	<-first.Done
	require.Equal(t, StateUp, first.State)
	l.Close()
	joined := c.Probe("s", l.Addr().String())
	<-joined.Done
	assert.Equal(t, StateUp, joined.State, "probes are shared for a moment")
	later := c.ProbeSince("s", l.Addr().String(), time.Now())
	<-later.Done
	assert.Equal(t, StateExited, later.State)
}
