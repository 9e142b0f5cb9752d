package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lostStreams is the number of streams that break off, newStreams that of those that begin later.
	lostStreams, newStreams = 24, 12
	// lateRetry is the pause before a client's retry, after which the routers are in touch again.
	lateRetry = contact + 2*time.Second
)

// playLost kills all routers while servers of two software versions serve side by side. Clients take up the streams
// that broke off, also when the routers are in touch again.
func playLost(r *run) bool {
	f := r.fleet
	for i := range 4 {
		r.startVersion(fmt.Sprintf("i-%d", i+1), "model", []string{"caugiay", "hoalac"}[i%2], []string{"v1", "v2"}[i/2], answerStream)
	}
	f.configure(streamConfig())
	boxes := []*box{f.addBox("edge-caugiay-1", "caugiay"), f.addBox("edge-hoalac-1", "hoalac"), f.addBox("edge-caugiay-2", "caugiay")}
	f.awaitReady()
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	begin := func(n, from int) (list []*stream) {
		for i := range n {
			s := &stream{number: from + i}
			list = append(list, s)
			wg.Go(func() { r.followStream(s, boxes, lateRetry) })
		}
		return list
	}
	streams := begin(lostStreams, 0)
	time.Sleep(2 * time.Second)
	if r.trouble {
		for _, b := range boxes {
			f.kill(b)
		}
		time.Sleep(time.Second)
		for _, b := range boxes {
			f.start(b)
		}
	}
	time.Sleep(contact + time.Second)
	fresh := begin(newStreams, lostStreams)
	wg.Wait()
	done, begun := 0, 0
	for _, s := range streams {
		if s.done {
			done++
		}
		r.note("stream %d: %d tries, complete %t, last event %d, versions of its events %v", s.number, s.tries, s.done, s.last, s.versions)
	}
	for _, s := range fresh {
		if s.last > 0 {
			begun++
		}
	}
	r.note("%d of %d streams went on; %d of %d new ones began", done, lostStreams, begun, newStreams)
	return float64(done)/lostStreams < float64(begun)/newStreams/2
}
