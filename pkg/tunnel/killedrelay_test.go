package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/upstream"
)

// relayOfProcess is set in the environment of a process that is to be a relay to the server at its value.
const relayOfProcess = "HEADHILL_TEST_RELAY"

// TestRelayProcess is the relay of TestKilledRelayIsNoEndOfResponse. It runs until it is killed.
func TestRelayProcess(t *testing.T) {
	server := os.Getenv(relayOfProcess)
	if server == "" {
		t.Skip("runs in a process of its own")
	}
	relay := NewServer(ServerDeps{
		IsPeerHost: func(netip.Addr) bool { return true }, IsServer: func(string) bool { return true },
		Dial: upstream.DialDirect, ReachesOthers: func(context.Context, string) bool { return true },
		Isolated: func() bool { return false }, RetryDirect: func(string) {}, Busy: func() bool { return false }, MaxTunnels: 2, Logger: log.NewNopLogger(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_, _ = io.WriteString(os.Stdout, listener.Addr().String()+"\n")
	_ = http.Serve(listener, relay.Wrap(http.NotFoundHandler()))
}

// startRelayProcess starts a relay to a server as a process of its own.
func startRelayProcess(t *testing.T, server string) (relay *exec.Cmd, address string) {
	t.Helper()
	relay = exec.Command(os.Args[0], "-test.run=^TestRelayProcess$")
	relay.Env = append(os.Environ(), relayOfProcess+"="+server)
	out, err := relay.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, relay.Start())
	t.Cleanup(func() {
		_ = relay.Process.Kill()
		_ = relay.Wait()
	})
	line := make([]byte, 100)
	n, err := out.Read(line)
	require.NoError(t, err)
	return relay, strings.TrimSpace(string(line[:n]))
}

// Guards against a relay whose process is killed, and whose kernel closes the tunnel in order, that passes for the end of the response.
func TestKilledRelayIsNoEndOfResponse(t *testing.T) {
	for name, sent := range map[string]int{"before the response": 0, "between two frames": 4, "with more on the way": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			relay, address := startRelayProcess(t, listener.Addr().String())
			near, err := Dial(t.Context(), address, listener.Addr().String())
			require.NoError(t, err)
			defer near.Close()
			server, err := listener.Accept()
			require.NoError(t, err)
			defer server.Close()
			go func() { _, _ = server.Write(make([]byte, sent)) }()
			_, err = io.ReadFull(near, make([]byte, min(sent, 4)))
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			require.NoError(t, relay.Process.Kill())
			require.NoError(t, near.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, err = io.Copy(io.Discard, near)
			var lost *upstream.PathLostError
			assert.ErrorAs(t, err, &lost)
			assert.Equal(t, upstream.EndBroken, upstream.EndOf(err))
		})
	}
}
