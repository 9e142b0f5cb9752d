package scheduler

import "time"

// RunningRequest is a request that is running on a server.
type RunningRequest struct {
	Request
	Server string
}

// Sync replaces the scheduler's state for one entry box by the requests that the box
// reports. Waiting requests keep their arrival time. A request that was granted but that
// the box reports as waiting is queued again.
func (s *Scheduler) Sync(now time.Time, box string, waiting []Request, running []RunningRequest) {
	reportedIDs := make(map[ID]bool, len(waiting)+len(running))
	runningIDs := make(map[ID]bool, len(running))
	for _, r := range waiting {
		reportedIDs[r.ID] = true
	}
	for _, r := range running {
		reportedIDs[r.ID] = true
		runningIDs[r.ID] = true
	}
	for id, r := range s.waiting {
		if id.Box == box && (!reportedIDs[id] || runningIDs[id]) {
			s.dequeue(r)
		}
	}
	for id, r := range s.granted {
		if id.Box == box && !runningIDs[id] {
			s.releaseSlot(now, r)
		}
	}
	for _, r := range running {
		s.RegisterRunning(now, r.Request, r.Server)
	}
	for _, r := range waiting {
		s.Register(now, r)
	}
	s.dispatch(now)
}

// DropWaiting removes the waiting requests of an entry box whose link broke. The box
// registers them again when it reconnects.
func (s *Scheduler) DropWaiting(box string) {
	for id, r := range s.waiting {
		if id.Box == box {
			s.dequeue(r)
		}
	}
}
