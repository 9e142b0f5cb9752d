package routing

import "slices"

// Regions are those in which a request may be served and cached: the ones that its route allows,
// and among them those that its organisation does.
type Regions struct{ route, organisation []string }

// Regions are those of an organisation's requests on a route. The organisation may be nil.
func (t *Table) Regions(o *Organisation, r *Route) Regions {
	regions := Regions{route: r.Regions}
	if o != nil {
		regions.organisation = o.Regions
	}
	return regions
}

// Any tells whether all regions may serve.
func (r Regions) Any() bool { return len(r.route) == 0 && len(r.organisation) == 0 }

// Has tells whether a region may serve.
func (r Regions) Has(region string) bool {
	return allows(r.route, region) && allows(r.organisation, region)
}

// None tells whether no region at all may serve, as what the route allows and what the
// organisation allows have none in common.
func (r Regions) None() bool {
	return len(r.route) > 0 && len(r.organisation) > 0 && !slices.ContainsFunc(r.route, r.Has)
}

func allows(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}

// Within returns those of some servers that stand where a request may be served; regionOf tells the
// region of a hall.
func (r Regions) Within(servers []Server, regionOf func(hall string) string) []Server {
	if r.Any() {
		return servers
	}
	allowed := make([]Server, 0, len(servers))
	for _, s := range servers {
		if r.Has(regionOf(s.Hall)) {
			allowed = append(allowed, s)
		}
	}
	return allowed
}
