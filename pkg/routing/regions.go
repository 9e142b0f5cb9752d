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

// AllowsAll tells whether all regions may serve.
func (r Regions) AllowsAll() bool { return len(r.route) == 0 && len(r.organisation) == 0 }

// Allows tells whether a region may serve.
func (r Regions) Allows(region string) bool {
	return allows(r.route, region) && allows(r.organisation, region)
}

// AllowsNone tells whether no region at all may serve, as what the route allows and what the
// organisation allows have none in common.
func (r Regions) AllowsNone() bool {
	return len(r.route) > 0 && len(r.organisation) > 0 && !slices.ContainsFunc(r.route, r.Allows)
}

func allows(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}

// Filter returns those of some servers that stand where a request may be served; regionOf tells the
// region of a hall.
func (r Regions) Filter(servers []Server, regionOf func(hall string) string) []Server {
	if r.AllowsAll() {
		return servers
	}
	allowed := make([]Server, 0, len(servers))
	for _, s := range servers {
		if r.Allows(regionOf(s.Hall)) {
			allowed = append(allowed, s)
		}
	}
	return allowed
}
