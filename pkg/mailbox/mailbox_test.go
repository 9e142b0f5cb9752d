package mailbox

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOrderAndOverflow(t *testing.T) {
	bounded, unbounded := New[int](), NewUnbounded[int]()
	for i := range MaxMessages {
		require.True(t, bounded.Put(i))
		require.True(t, unbounded.Put(i))
	}
	require.False(t, bounded.Put(MaxMessages), "a write beyond MaxMessages makes the mailbox overflow")
	_, ok := bounded.Take(t.Context())
	require.False(t, ok)
	require.True(t, unbounded.Put(MaxMessages))
	next := 0
	for next <= MaxMessages {
		batch, ok := unbounded.Take(t.Context())
		require.True(t, ok)
		for _, v := range batch {
			require.Equal(t, next, v)
			next++
		}
	}
}
