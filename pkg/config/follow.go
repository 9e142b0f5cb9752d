package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/pause"
)

// MaxFollowDelay is the longest that a box waits after a change before it reads on, so
// that many changes in a row cost it one read, and the boxes' reads spread out.
const MaxFollowDelay = 2 * time.Second

// Follow keeps the store up with the platform's log until ctx ends. While the
// platform is away, peers bring what is new.
func (s *Store) Follow(ctx context.Context, collect time.Duration) {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = 200 * time.Millisecond
	retries.MaxInterval = 15 * time.Second
	next := s.Refresh
	for ctx.Err() == nil {
		err := next(ctx)
		if err == nil || objectstore.IsNoChange(err) {
			retries.Reset()
			next = s.Await
			pause.For(ctx, rand.N(collect+1))
			continue
		}
		level.Debug(s.logger).Log("msg", "the platform's configuration log can't be read", "err", err)
		// After a failure the log is read as it is: a watch would wait for a change.
		next = s.Refresh
		pause.For(ctx, retries.NextBackOff())
	}
}
