package shard

import (
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
)

// shardsUsed bounds the shards of one service that a box reserves in, in a fleet
// beyond membership.MeshSize. Each costs links to its owner and to the next in
// line; at the target size a service has 75 shards.
const shardsUsed = reserveIn

// Eligible lists the shards of a service that a box reserves in, those of its own
// hall first.
func Eligible(st *config.State, v *membership.View, service, hall string) []config.Shard {
	all := st.ShardsOf(service)
	most := shardsUsed
	if len(v.Boxes) <= membership.MeshSize {
		most = len(all)
	}
	byID := make(map[string]config.Shard, len(all))
	var near, far []string
	for _, sh := range all {
		byID[sh.ID] = sh
		if sh.Hall == hall {
			near = append(near, sh.ID)
			continue
		}
		far = append(far, sh.ID)
	}
	ids := membership.Choose(v.Self, near, most)
	if left := most - len(ids); left > 0 {
		ids = append(ids[:len(ids):len(ids)], membership.Choose(v.Self, far, left)...)
	}
	list := make([]config.Shard, 0, len(ids))
	for _, id := range ids {
		list = append(list, byID[id])
	}
	return list
}
