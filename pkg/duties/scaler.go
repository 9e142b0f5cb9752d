package duties

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/autoscale"
	"headhill.example/headhill/pkg/clock"
)

// Service describes a service whose servers can be ordered.
type Service struct {
	Name    string
	Offer   autoscale.Offer
	Servers []autoscale.Server
	Load    autoscale.Load
}

// ScalerDeps are the dependencies of a Scaler.
type ScalerDeps struct {
	// Services returns the current state of the services whose servers can be ordered.
	Services func(now time.Time) []Service
	Policy   autoscale.Policy
}

// Scaler plans and places orders for servers.
type Scaler struct {
	ScalerDeps
	calls  *fencedCaller
	cloud  Cloud
	logger log.Logger

	planners mutexed[map[string]*autoscale.Planner]
	ordered  mutexed[map[string]autoscale.HallCounts]
	status   mutexed[map[string]autoscale.Status]
	retryAt  time.Time
	// lastLogged is when the plan of a service was last logged.
	lastLogged map[string]time.Time
}

// logInterval is the interval at which a plan without orders is logged.
const logInterval = 5 * time.Second

// NewScaler returns a Scaler without any orders.
func NewScaler(d ScalerDeps) *Scaler {
	return &Scaler{ScalerDeps: d, lastLogged: make(map[string]time.Time)}
}

func (s *Scaler) attach(calls *fencedCaller, cloud Cloud, logger log.Logger) {
	s.calls, s.cloud, s.logger = calls, cloud, logger
}

// Ordered returns the ordered counts by service.
func (s *Scaler) Ordered() map[string]autoscale.HallCounts {
	var ordered map[string]autoscale.HallCounts
	s.ordered.with(func(byService *map[string]autoscale.HallCounts) { ordered = maps.Clone(*byService) })
	return ordered
}

// Status returns the last plans by service.
func (s *Scaler) Status() map[string]autoscale.Status {
	var status map[string]autoscale.Status
	s.status.with(func(byService *map[string]autoscale.Status) { status = maps.Clone(*byService) })
	return status
}

// restore loads the ordered counts of the previous holder.
func (s *Scaler) restore(ordered map[string]autoscale.HallCounts) {
	s.ordered.with(func(byService *map[string]autoscale.HallCounts) { *byService = maps.Clone(ordered) })
	s.planners.with(func(p *map[string]*autoscale.Planner) { *p = nil })
}

// step plans each service and places the resulting orders.
func (s *Scaler) step(ctx context.Context) {
	now := clock.Now()
	if now.Before(s.retryAt) {
		return
	}
	for _, service := range s.Services(now) {
		p := s.planner(service.Name, now)
		orders, status := p.Plan(service.Offer, service.Servers, service.Load, now)
		s.logPlan(service.Name, len(orders) > 0, status, now)
		s.placeOrders(ctx, p, orders)
		s.recordResult(service.Name, p.Ordered(), status)
	}
}

func (s *Scaler) planner(service string, now time.Time) *autoscale.Planner {
	ordered := s.Ordered()
	var planner *autoscale.Planner
	s.planners.with(func(p *map[string]*autoscale.Planner) {
		if *p == nil {
			*p = make(map[string]*autoscale.Planner)
		}
		if (*p)[service] == nil {
			(*p)[service] = autoscale.NewPlanner(service, s.Policy, ordered[service], now)
		}
		planner = (*p)[service]
	})
	return planner
}

// placeOrders places orders. After a failure the remaining ones are undone, to be planned again.
func (s *Scaler) placeOrders(ctx context.Context, p *autoscale.Planner, orders []autoscale.Order) {
	failed := false
	for _, o := range orders {
		if failed {
			p.Undo(o)
			continue
		}
		err := s.placeOrder(ctx, p, o)
		var noCapacity *NoCapacityError
		failed = err != nil && !errors.As(err, &noCapacity)
	}
	if failed {
		s.retryAt = clock.Now().Add(retryDelay)
	}
}

func (s *Scaler) placeOrder(ctx context.Context, p *autoscale.Planner, o autoscale.Order) error {
	startedAt := clock.Now()
	caller, err := s.calls.call(ctx, func(ctx context.Context, caller Caller) error {
		return s.cloud.OrderServers(ctx, caller, o)
	})
	now := clock.Now()
	var noCapacity *NoCapacityError
	outcome := "ordered"
	switch {
	case errors.As(err, &noCapacity):
		p.MarkUnavailable(o, now)
		outcome = "ordered elsewhere"
	case err != nil:
		p.Undo(o)
		outcome = "planned again"
	}
	_ = level.Info(s.logger).Log("msg", "server order", "service", o.Service, "hall", o.Hall, "kind", o.Kind, "count", o.Count, "before", o.Previous,
		"fence", caller.Fence, "after", now.Sub(startedAt), "outcome", outcome, "err", err)
	return err
}

func (s *Scaler) recordResult(service string, ordered autoscale.HallCounts, status autoscale.Status) {
	s.ordered.with(func(byService *map[string]autoscale.HallCounts) {
		if *byService == nil {
			*byService = make(map[string]autoscale.HallCounts)
		}
		(*byService)[service] = ordered
	})
	s.status.with(func(byService *map[string]autoscale.Status) {
		if *byService == nil {
			*byService = make(map[string]autoscale.Status)
		}
		(*byService)[service] = status
	})
}

// logPlan logs a plan if it has orders or logInterval has passed.
func (s *Scaler) logPlan(service string, hasOrders bool, status autoscale.Status, now time.Time) {
	if !hasOrders && now.Sub(s.lastLogged[service]) < logInterval {
		return
	}
	s.lastLogged[service] = now
	_ = level.Info(s.logger).Log("msg", "servers planned", "service", service, "speed", math.Round(status.Load.PrefillRate), "busy", fmt.Sprintf("%.1f", status.Load.BusyServers), "known", status.Load.Known,
		"peak", fmt.Sprintf("%.1f", status.ForecastPeak), "wanted", formatCounts(status.Targets), "ready", formatCounts(status.Ready), "leaving", formatCounts(status.Leaving))
}

// formatCounts formats the counts of each hall as "hall:on-demand+spot".
func formatCounts(counts autoscale.HallCounts) string {
	var list []string
	for _, hall := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s:%d+%d", hall, counts[hall][autoscale.OnDemand], counts[hall][autoscale.Spot]))
	}
	return strings.Join(list, ",")
}
