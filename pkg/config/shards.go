package config

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TargetShardServers is the largest number of backend servers meant for one shard.
const TargetShardServers = 32

// Shard is a part of a service's backend servers that one box schedules at a
// time.
type Shard struct {
	ID      string
	Service string
	// Hall the servers stand in; empty when they stand in several.
	Hall    string
	Servers []string
}

// Shards returns all shards by ID.
func (s *State) Shards() []Shard { return s.shards }

// Shard returns a shard by its ID.
func (s *State) Shard(id string) (Shard, bool) {
	i, ok := slices.BinarySearchFunc(s.shards, id, func(sh Shard, id string) int {
		switch {
		case sh.ID < id:
			return -1
		case sh.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return Shard{}, false
	}
	return s.shards[i], true
}

// ShardsOf returns the shards of a service.
func (s *State) ShardsOf(service string) []Shard {
	var list []Shard
	for _, sh := range s.shards {
		if sh.Service == service {
			list = append(list, sh)
		}
	}
	return list
}

// makeShards splits the services. A service that fits is one shard, whatever
// halls it spans, so that tiers are exact across it. A larger one is split by
// hall, and a hall by hash, so that adding a server moves few others.
func makeShards(s *State) []Shard {
	byService := make(map[string][]Server)
	for _, v := range s.Servers() {
		byService[v.Service] = append(byService[v.Service], v)
	}
	byID := make(map[string]*Shard)
	for service, servers := range byService {
		halls := hallSizes(servers)
		for _, v := range servers {
			sh := shardOf(service, v, len(servers), halls[v.Hall])
			if byID[sh.ID] == nil {
				byID[sh.ID] = &sh
			}
			byID[sh.ID].Servers = append(byID[sh.ID].Servers, v.Name)
		}
	}
	list := make([]Shard, 0, len(byID))
	for _, sh := range byID {
		list = append(list, *sh)
	}
	slices.SortFunc(list, func(a, b Shard) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

func hallSizes(servers []Server) map[string]int {
	m := make(map[string]int)
	for _, v := range servers {
		m[v.Hall]++
	}
	return m
}

func shardOf(service string, v Server, inService, inHall int) Shard {
	if inService <= TargetShardServers {
		return Shard{ID: service, Service: service}
	}
	// A little slack keeps the uneven buckets of the hash within a scheduler's
	// bound.
	n := (inHall + TargetShardServers - 1) / TargetShardServers
	bucket := xxhash.Sum64String(v.Name) % uint64(n)
	id := fmt.Sprintf("%s/%s/%d", service, v.Hall, bucket)
	return Shard{ID: id, Service: service, Hall: v.Hall}
}
