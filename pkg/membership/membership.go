// Package membership knows which boxes there are and which of them answer.
//
// The platform's box list is the roster: it lags, and while it is away the last
// one stays in force. Heartbeats between boxes say who answers now. From both
// follows a View, and from a View, by rendezvous hashing, who owns what. No box
// is appointed to anything.
package membership

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats on a link, and FailureTimeout
	// the silence after which a box is not relied on any more.
	HeartbeatInterval = 250 * time.Millisecond
	FailureTimeout    = 1500 * time.Millisecond
	// The same in a fleet beyond MaxFullMeshBoxes, where links are many. A process that
	// dies is noticed by its broken links all the same.
	sparseHeartbeatEvery = time.Second
	sparseDeadAfter      = 3500 * time.Millisecond
	// brokenDeadAfter is the same for a box whose link just broke: long enough to
	// make the link anew, if the box is still there.
	brokenDeadAfter = 300 * time.Millisecond
	// MaxFullMeshBoxes is the largest roster in which every box links to every other.
	MaxFullMeshBoxes = 32
	// ringLinks is the number of links a box keeps in a larger roster, besides
	// those to the owners that it uses.
	ringLinks = 8
)
