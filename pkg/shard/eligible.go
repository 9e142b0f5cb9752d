package shard

import (
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
)

// shardsUsed bounds the shards of one service that a box reserves in. Each costs
// links to its owner and to the next in line; at the target size a service has 75
// shards, and a box needs a few of them only.
const shardsUsed = 4

// Eligible lists the shards of a service that a box reserves in, those of its own
// hall first.
func Eligible(st *config.State, service, hall, box string) []config.Shard {
	all := st.ShardsOf(service)
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
	ids := membership.Choose(box, near, shardsUsed)
	if left := shardsUsed - len(ids); left > 0 {
		ids = append(ids[:len(ids):len(ids)], membership.Choose(box, far, left)...)
	}
	list := make([]config.Shard, 0, len(ids))
	for _, id := range ids {
		list = append(list, byID[id])
	}
	return list
}
