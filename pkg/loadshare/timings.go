package loadshare

import (
	"maps"
	"math"
	"slices"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/loadshare/loadpb"
)

const (
	// maxTimingsPerDatagram and maxStatisticsDatagrams bound what one box sends at a time. With
	// more servers, successive messages cover different ones.
	maxTimingsPerDatagram  = 100
	maxStatisticsDatagrams = 4
	// timingTTL is how long a received timing is kept. It decays with its age. With 7,200 servers,
	// each is sent every 18 s.
	timingTTL = 30 * time.Second
	// minTimingMS is the expected time below which a timing is dropped.
	minTimingMS = 1.0
)

type timings = map[balancer.ServerKey]balancer.Timing

type receivedTiming struct {
	balancer.Timing
	receivedAt time.Time
}

// timingTable holds the latest timings by sender.
type timingTable map[string]map[balancer.ServerKey]receivedTiming

// record replaces the timings of the listed servers.
func (t timingTable) record(sender string, list timings, now time.Time) {
	if len(list) == 0 {
		return
	}
	if t[sender] == nil {
		t[sender] = make(map[balancer.ServerKey]receivedTiming, len(list))
	}
	for key, timing := range list {
		t[sender][key] = receivedTiming{timing, now}
	}
}

// addTo adds the timings, as decayed since they were received, to a total. It removes those that
// have expired, and omits negligible ones.
func (t timingTable) addTo(total timings, now time.Time) {
	for sender, list := range t {
		for key, timing := range list {
			age := now.Sub(timing.receivedAt)
			if age > timingTTL {
				delete(list, key)
				continue
			}
			if decayed := timing.After(age); decayed.ExpectedMS >= minTimingMS {
				total[key] = total[key].Plus(decayed)
			}
		}
		if len(list) == 0 {
			delete(t, sender)
		}
	}
}

// rotation selects which timings are sent when there are too many for one second.
type rotation struct{ next balancer.ServerKey }

// take returns the keys of the timings to send now, in the order of the keys, from where the last
// call stopped.
func (r *rotation) take(list timings) []balancer.ServerKey {
	const limit = maxTimingsPerDatagram * maxStatisticsDatagrams
	keys := slices.Sorted(maps.Keys(list))
	if len(keys) <= limit {
		return keys
	}
	start, _ := slices.BinarySearch(keys, r.next)
	selected := slices.Concat(keys[start:], keys[:start])
	r.next = selected[limit]
	return selected[:limit]
}

// encodeTimings encodes the timings of some servers as messages that each fit into a datagram.
func encodeTimings(hall string, keys []balancer.ServerKey, list timings) []*loadpb.Statistics {
	var messages []*loadpb.Statistics
	for chunk := range slices.Chunk(keys, maxTimingsPerDatagram) {
		m := &loadpb.Statistics{Hall: hall}
		for _, key := range chunk {
			appendTiming(m, key, list[key])
		}
		messages = append(messages, m)
	}
	return messages
}

func appendTiming(m *loadpb.Statistics, key balancer.ServerKey, t balancer.Timing) {
	m.Servers = append(m.Servers, uint32(key))
	m.ElapsedMs = append(m.ElapsedMs, encodeMS(t.ElapsedMS))
	m.ExpectedMs = append(m.ExpectedMs, encodeMS(t.ExpectedMS))
}

func encodeMS(ms float64) uint32 { return uint32(math.Round(min(max(ms, 0), maxValue))) }

// decodeTimings decodes the timings of a message. It returns false if the lengths of its lists
// differ.
func decodeTimings(m *loadpb.Statistics) (timings, bool) {
	elapsed, expected := m.GetElapsedMs(), m.GetExpectedMs()
	if len(elapsed) != len(m.GetServers()) || len(expected) != len(m.GetServers()) {
		return nil, false
	}
	list := make(timings, len(elapsed))
	for i, key := range m.GetServers() {
		list[balancer.ServerKey(key)] = balancer.Timing{ElapsedMS: float64(clamp(elapsed[i])), ExpectedMS: float64(clamp(expected[i]))}
	}
	return list, true
}

// without returns the timings minus those of one sender.
func without(total, part timings) timings {
	rest := make(timings, len(total))
	for key, t := range total {
		if others := t.Minus(part[key]); others.ExpectedMS >= minTimingMS {
			rest[key] = others
		}
	}
	return rest
}
