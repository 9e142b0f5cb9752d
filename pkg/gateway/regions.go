package gateway

import (
	"strings"
	"time"

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/routing"
)

// candidates are the servers to which the request may go, by a view of the directory.
func (x *exchange) candidates(v *directory.View, now time.Time) []routing.Server {
	return x.allowed(v.Candidates(x.service.Name, now, x.gateway.Limits.LostServerGrace))
}

// allowed returns those of some servers that stand in a region where the request may be served and
// cached. What they have cached may be taken from them; from others it may not.
func (x *exchange) allowed(servers []routing.Server) []routing.Server {
	return x.regions().Filter(servers, x.gateway.RegionOf)
}

func (x *exchange) regions() routing.Regions {
	return x.view.Table.Regions(x.organisation, x.route)
}

// checkRegions refuses a request that no region may serve.
func (x *exchange) checkRegions() error {
	if !x.regions().AllowsNone() {
		return nil
	}
	return &RefusedError{
		Reason: "the route allows the regions " + strings.Join(x.route.Regions, ", ") + ", the organisation only " +
			strings.Join(x.organisation.Regions, ", ") + ": ask the operators to allow one in both",
		RetryAfter: afterNotReady,
	}
}
