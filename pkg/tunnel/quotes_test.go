package tunnel

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against what a program at the address of a box sent in the text of an error, which reaches callers.
func TestErrorsDoNotQuoteRelays(t *testing.T) {
	const secret = "meant-for-another-caller"
	for _, answer := range []string{
		secret + "\r\n\r\n",
		"HTTP/1.1 " + secret + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + secret + "\r\n\r\n",
		"HTTP/1.1 503 x\r\nContent-Length: " + secret + "\r\n\r\n",
		"HTTP/1.1 503 x\r\n" + headerReason + ": " + secret + "\r\nContent-Length: 0\r\n\r\n",
		secret,
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, answer)
		}()
		_, err = Dial(t.Context(), l.Addr().String(), "192.0.2.1:80")
		require.Error(t, err, "%q", answer)
		assert.NotContains(t, err.Error(), secret)
		l.Close()
	}
}
