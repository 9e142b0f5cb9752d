package loadshare

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/loadshare/loadpb"
)

// usageShare is the part of a message that usages may take beside timings. Usages that do not fit are
// not sent, while timings are sent in turn.
const usageShare = 0.75

// statisticsOverhead is the size of a datagram of statistics without its lists and the names of box
// and hall.
const statisticsOverhead = 64

// packStatistics encodes what fits into a number of bytes: the largest usages in up to usageShare of
// them, or in what the timings leave, and timings in the rest, from where the rotation stopped. It
// returns the message and the keys of its timings.
func packStatistics(hall string, usages receivedUsages, list timings, r *rotation, bytes int, now time.Time) (*loadpb.Statistics, []balancer.ServerKey) {
	m := &loadpb.Statistics{Hall: hall}
	bytes -= statisticsOverhead
	used := packUsages(m, usages, max(int(usageShare*float64(bytes)), bytes-timingsSize(list)), now)
	keys := r.takeBytes(list, bytes-used)
	for _, key := range keys {
		appendTiming(m, key, list[key])
	}
	return m, keys
}

// packUsages adds the largest usages that fit to a message. It returns their size.
func packUsages(m *loadpb.Statistics, usages receivedUsages, bytes int, now time.Time) (used int) {
	if len(usages.list) == 0 {
		return 0
	}
	m.UsageCut = usages.cut
	encoded := encodeUsages(usages.largest().list)
	for i, u := range encoded {
		size := 2 + proto.Size(u)
		if used+size > bytes {
			encoded, m.UsageCut = encoded[:i], true
			break
		}
		used += size
	}
	m.Usage, m.UsageAgeMs = encoded, encodeAge(now.Sub(usages.reportedAt))
	return used
}

// timingSize returns the encoded size of a timing.
func timingSize(t balancer.Timing) int {
	return 4 + protowire.SizeVarint(uint64(encodeMS(t.ElapsedMS))) + protowire.SizeVarint(uint64(encodeMS(t.ExpectedMS)))
}

func timingsSize(list timings) (size int) {
	for _, t := range list {
		size += timingSize(t)
	}
	return size
}

// takeBytes is like take, for the timings that fit into a number of bytes.
func (r *rotation) takeBytes(list timings, bytes int) []balancer.ServerKey {
	keys := slices.Sorted(maps.Keys(list))
	start, _ := slices.BinarySearch(keys, r.next)
	keys = slices.Concat(keys[start:], keys[:start])
	for i, key := range keys {
		if bytes -= timingSize(list[key]); bytes < 0 || i == maxTimingsPerDatagram*maxStatisticsDatagrams {
			r.next = key
			return keys[:i]
		}
	}
	return keys
}
