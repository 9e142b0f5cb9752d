package gateway

import (
	"strings"
	"time"

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/routing"
)

// candidates returns the servers in a view to which the request may be sent.
func (x *exchange) candidates(v *directory.View, now time.Time) []routing.Server {
	return x.ofBoundVersion(x.inAllowedRegions(v.Candidates(x.service.Name, now, x.gateway.Limits.LostServerGrace)))
}

// inAllowedRegions returns those of the servers that are in a region where the request may be
// processed and cached. Cached prompts are fetched from these only.
func (x *exchange) inAllowedRegions(servers []routing.Server) []routing.Server {
	return x.allowedRegions().Filter(servers, x.gateway.RegionOf)
}

func (x *exchange) allowedRegions() routing.Regions {
	return x.view.Table.Regions(x.organisation, x.route)
}

// checkRegions refuses a request that may be processed in no region.
func (x *exchange) checkRegions() error {
	if !x.allowedRegions().AllowsNone() {
		return nil
	}
	organisation := "all regions"
	if x.organisation != nil {
		organisation = describeRegions(x.organisation.Regions)
	}
	return &RefusedError{
		Reason:     "the route allows " + describeRegions(x.route.Regions) + ", the organisation " + organisation + ": ask the operators to allow one in both",
		RetryAfter: notReadyRetryAfter,
	}
}

// describeRegions describes a list of allowed regions, nil for all.
func describeRegions(list []string) string {
	switch {
	case list == nil:
		return "all regions"
	case len(list) == 0:
		return "no region"
	}
	return "the regions " + strings.Join(list, ", ")
}
