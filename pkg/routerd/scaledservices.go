package routerd

import (
	"time"

	"headhill.example/headhill/pkg/autoscale"
	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/duties"
	"headhill.example/headhill/pkg/routing"
)

// scalableServices returns the services whose servers can be scaled, with their current load.
func (f *fleetDuties) scalableServices(now time.Time) []duties.Service {
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
		scaled, limited := f.autoscaleServers(servers, now)
		list = append(list, duties.Service{
			Name: s.Name, Offer: offerFor(s.Scaling), Servers: scaled, Load: loadFor(s, f.balancer.Workload(s.Name, servers, now), len(servers), limited),
		})
	}
	return list
}

func offerFor(s *routing.Scaling) autoscale.Offer {
	return autoscale.Offer{MinServers: s.MinServers, MaxServers: s.MaxServers, Boot: s.Boot, SpotPrice: s.SpotPrice, Prices: s.Prices}
}

// autoscaleServers converts the servers of a service for the autoscaler and counts the rate limited
// ones that are not leaving. A server may signal that it is leaving before its store entry does.
func (f *fleetDuties) autoscaleServers(servers []routing.Server, now time.Time) (list []autoscale.Server, limited int) {
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

// loadFor expresses the load of a service as the number of fully busy servers, by prefill work or
// by occupied slots, whichever is higher. Rate limited servers count as busy.
func loadFor(s routing.Service, w balancer.Workload, servers, limited int) autoscale.Load {
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
