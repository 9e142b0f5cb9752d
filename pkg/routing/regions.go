package routing

import "slices"

// Regions is the set of regions in which a request may be served and cached: those that both its
// route and its organisation allow.
type Regions struct{ route, organisation []string }

// Regions returns the regions allowed for an organisation's requests on a route. The organisation
// may be nil.
func (t *Table) Regions(o *Organisation, r *Route) Regions {
	regions := Regions{route: r.Regions}
	if o != nil {
		regions.organisation = o.Regions
	}
	return regions
}

// LimitsRegions reports whether any route or organisation is limited to some regions.
func (t *Table) LimitsRegions() bool { return t.limitsRegions }

func limitsRegions(c Content) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Regions != nil }) ||
		slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.Regions != nil })
}

// AllowsAll reports whether there is no restriction.
func (r Regions) AllowsAll() bool { return r.route == nil && r.organisation == nil }

// Allows reports whether the region is in the set.
func (r Regions) Allows(region string) bool {
	return allows(r.route, region) && allows(r.organisation, region)
}

// AllowsNone reports whether the set is empty, as a list is or the route and the organisation have no allowed region in
// common.
func (r Regions) AllowsNone() bool {
	if r.AllowsAll() {
		return false
	}
	return !slices.ContainsFunc(slices.Concat(r.route, r.organisation), r.Allows)
}

// allows reports whether a list of allowed regions, nil for all, includes the region.
func allows(list []string, region string) bool {
	return list == nil || slices.Contains(list, region)
}

// Filter returns the servers in allowed regions; regionOf maps a hall to its region.
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
