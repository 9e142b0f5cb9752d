package fleetlimit

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

const (
	// warmUpSenders is the number of boxes that may send to a server that is warming up: two, so that it
	// still gets requests if one of them is down.
	warmUpSenders = 2
	// warmUpShare is the fraction of the warm-up limit that the senders use together. The rest is headroom
	// for boxes that do not know yet that the server is warming up, or that have an older member list.
	warmUpShare = 0.5
	// warmUpSettleTime is how long a box must have known the other boxes before it sends to servers that
	// are warming up, so that the senders that it replaces have learned of it.
	warmUpSettleTime = 5 * time.Second
	// signalledShare is the fraction of a signalled limit that the senders use together. The rest is
	// headroom for requests in flight when the limit is signalled, and for boxes with different member lists.
	signalledShare = 0.8
	// minSignalledSenders is the minimum number of senders for a signalled limit. One more sender is
	// added for each requestsPerSecondPerSender of the limit.
	minSignalledSenders        = 4
	requestsPerSecondPerSender = 2
	// signalledBurstTime is the time over which a sender may accumulate requests in addition to one, so
	// that requests which arrive close together are not sent to other servers.
	signalledBurstTime = 500 * time.Millisecond
)

// Limit is the request rate that a server accepts from all boxes together, and how they share it. The
// zero Limit means no limit.
type Limit struct {
	// PerSecond is the rate of all senders together, in requests per second.
	PerSecond float64
	// MaxSenders is the maximum number of boxes that may send.
	MaxSenders int
	// SettleTime is how long a box must have known the other boxes before it may send.
	SettleTime time.Duration
	// BurstTime is the time over which a sender may accumulate requests in addition to one.
	BurstTime time.Duration
	// StaggerStart is set if the server already got requests before the limit applied: senders start with a
	// random fraction of a request accumulated, so that they do not all send at once.
	StaggerStart bool
}

// WarmUpLimit returns the limit of a server that is warming up.
func WarmUpLimit(w routing.WarmUp) Limit {
	return Limit{PerSecond: w.PerSecond * warmUpShare, MaxSenders: warmUpSenders, SettleTime: warmUpSettleTime}
}

// SignalledLimit returns the limit of a server that signals a rate in its answers.
func SignalledLimit(perSecond float64) Limit {
	return Limit{PerSecond: perSecond * signalledShare, MaxSenders: minSignalledSenders + int(min(perSecond, maxRequestsPerSecond)/requestsPerSecondPerSender), BurstTime: signalledBurstTime, StaggerStart: true}
}

// maxRequestsPerSecond caps the rate from which the number of senders is derived.
const maxRequestsPerSecond = 1 << 20

// Stricter returns the lower of two limits; the zero Limit is the highest.
func (l Limit) Stricter(other Limit) Limit {
	if l.IsZero() || !other.IsZero() && other.PerSecond < l.PerSecond {
		return other
	}
	return l
}

// IsZero reports whether there is no limit.
func (l Limit) IsZero() bool { return l == Limit{} }

// ratePerSender returns the rate of one sender, in requests per second.
func (l Limit) ratePerSender(boxes int) float64 {
	return l.PerSecond / float64(max(1, min(l.MaxSenders, boxes)))
}

// burstSize returns how many requests one sender may send at once.
func (l Limit) burstSize(boxes int) int { return 1 + int(l.ratePerSender(boxes)*l.BurstTime.Seconds()) }
