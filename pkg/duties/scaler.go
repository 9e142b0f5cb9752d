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

// Service is what is known of one whose servers can be ordered.
type Service struct {
	Name    string
	Offer   autoscale.Offer
	Servers []autoscale.Server
	Load    autoscale.Load
}

// ScalerDeps are what a Scaler is built on.
type ScalerDeps struct {
	// Services lists those whose servers can be ordered, as they are now.
	Services func(now time.Time) []Service
	Policy   autoscale.Policy
}

// Scaler orders servers.
type Scaler struct {
	ScalerDeps
	calls  *caller
	cloud  Cloud
	logger log.Logger

	planners guarded[map[string]*autoscale.Planner]
	books    guarded[map[string]autoscale.HallCounts]
	status   guarded[map[string]autoscale.Status]
	retryAt  time.Time
	// logged is when the state of a service was last written to the log.
	logged map[string]time.Time
}

// logEvery is how often the state of a service is logged though nothing is ordered.
const logEvery = 5 * time.Second

// NewScaler returns a scaler that has ordered nothing yet.
func NewScaler(d ScalerDeps) *Scaler {
	return &Scaler{ScalerDeps: d, logged: make(map[string]time.Time)}
}

func (s *Scaler) attach(calls *caller, cloud Cloud, logger log.Logger) {
	s.calls, s.cloud, s.logger = calls, cloud, logger
}

// Ordered are what is ordered, by service.
func (s *Scaler) Ordered() map[string]autoscale.HallCounts {
	var books map[string]autoscale.HallCounts
	s.books.with(func(b *map[string]autoscale.HallCounts) { books = maps.Clone(*b) })
	return books
}

// Status tells what the last plans rested on.
func (s *Scaler) Status() map[string]autoscale.Status {
	var status map[string]autoscale.Status
	s.status.with(func(x *map[string]autoscale.Status) { status = maps.Clone(*x) })
	return status
}

// take goes on from the books of the holder before.
func (s *Scaler) take(books map[string]autoscale.HallCounts) {
	s.books.with(func(b *map[string]autoscale.HallCounts) { *b = maps.Clone(books) })
	s.planners.with(func(p *map[string]*autoscale.Planner) { *p = nil })
}

// step plans each service and makes the orders.
func (s *Scaler) step(ctx context.Context) {
	now := clock.Now()
	if now.Before(s.retryAt) {
		return
	}
	for _, service := range s.Services(now) {
		p := s.planner(service.Name, now)
		orders, status := p.Plan(service.Offer, service.Servers, service.Load, now)
		s.log(service.Name, len(orders) > 0, status, now)
		s.placeOrders(ctx, p, orders)
		s.note(service.Name, p.Ordered(), status)
	}
}

func (s *Scaler) planner(service string, now time.Time) *autoscale.Planner {
	books := s.Ordered()
	var planner *autoscale.Planner
	s.planners.with(func(p *map[string]*autoscale.Planner) {
		if *p == nil {
			*p = make(map[string]*autoscale.Planner)
		}
		if (*p)[service] == nil {
			(*p)[service] = autoscale.NewPlanner(service, s.Policy, books[service], now)
		}
		planner = (*p)[service]
	})
	return planner
}

// placeOrders makes orders. Those after one that failed are planned again.
func (s *Scaler) placeOrders(ctx context.Context, p *autoscale.Planner, orders []autoscale.Order) {
	failed := false
	for _, o := range orders {
		if failed {
			p.Undo(o)
			continue
		}
		err := s.placeOrder(ctx, p, o)
		var none *NoCapacityError
		failed = err != nil && !errors.As(err, &none)
	}
	if failed {
		s.retryAt = clock.Now().Add(retryAfter)
	}
}

func (s *Scaler) placeOrder(ctx context.Context, p *autoscale.Planner, o autoscale.Order) error {
	begun := clock.Now()
	by, err := s.calls.call(ctx, func(ctx context.Context, by Caller) error {
		return s.cloud.OrderServers(ctx, by, o)
	})
	now := clock.Now()
	var none *NoCapacityError
	outcome := "ordered"
	switch {
	case errors.As(err, &none):
		p.MarkUnavailable(o, now)
		outcome = "ordered elsewhere"
	case err != nil:
		p.Undo(o)
		outcome = "planned again"
	}
	_ = level.Info(s.logger).Log("msg", "servers ordered", "service", o.Service, "hall", o.Hall, "kind", o.Kind, "count", o.Count, "before", o.Previous,
		"fence", by.Fence, "after", now.Sub(begun), "outcome", outcome, "err", err)
	return err
}

func (s *Scaler) note(service string, book autoscale.HallCounts, status autoscale.Status) {
	s.books.with(func(b *map[string]autoscale.HallCounts) {
		if *b == nil {
			*b = make(map[string]autoscale.HallCounts)
		}
		(*b)[service] = book
	})
	s.status.with(func(x *map[string]autoscale.Status) {
		if *x == nil {
			*x = make(map[string]autoscale.Status)
		}
		(*x)[service] = status
	})
}

// log tells what a plan rested on: with each order, and now and then without.
func (s *Scaler) log(service string, ordered bool, status autoscale.Status, now time.Time) {
	if !ordered && now.Sub(s.logged[service]) < logEvery {
		return
	}
	s.logged[service] = now
	_ = level.Info(s.logger).Log("msg", "servers planned", "service", service, "speed", math.Round(status.Load.PrefillRate), "busy", fmt.Sprintf("%.1f", status.Load.BusyServers), "known", status.Load.Known,
		"peak", fmt.Sprintf("%.1f", status.ForecastPeak), "wanted", text(status.Targets), "ready", text(status.Ready), "leaving", text(status.Leaving))
}

// text writes the servers of each hall as "hall:on demand+spot".
func text(b autoscale.HallCounts) string {
	var list []string
	for _, hall := range slices.Sorted(maps.Keys(b)) {
		list = append(list, fmt.Sprintf("%s:%d+%d", hall, b[hall][autoscale.OnDemand], b[hall][autoscale.Spot]))
	}
	return strings.Join(list, ",")
}
