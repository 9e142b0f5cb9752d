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

// Peers gives a client for calls to another box.
type Peers interface {
	Client(box string) (peerpb.PeerClient, bool)
}

// Client claims keys at their homes, wherever they are.
type Client struct {
	objects objectstore.Objects
	prefix  string
	tracker *membership.Tracker
	logger  log.Logger

	mu    sync.Mutex
	peers Peers
	homes map[int]*Coordinator

	abandoned atomic.Int64
}

// NewClient returns a client; Attach must be called before it is used.
func NewClient(objects objectstore.Objects, prefix string, tracker *membership.Tracker, logger log.Logger) *Client {
	return &Client{objects: objects, prefix: prefix, tracker: tracker, logger: logger, homes: make(map[int]*Coordinator)}
}

// Attach gives the client its peers.
func (c *Client) Attach(p Peers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = p
}

// Coordinator returns this box's home of a claim shard.
func (c *Client) Coordinator(shard int) *Coordinator {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.homes[shard]
	if h == nil {
		h = NewCoordinator(c.objects, c.prefix, shard, c.logger)
		c.homes[shard] = h
	}
	return h
}

const (
	// callTimeout bounds a claim altogether, homeTimeout a call to its home.
	callTimeout = 4 * time.Second
	homeTimeout = appendTimeout + 500*time.Millisecond
)

// remote returns the home of a shard if it is another box that can be called.
func (c *Client) remote(shard int) (peerpb.PeerClient, string, bool) {
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

// OwnerKey names a claim shard in the rendezvous order of boxes.
func OwnerKey(shard int) string { return fmt.Sprintf("claims/%02d", shard) }

// Claim records an attempt's claim of a key. When the home does not answer, this
// box records the claim itself: the log admits one claim of a key whoever writes
// it, and the same attempt may ask any number of times.
func (c *Client) Claim(ctx context.Context, k Key, attempt string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if p, box, ok := c.remote(k.Shard()); ok {
		r, err := claimAt(ctx, p, k, attempt)
		var unavailable *UnavailableError
		if err == nil || errors.As(err, &unavailable) {
			return r, err
		}
		level.Debug(c.logger).Log("msg", "claim home does not answer; claiming here", "home", box, "err", err)
	}
	return c.Coordinator(k.Shard()).Claim(ctx, k, attempt)
}

func claimAt(ctx context.Context, p peerpb.PeerClient, k Key, attempt string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
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

// End records how an attempt ended.
func (c *Client) End(ctx context.Context, k Key, attempt string, notRun bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if p, _, ok := c.remote(k.Shard()); ok {
		req := &peerpb.EndClaimRequest{Shard: uint32(k.Shard()), Key: k[:], Attempt: attempt, NotRun: notRun}
		if _, err := p.EndClaim(ctx, req); err == nil {
			return nil
		}
	}
	return c.Coordinator(k.Shard()).End(ctx, k, attempt, notRun)
}

const (
	abandonFirst = time.Second
	abandonMost  = 30 * time.Second
	abandonFor   = 10 * time.Minute
	// abandonedMost bounds the attempts that wait to be freed; beyond it their
	// keys stay taken, which is safe.
	abandonedMost = 10000
)

// Abandon frees the key of an attempt whose claim could not be confirmed and
// which was not and will not be dispatched. It works in the background until the
// platform is back.
func (c *Client) Abandon(k Key, attempt string) {
	if c.abandoned.Add(1) > abandonedMost {
		c.abandoned.Add(-1)
		return
	}
	go func() {
		defer c.abandoned.Add(-1)
		pause := backoff.NewExponentialBackOff()
		pause.InitialInterval = abandonFirst
		pause.MaxInterval = abandonMost
		for since := time.Now(); time.Since(since) < abandonFor; {
			time.Sleep(pause.NextBackOff())
			if c.End(context.Background(), k, attempt, true) == nil {
				return
			}
		}
	}()
}

// ServeClaim answers a peer's claim as its home.
func (c *Client) ServeClaim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	k, err := keyOf(r.GetKey(), r.GetShard())
	if err != nil {
		return nil, err
	}
	res, err := c.Coordinator(k.Shard()).Claim(ctx, k, r.GetAttempt())
	if err != nil {
		return &peerpb.ClaimReply{Unavailable: err.Error()}, nil
	}
	return &peerpb.ClaimReply{State: peerpb.ClaimState(res.State), Fence: res.Fence}, nil
}

// ServeEndClaim ends a claim on behalf of a peer.
func (c *Client) ServeEndClaim(ctx context.Context, r *peerpb.EndClaimRequest) (*peerpb.EndClaimReply, error) {
	k, err := keyOf(r.GetKey(), r.GetShard())
	if err != nil {
		return nil, err
	}
	return &peerpb.EndClaimReply{}, c.Coordinator(k.Shard()).End(ctx, k, r.GetAttempt(), r.GetNotRun())
}

// BadKeyError says that a peer sent a key of the wrong size or shard.
type BadKeyError struct{ Size int }

func (e *BadKeyError) Error() string {
	return fmt.Sprintf("claim key of %d bytes, or of another shard: run the same version on all boxes", e.Size)
}

func keyOf(b []byte, shard uint32) (Key, error) {
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
