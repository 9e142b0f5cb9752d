package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/peer"
	"headhill.example/headhill/pkg/peer/peerpb"
)

// FuzzPeerMessages checks that arbitrary peer messages leave no slot in use.
func FuzzPeerMessages(f *testing.F) {
	addSeed := func(m *peerpb.UpMessage) {
		b, err := proto.Marshal(&peerpb.Up{Messages: []*peerpb.UpMessage{m}})
		require.NoError(f, err)
		f.Add(b)
	}
	addSeed(&peerpb.UpMessage{Kind: &peerpb.UpMessage_Reserve{Reserve: &peerpb.Reserve{Shard: "s", Seq: 1, Class: "high", WaitedNanos: -5, RemainingNanos: 1}}})
	addSeed(&peerpb.UpMessage{Kind: &peerpb.UpMessage_Register{Register: &peerpb.Register{Shard: "s", Running: []*peerpb.Running{{Server: "v1"}, {}}}}})
	addSeed(&peerpb.UpMessage{Kind: &peerpb.UpMessage_Finish{Finish: &peerpb.Finish{Shard: "s", Seq: 1, Result: 99, OutputTokens: 1 << 31}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var up peerpb.Up
		var down peerpb.Down
		if proto.Unmarshal(data, &up) != nil && proto.Unmarshal(data, &down) != nil {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			net := newNetwork(ctx, t, 1)
			time.Sleep(2 * time.Second)
			b := net.boxes["b0"]
			c := peer.NewConn(peer.Instance{Box: "x", Incarnation: "y"}, func(*peerpb.DownMessage) {})
			for _, m := range up.GetMessages() {
				b.runner.HandleUp(c, m)
			}
			for _, m := range down.GetMessages() {
				b.broker.HandleDown("b0", m)
			}
			time.Sleep(time.Second)
			b.runner.HandleLinkDown(c)
			time.Sleep(5 * time.Second)
			running, _ := net.slotCounts()
			require.Zero(t, running)
			cancel()
			time.Sleep(time.Second)
		})
	})
}
