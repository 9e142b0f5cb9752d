package shard

import (
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
)

// maxShardsPerBox bounds the shards of one service that a box reserves in when the
// fleet has more than membership.MaxFullMeshBoxes boxes: each shard needs connections to
// its owner and to the box that becomes owner if that one fails.
const maxShardsPerBox = parallelReservations

// Eligible returns the shards of a service in which this box may reserve, those of
// its own hall first.
func Eligible(st *config.State, v *membership.View, service, hall string) []config.Shard {
	all := st.ShardsOf(service)
	limit := maxShardsPerBox
	if len(v.Boxes) <= membership.MaxFullMeshBoxes {
		limit = len(all)
	}
	byID := make(map[string]config.Shard, len(all))
	var sameHall, otherHalls []string
	for _, sh := range all {
		byID[sh.ID] = sh
		if sh.Hall == hall {
			sameHall = append(sameHall, sh.ID)
			continue
		}
		otherHalls = append(otherHalls, sh.ID)
	}
	ids := membership.SelectByRendezvous(v.Self, sameHall, limit)
	if left := limit - len(ids); left > 0 {
		ids = append(ids[:len(ids):len(ids)], membership.SelectByRendezvous(v.Self, otherHalls, left)...)
	}
	list := make([]config.Shard, 0, len(ids))
	for _, id := range ids {
		list = append(list, byID[id])
	}
	return list
}
