package scheduler

import "time"

// RunningRequest is a request that runs on a server.
type RunningRequest struct {
	Request
	Server string
}

// Sync makes the scheduler hold for one entry box exactly what the box says it
// holds. Waiting requests keep their arrival; what the scheduler granted and the
// box still waits for is queued again.
func (s *Scheduler) Sync(now time.Time, box string, waiting []Request, running []RunningRequest) {
	wanted := make(map[ID]bool, len(waiting)+len(running))
	runs := make(map[ID]bool, len(running))
	for _, r := range waiting {
		wanted[r.ID] = true
	}
	for _, r := range running {
		wanted[r.ID] = true
		runs[r.ID] = true
	}
	for id, r := range s.waiting {
		if id.Box == box && (!wanted[id] || runs[id]) {
			s.drop(r)
		}
	}
	for id, r := range s.granted {
		if id.Box == box && !runs[id] {
			s.release(now, r)
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

// DropWaiting forgets an entry box's waiting requests: its link broke, and it
// registers again when it is back.
func (s *Scheduler) DropWaiting(box string) {
	for id, r := range s.waiting {
		if id.Box == box {
			s.drop(r)
		}
	}
}
