package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/peer/peerpb"
)

// Peers returns RPC clients for other boxes.
type Peers interface {
	Client(box string) (peerpb.PeerClient, bool)
}

// Client claims keys at the boxes that own their claim shards.
type Client struct {
	objects objectstore.Objects
	prefix  string
	tracker *membership.Tracker
	logger  log.Logger

	mu           sync.Mutex
	peers        Peers
	coordinators map[int]*Coordinator

	abandonedCount atomic.Int64
}

// NewClient returns a Client that claims locally until SetPeers is called.
func NewClient(objects objectstore.Objects, prefix string, tracker *membership.Tracker, logger log.Logger) *Client {
	return &Client{objects: objects, prefix: prefix, tracker: tracker, logger: logger, coordinators: make(map[int]*Coordinator)}
}

// SetPeers sets the peers that the client forwards claims to.
func (c *Client) SetPeers(p Peers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = p
}

// Coordinator returns this box's coordinator of a claim shard, creating it if necessary.
func (c *Client) Coordinator(shard int) *Coordinator {
	c.mu.Lock()
	defer c.mu.Unlock()
	coord := c.coordinators[shard]
	if coord == nil {
		coord = NewCoordinator(c.objects, c.prefix, shard, c.logger)
		c.coordinators[shard] = coord
	}
	return coord
}

const (
	// callTimeout bounds a claim, including the local attempt after a failed remote one.
	callTimeout = 4 * time.Second
	// remoteTimeout bounds a claim at the shard's owner.
	remoteTimeout = appendTimeout + 500*time.Millisecond
)

// remoteOwner returns the owner of a shard if it is another box that can be called.
func (c *Client) remoteOwner(shard int) (peerpb.PeerClient, string, bool) {
	v := c.tracker.View()
	owner := v.Owner(OwnerKey(shard), "")
	if owner == "" || owner == v.Self {
		return nil, "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		return nil, "", false
	}
	p, ok := c.peers.Client(owner)
	return p, owner, ok
}

// OwnerKey returns the rendezvous hashing key that selects the owner of a claim shard.
func OwnerKey(shard int) string { return fmt.Sprintf("claims/%02d", shard) }

// Claim records an attempt's claim on a key at the shard's owner. If the owner does not
// respond, this box records the claim itself. This is safe because the log accepts only
// one claim per key regardless of the writer, and claims are idempotent per attempt.
func (c *Client) Claim(ctx context.Context, k Key, attempt string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if p, box, ok := c.remoteOwner(k.Shard()); ok {
		r, err := claimRemote(ctx, p, k, attempt)
		var unavailable *UnavailableError
		if err == nil || errors.As(err, &unavailable) {
			return r, err
		}
		level.Debug(c.logger).Log("msg", "claim shard owner did not respond; recording the claim locally", "home", box, "err", err)
	}
	return c.Coordinator(k.Shard()).Claim(ctx, k, attempt)
}

func claimRemote(ctx context.Context, p peerpb.PeerClient, k Key, attempt string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	r, err := p.Claim(ctx, &peerpb.ClaimRequest{Shard: uint32(k.Shard()), Key: k[:], Attempt: attempt})
	if err != nil {
		return Result{}, err
	}
	if r.GetUnavailable() != "" {
		return Result{}, &UnavailableError{Cause: errors.New(r.GetUnavailable())}
	}
	return Result{State: State(r.GetState()), Fence: r.GetFence()}, nil
}

// End records the end of an attempt. If notRun is set, the key is released.
func (c *Client) End(ctx context.Context, k Key, attempt string, notRun bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if p, _, ok := c.remoteOwner(k.Shard()); ok {
		req := &peerpb.EndClaimRequest{Shard: uint32(k.Shard()), Key: k[:], Attempt: attempt, NotRun: notRun}
		if _, err := p.EndClaim(ctx, req); err == nil {
			return nil
		}
	}
	return c.Coordinator(k.Shard()).End(ctx, k, attempt, notRun)
}

const (
	abandonInitialBackoff = time.Second
	abandonMaxBackoff     = 30 * time.Second
	abandonTimeout        = 10 * time.Minute
	// maxAbandoned bounds the keys that are being released in the background. The keys
	// of further attempts stay taken until they expire, which is safe.
	maxAbandoned = 10000
)

// Abandon releases the key of an attempt whose claim could not be confirmed and that
// was not and will not be dispatched. It retries in the background until the release
// succeeds or abandonTimeout has passed.
func (c *Client) Abandon(k Key, attempt string) {
	if c.abandonedCount.Add(1) > maxAbandoned {
		c.abandonedCount.Add(-1)
		return
	}
	go func() {
		defer c.abandonedCount.Add(-1)
		retryBackoff := backoff.NewExponentialBackOff()
		retryBackoff.InitialInterval = abandonInitialBackoff
		retryBackoff.MaxInterval = abandonMaxBackoff
		for start := time.Now(); time.Since(start) < abandonTimeout; {
			time.Sleep(retryBackoff.NextBackOff())
			if c.End(context.Background(), k, attempt, true) == nil {
				return
			}
		}
	}()
}

// ServeClaim records a claim on behalf of a peer.
func (c *Client) ServeClaim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	k, err := decodeKey(r.GetKey(), r.GetShard())
	if err != nil {
		return nil, err
	}
	res, err := c.Coordinator(k.Shard()).Claim(ctx, k, r.GetAttempt())
	if err != nil {
		return &peerpb.ClaimReply{Unavailable: err.Error()}, nil
	}
	return &peerpb.ClaimReply{State: peerpb.ClaimState(res.State), Fence: res.Fence}, nil
}

// ServeEndClaim records the end of an attempt on behalf of a peer.
func (c *Client) ServeEndClaim(ctx context.Context, r *peerpb.EndClaimRequest) (*peerpb.EndClaimReply, error) {
	k, err := decodeKey(r.GetKey(), r.GetShard())
	if err != nil {
		return nil, err
	}
	return &peerpb.EndClaimReply{}, c.Coordinator(k.Shard()).End(ctx, k, r.GetAttempt(), r.GetNotRun())
}

// BadKeyError reports that a peer sent a key of the wrong size or shard.
type BadKeyError struct{ Size int }

func (e *BadKeyError) Error() string {
	return fmt.Sprintf("claim key of %d bytes, or of another shard: run the same version on all boxes", e.Size)
}

func decodeKey(b []byte, shard uint32) (Key, error) {
	var k Key
	if len(b) != KeySize {
		return k, &BadKeyError{Size: len(b)}
	}
	copy(k[:], b)
	if k.Shard() != int(shard) {
		return k, &BadKeyError{Size: len(b)}
	}
	return k, nil
}
