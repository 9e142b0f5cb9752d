package gateway

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
)

const (
	// waitUrgent and waitLeast bound how long those before a request may take the engines, for
	// the most and the least urgent rank, in shortest targets of the service's routes. A request
	// whose turn comes later is too late for its target, and makes the queue longer in which
	// others wait. Ranks between lie evenly, so that a less urgent request is refused well
	// before a more urgent one is.
	waitUrgent = 2.5
	waitLeast  = 0.75
	// placesUrgent and placesLeast are the shares of an engine's places that may be taken for a
	// request of the most and the least urgent rank to go there. An engine without a place
	// preempts what it has begun for what is more urgent, and not always the least urgent of it:
	// the last places are kept for urgent requests.
	placesUrgent = 1.0
	placesLeast  = 0.6
	// comeBackLeast is when a caller comes back at the soonest.
	comeBackLeast = 300 * time.Millisecond
)

// admit refuses a request at once whose turn at the engines would come too late. As engines take
// urgent requests first, and only what is before a request counts, the least urgent are refused
// first. It guards against queues that fill with what is given up in them: with engines for 30 in
// 100 of a load, 168 requests waited in vain in 20 s of played load in place of 2,503, and urgent
// ones were all served (TestOverloadedServiceRefusesLeastUrgent).
func (x *exchange) admit() error {
	if !x.service.Engine {
		return nil
	}
	now := clock.Now()
	servers := x.candidates(x.gateway.Directory.View(), now)
	servers = x.gateway.Balancer.Unconstrained(servers, now)
	if len(servers) == 0 {
		// An outage is waited for.
		return nil
	}
	turn, known := x.gateway.Balancer.EstimateQueue(x.service.Name, x.rank(), len(servers), now)
	most := x.waitMost()
	x.expectedWait, x.keepPlaces = turn.Wait, turn.MoreUrgentSeen
	late := known && most > 0 && turn.Wait > most
	if !late && (turn.Overtakes || x.gateway.Balancer.HasFreeSlot(servers, x.places(), now)) {
		return nil
	}
	after := x.comeBack(turn.Wait)
	_ = level.Info(x.gateway.Logger).Log("msg", "not admitted", "id", x.call.ID, "service", x.service.Name, "rank", x.rank(),
		"late", late, "wait_ms", turn.Wait.Milliseconds(), "most_ms", most.Milliseconds(), "servers", len(servers), "come_back_ms", after.Milliseconds())
	return &RefusedError{Reason: fmt.Sprintf("the engines have work for %s before it, or no place for its rank", turn.Wait.Round(time.Millisecond)), RetryAfter: after}
}

// waitMost is how long those before the request may take the engines.
func (x *exchange) waitMost() time.Duration {
	targets := x.byRank(waitUrgent, waitLeast)
	return time.Duration(targets * float64(x.view.Table.MinFirstEventTarget(x.service.Name)))
}

// places is the share of an engine's places that may be taken for the request to go there. Some
// are kept only where more urgent requests come.
func (x *exchange) places() float64 {
	if !x.keepPlaces {
		return placesUrgent
	}
	return x.byRank(placesUrgent, placesLeast)
}

// byRank is a value for the request's rank between those of the most and the least urgent one.
func (x *exchange) byRank(urgent, least float64) float64 {
	ranks := x.view.Table.LeastUrgentRank()
	if ranks == 0 {
		return urgent
	}
	return urgent - (urgent-least)*float64(x.rank())/float64(ranks)
}

// comeBack is when to come back to engines that have work for some time: once they have done it,
// and no later than a third of the caller's time from now.
func (x *exchange) comeBack(wait time.Duration) time.Duration {
	return jitter(min(max(wait, comeBackLeast), clock.Until(x.deadline)/(2*stayAwayMost)))
}
