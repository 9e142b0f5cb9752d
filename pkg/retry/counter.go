package retry

import "time"

const (
	// slotsPerWindow is the number of time slots in a window. Requests of the slots at the two ends of a window
	// do not count.
	slotsPerWindow = 80
	// retrySlots covers all windows that contain the current time, requestSlots half a window more.
	retrySlots   = slotsPerWindow + 1
	requestSlots = retrySlots + slotsPerWindow/2
	// centeredWeight is the weight of the requests of the window centered on the start of a window, against those
	// of the window itself so far. The former allow many retries at once, the latter are known sooner after a
	// start.
	centeredWeight = 0.5
)

// counter counts the requests and the sent retries of a service in time slots, the newest first.
type counter struct {
	start    time.Time
	requests [requestSlots]uint32
	retries  [retrySlots]uint32
	// charged is the number of retries that are charged and neither sent nor released.
	charged uint32
}

// advance moves the slots on to now.
func (c *counter) advance(now time.Time, slot time.Duration) {
	if c.start.IsZero() || slot <= 0 {
		c.start = now
		return
	}
	n := int(now.Sub(c.start) / slot)
	if n <= 0 {
		return
	}
	c.start = c.start.Add(time.Duration(n) * slot)
	shift(c.requests[:], n)
	shift(c.retries[:], n)
}

// room returns how many further retries the ratio allows in each window that contains the current time, less
// those that are charged. It may be negative.
func (c *counter) room(ratio float64) float64 {
	var before [requestSlots + 1]float64
	for n, requests := range c.requests {
		before[n+1] = before[n] + float64(requests)
	}
	room, retries := 0.0, float64(c.charged)
	for n := range retrySlots {
		// The window starts within slot n, so only slots that it covers wholly count for the requests.
		retries += float64(c.retries[n])
		own := before[n]
		centered := before[n+slotsPerWindow/2] - before[max(0, n+1-slotsPerWindow/2)]
		left := ratio*((1-centeredWeight)*own+centeredWeight*centered) - retries
		if n == 0 || left < room {
			room = left
		}
	}
	return room
}

// release returns the charge of a retry, unless the counts were reset since.
func (c *counter) release() {
	if c.charged > 0 {
		c.charged--
	}
}

func shift(list []uint32, n int) {
	n = min(n, len(list))
	copy(list[n:], list[:len(list)-n])
	clear(list[:n])
}

func sum(list []uint32) int {
	total := 0
	for _, v := range list {
		total += int(v)
	}
	return total
}
