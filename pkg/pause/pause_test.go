package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestForEndsWithTheTimeOrTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		For(t.Context(), time.Second)
		assert.Equal(t, time.Second, time.Since(begun))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		For(ctx, time.Hour)
		assert.Equal(t, 2*time.Second, time.Since(begun))
	})
}
