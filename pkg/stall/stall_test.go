package stall

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var limits = Limits{FirstByte: 700 * time.Millisecond, Idle: 500 * time.Millisecond, Total: 5 * time.Second}

// slowReader gives a byte after each pause until its context ends.
type slowReader struct {
	ctx    context.Context
	pauses []time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.pauses) == 0 {
		return 0, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return 0, context.Cause(s.ctx)
	case <-time.After(s.pauses[0]):
	}
	s.pauses = s.pauses[1:]
	p[0] = 'x'
	return 1, nil
}

// read reads an answer whose bytes come after pauses.
func read(t *testing.T, pauses ...time.Duration) (n int, took time.Duration, err error) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := WithLimits(context.Background(), limits)
		defer cancel()
		begun := time.Now()
		var data []byte
		data, err = io.ReadAll(NewReader(ctx, &slowReader{ctx: ctx, pauses: pauses}))
		n, took = len(data), time.Since(begun)
	})
	return n, took, err
}

func repeat(d time.Duration, n int) []time.Duration {
	var list []time.Duration
	for range n {
		list = append(list, d)
	}
	return list
}

func TestAnswerThatKeepsComingIsRead(t *testing.T) {
	n, took, err := read(t, repeat(400*time.Millisecond, 10)...)
	require.NoError(t, err)
	assert.Equal(t, 10, n)
	assert.Equal(t, 4*time.Second, took)
}

func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		pauses []time.Duration
		want   Error
		took   time.Duration
	}{
		"no answer":         {pauses: repeat(time.Second, 1), want: Error{Limit: limits.FirstByte}, took: limits.FirstByte},
		"it stands still":   {pauses: []time.Duration{100 * time.Millisecond, 600 * time.Millisecond}, want: Error{Started: true, Limit: limits.Idle}, took: 600 * time.Millisecond},
		"it takes for ever": {pauses: repeat(400*time.Millisecond, 100), want: Error{Started: true, Limit: limits.Total}, took: 400*time.Millisecond + limits.Total},
	} {
		t.Run(name, func(t *testing.T) {
			_, took, err := read(t, c.pauses...)
			var stalled *Error
			require.ErrorAs(t, err, &stalled)
			assert.Equal(t, c.want, *stalled)
			assert.Equal(t, c.took, took)
		})
	}
}

func TestBegun(t *testing.T) {
	ctx, cancel := WithLimits(context.Background(), limits)
	defer cancel()
	assert.False(t, Started(ctx))
	_, err := io.ReadAll(NewReader(ctx, &slowReader{ctx: ctx, pauses: repeat(time.Millisecond, 1)}))
	require.NoError(t, err)
	assert.True(t, Started(ctx))
	assert.False(t, Started(context.Background()), "an exchange without limits")
}
