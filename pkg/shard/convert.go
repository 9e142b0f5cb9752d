package shard

import (
	"math"
	"time"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/scheduler"
)

// schedulerConfig builds the scheduler configuration of a shard.
func schedulerConfig(st *config.State, sh config.Shard, v *membership.View) scheduler.Config {
	svc, _ := st.Service(sh.Service)
	cfg := scheduler.Config{
		QueueLimit:    svc.Queue,
		HeadroomSlots: svc.Headroom,
		Limits:        func(name string) scheduler.Limits { return schedulerLimits(st, name) },
	}
	share := minorityShare(v)
	for _, name := range sh.Servers {
		s, _ := st.Server(name)
		cfg.Servers = append(cfg.Servers, scheduler.Server{
			Name:    name,
			Slots:   max(1, int(math.Floor(float64(s.Slots)*share))),
			Leaving: s.State == config.ServerStateLeaving || v.ServerLeaving(name),
		})
	}
	for _, c := range st.Classes() {
		cfg.Classes = append(cfg.Classes, schedulerClass(st, sh, c))
	}
	return cfg
}

func schedulerClass(st *config.State, sh config.Shard, c config.Class) scheduler.Class {
	return scheduler.Class{
		Name:             c.Name,
		Tier:             c.Tier,
		Floor:            c.Floor,
		FloorPlaces:      c.FloorPlaces,
		GuaranteedPlaces: c.Places,
		FirstTokenTarget: c.FirstToken,
		InterTokenTarget: c.Between,
		Servers:          serviceServers(st, sh.Service, c.Servers),
	}
}

// serviceServers filters a class's server list by service. An empty result does
// not restrict the class: its list applies only to services it names servers of.
func serviceServers(st *config.State, service string, names []string) []string {
	var list []string
	for _, n := range names {
		if s, ok := st.Server(n); ok && s.Service == service {
			list = append(list, n)
		}
	}
	return list
}

func schedulerLimits(st *config.State, name string) scheduler.Limits {
	o, _ := st.Organisation(name)
	return scheduler.Limits{
		Weight:            o.Weight,
		RequestsPerSecond: o.Requests,
		TokensPerSecond:   o.Tokens,
		Concurrency:       o.Concurrency,
	}
}

// minorityShare returns the fraction of each server's slots that this box may
// grant. A box that sees fewer than half of the boxes may be partitioned from the
// others, so it limits itself to its share.
func minorityShare(v *membership.View) float64 {
	live, all := v.LiveCount()
	if live*2 >= all {
		return 1
	}
	return float64(live) / float64(all)
}

// schedulerRequest converts a Reserve message of a box.
func schedulerRequest(now time.Time, box string, m *peerpb.Reserve) scheduler.Request {
	r := scheduler.Request{
		ID:           scheduler.ID{Box: box, Seq: m.GetSeq()},
		Class:        m.GetClass(),
		Organisation: m.GetOrganisation(),
		PromptTokens: int(m.GetPromptTokens()),
		Arrival:      now.Add(-time.Duration(max(0, m.GetWaitedNanos()))),
		PrefixHashes: m.GetPrefix(),
		AvoidServers: m.GetAvoid(),
	}
	if m.GetRemainingNanos() > 0 {
		r.Deadline = now.Add(time.Duration(m.GetRemainingNanos()))
	}
	return r
}

func schedulerCompletion(box string, m *peerpb.Finish) scheduler.Completion {
	return scheduler.Completion{
		ID:                scheduler.ID{Box: box, Seq: m.GetSeq()},
		Result:            scheduler.Result(m.GetResult()),
		PromptTokens:      int(m.GetPromptTokens()),
		OutputTokens:      int(m.GetOutputTokens()),
		TimeToFirstToken:  time.Duration(m.GetFirstTokenNanos()),
		InterTokenLatency: time.Duration(m.GetBetweenNanos()),
	}
}
