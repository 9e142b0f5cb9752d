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
