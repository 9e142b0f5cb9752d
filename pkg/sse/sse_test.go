package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func readAll(t *testing.T, stream string) []string {
	t.Helper()
	r := NewReader(strings.NewReader(stream))
	var events []string
	for {
		data, err := r.Next()
		if errors.Is(err, io.EOF) {
			return events
		}
		require.NoError(t, err)
		events = append(events, string(data))
	}
}

func TestReadEvents(t *testing.T) {
	require.Equal(t, []string{"a", "b\nc", ""}, readAll(t, "data: a\n\n: comment\r\nevent: x\r\ndata:b\r\ndata: c\r\n\r\ndata:\n\n"))
}

func TestTruncatedEventIsDropped(t *testing.T) {
	for _, stream := range []string{"data: a", "data: a\n", "data: a\r\n"} {
		require.Empty(t, readAll(t, stream), "%q", stream)
	}
}

// The data read from a stream must never be larger than the stream.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: {\"id\":1}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data\n\n\r\ndata: x\ndata: y\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		total := 0
		for {
			data, err := r.Next()
			if err != nil {
				break
			}
			total += len(data) + 1
		}
		require.LessOrEqual(t, total, len(in)+1)
	})
}
