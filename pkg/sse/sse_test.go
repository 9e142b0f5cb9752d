package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func readAll(t *testing.T, s string) []string {
	t.Helper()
	r := NewReader(strings.NewReader(s))
	var list []string
	for {
		d, err := r.Next()
		if errors.Is(err, io.EOF) {
			return list
		}
		require.NoError(t, err)
		list = append(list, string(d))
	}
}

func TestReadsEvents(t *testing.T) {
	require.Equal(t, []string{"a", "b\nc", ""}, readAll(t, "data: a\n\n: comment\r\nevent: x\r\ndata:b\r\ndata: c\r\n\r\ndata:\n\n"))
}

func TestHalfAnEventDoesNotCount(t *testing.T) {
	for _, s := range []string{"data: a", "data: a\n", "data: a\r\n"} {
		require.Empty(t, readAll(t, s), "%q", s)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("data: {\"id\":1}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data\n\n\r\ndata: x\ndata: y\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		total := 0
		for {
			d, err := r.Next()
			if err != nil {
				break
			}
			total += len(d) + 1
		}
		require.LessOrEqual(t, total, len(in)+1)
	})
}
