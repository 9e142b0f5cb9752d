// Package membership tracks the boxes of the fleet and their liveness.
//
// The roster is the platform's box list. It is eventually consistent, and during an
// outage of the platform the last list read remains in force. Heartbeats between boxes
// determine which of them are live. Both are combined into a View, which assigns
// owners by rendezvous hashing, without leader election.
package membership

import "time"

const (
	// HeartbeatInterval is the time between heartbeats on a link, FailureTimeout the time
	// without heartbeats after which a box is considered dead.
	HeartbeatInterval = 250 * time.Millisecond
	FailureTimeout    = 1500 * time.Millisecond
	// The values for fleets of more than MaxFullMeshBoxes, which have many links. A process
	// that dies is still detected early, as its connections close.
	largeFleetHeartbeatInterval = time.Second
	largeFleetFailureTimeout    = 3500 * time.Millisecond
	// linkDownFailureTimeout replaces the failure timeout once the link to a box has closed.
	// It is long enough to reconnect if the box is still running.
	linkDownFailureTimeout = 300 * time.Millisecond
	// MaxFullMeshBoxes is the size of the largest fleet in which every box connects to every
	// other box.
	MaxFullMeshBoxes = 32
	// neighbourLinks is the number of links per box in a larger fleet, in addition to those
	// to the owners that it uses.
	neighbourLinks = 8
)
