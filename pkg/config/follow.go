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

// MaxFollowDelay is the maximum delay after a change before a box reads the log
// again. The delay batches consecutive changes and spreads the reads of the boxes.
const MaxFollowDelay = 2 * time.Second

// Follow keeps the store up to date with the platform's log until ctx is done.
// After each read it waits for a random time of up to maxDelay. During a platform
// outage, changes arrive only from peers.
func (s *Store) Follow(ctx context.Context, maxDelay time.Duration) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = 200 * time.Millisecond
	retryBackoff.MaxInterval = 15 * time.Second
	readLog := s.Refresh
	for ctx.Err() == nil {
		err := readLog(ctx)
		if err == nil || objectstore.IsNoChange(err) {
			retryBackoff.Reset()
			readLog = s.Await
			pause.For(ctx, rand.N(maxDelay+1))
			continue
		}
		level.Debug(s.logger).Log("msg", "reading the configuration log failed; retrying", "err", err)
		// Do not wait for a change after a failure: read the log as it is.
		readLog = s.Refresh
		pause.For(ctx, retryBackoff.NextBackOff())
	}
}
