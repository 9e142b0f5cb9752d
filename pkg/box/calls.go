package box

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/peer/peerpb"
)

// Claim implements peer.CallHandler.
func (b *Box) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return b.claims.ServeClaim(ctx, r)
}

// EndClaim implements peer.CallHandler.
func (b *Box) EndClaim(ctx context.Context, r *peerpb.EndClaimRequest) (*peerpb.EndClaimReply, error) {
	return b.claims.ServeEndClaim(ctx, r)
}

// PullConfig implements peer.CallHandler.
func (b *Box) PullConfig(r *peerpb.PullConfigRequest, stream grpc.ServerStreamingServer[peerpb.PullConfigReply]) error {
	if !b.store.Loaded() {
		return status.Error(codes.Unavailable, "this box has no configuration yet: ask another")
	}
	entries, ok := b.store.EntriesSince(r.GetGeneration())
	if !ok {
		return b.sendSnapshot(stream)
	}
	for _, e := range entries {
		err := stream.Send(&peerpb.PullConfigReply{
			Generation: e.Generation, RecordId: e.Record.ID, RecordData: e.Record.Data,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (b *Box) sendSnapshot(stream grpc.ServerStreamingServer[peerpb.PullConfigReply]) error {
	generation, parts := b.store.SnapshotParts()
	for i, p := range parts {
		m := &peerpb.PullConfigReply{Generation: generation, Part: p, Last: i == len(parts)-1}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// Status implements peer.CallHandler.
func (b *peerCalls) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return b.status(), nil
}

// peerCalls implements peer.CallHandler. Its Status differs from the operators' Status.
type peerCalls struct{ *Box }

func (b *Box) status() *peerpb.StatusReply {
	r := &peerpb.StatusReply{
		Box:         b.self.Box,
		Incarnation: b.self.Incarnation,
		Generation:  b.Generation(),
		Ready:       b.Ready(),
		Stopping:    !b.tracker.Serving(),
		Shards:      b.runner.Status(time.Now()),
	}
	for _, x := range b.tracker.Roster() {
		r.Roster = append(r.Roster, &peerpb.BoxEntry{Id: x.ID, Hall: x.Hall, Region: x.Region, Peer: x.Peer, State: x.State})
	}
	return r
}

const statusTimeout = 2 * time.Second

// Status queries the status of every box in the view.
func (b *Box) Status(ctx context.Context) []api.BoxStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	v := b.tracker.View()
	return iter.Map(v.Boxes, func(x *membership.Box) api.BoxStatus { return b.fetchStatus(ctx, x) })
}

func (b *Box) fetchStatus(ctx context.Context, x *membership.Box) api.BoxStatus {
	if x.ID == b.self.Box {
		return toBoxStatus(b.status())
	}
	conn, err := b.credentials.Dial(x.ID, x.Peer)
	if err != nil {
		return api.BoxStatus{Box: x.ID, Error: err.Error()}
	}
	defer conn.Close()
	r, err := peerpb.NewPeerClient(conn).Status(ctx, &peerpb.StatusRequest{})
	if err != nil {
		return api.BoxStatus{Box: x.ID, Error: err.Error()}
	}
	return toBoxStatus(r)
}

func toBoxStatus(r *peerpb.StatusReply) api.BoxStatus {
	s := api.BoxStatus{Box: r.GetBox(), Generation: r.GetGeneration(), Ready: r.GetReady(), Stopping: r.GetStopping()}
	for _, sh := range r.GetShards() {
		s.Shards = append(s.Shards, api.ShardStatus{
			Shard: sh.GetShard(), Waiting: sh.GetWaiting(), Running: sh.GetRunning(), Free: sh.GetFree(),
		})
	}
	return s
}
