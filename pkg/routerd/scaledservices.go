package routerd

import (
	"time"

	"headhill.example/headhill/pkg/autoscale"
	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/duties"
	"headhill.example/headhill/pkg/routing"
)

// services are those whose servers can be ordered, as they are now.
func (f *fleetDuties) services(now time.Time) []duties.Service {
	v := f.directory.View()
	if v.Table == nil {
		return nil
	}
	var list []duties.Service
	for _, s := range v.Table.Services() {
		if s.Scaling == nil {
			continue
		}
		servers := v.Listed(s.Name)
		scaled, limited := f.scaledServers(servers, now)
		list = append(list, duties.Service{
			Name: s.Name, Offer: offerOf(s.Scaling), Servers: scaled, Load: loadOf(s, f.balancer.Workload(s.Name, servers, now), len(servers), limited),
		})
	}
	return list
}

func offerOf(s *routing.Scaling) autoscale.Offer {
	return autoscale.Offer{MinServers: s.MinServers, MaxServers: s.MaxServers, Boot: s.Boot, SpotPrice: s.SpotPrice, Prices: s.Prices}
}

// scaledServers are a service's servers as the planner counts them, and how many of those that stay are
// limited. A server may signal that it leaves before its entry says so.
func (f *fleetDuties) scaledServers(servers []routing.Server, now time.Time) (list []autoscale.Server, limited int) {
	for i := range servers {
		s := &servers[i]
		state := f.balancer.SignalsOf(s, now)
		k := autoscale.OnDemand
		if s.Spot {
			k = autoscale.Spot
		}
		leaving := s.Leaving || state.Leaving
		if state.Limit.Set && !leaving {
			limited++
		}
		list = append(list, autoscale.Server{Hall: s.Hall, Kind: k, Leaving: leaving})
	}
	return list, limited
}

// loadOf is how many servers would be busy all the time: with prefills, or with places taken,
// whichever are more. Limited ones are as good as busy.
func loadOf(s routing.Service, w balancer.Workload, servers, limited int) autoscale.Load {
	if servers == 0 || w.Slots == 0 {
		return autoscale.Load{}
	}
	l := autoscale.Load{BusyServers: float64(w.Running) * float64(servers) / float64(w.Slots), Known: true}
	if s.Engine {
		if w.EngineSpeed == 0 {
			return autoscale.Load{}
		}
		l.BusyServers, l.PrefillRate = max(l.BusyServers, w.PrefillDemand/w.EngineSpeed), w.EngineSpeed
	}
	l.BusyServers += float64(limited)
	return l
}
