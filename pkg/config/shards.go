package config

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TargetShardServers is the number of backend servers per shard that the split of
// a large service aims at. It leaves room for uneven hash buckets below the limit
// of a scheduler.
const TargetShardServers = 32

// Shard is a group of a service's backend servers that is scheduled by one box at
// a time.
type Shard struct {
	ID      string
	Service string
	// Hall is the hall of the servers; empty if the shard is the whole service, which
	// may span several.
	Hall    string
	Servers []string
}

// Shards returns all shards ordered by ID.
func (s *State) Shards() []Shard { return s.shards }

// Shard returns the shard with the given ID.
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

// buildShards assigns the servers of each service to shards. A service of up to
// TargetShardServers servers is one shard even if it spans halls, so that tiers
// are strictly ordered across it. A larger one is split by hall, and a hall by
// hash of the server name, so that adding a server moves few others.
func buildShards(s *State) []Shard {
	byService := make(map[string][]Server)
	for _, v := range s.Servers() {
		byService[v.Service] = append(byService[v.Service], v)
	}
	byID := make(map[string]*Shard)
	for service, servers := range byService {
		halls := serversPerHall(servers)
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

func serversPerHall(servers []Server) map[string]int {
	m := make(map[string]int)
	for _, v := range servers {
		m[v.Hall]++
	}
	return m
}

func shardOf(service string, v Server, serviceSize, hallSize int) Shard {
	if serviceSize <= TargetShardServers {
		return Shard{ID: service, Service: service}
	}
	n := (hallSize + TargetShardServers - 1) / TargetShardServers
	bucket := xxhash.Sum64String(v.Name) % uint64(n)
	id := fmt.Sprintf("%s/%s/%d", service, v.Hall, bucket)
	return Shard{ID: id, Service: service, Hall: v.Hall}
}
