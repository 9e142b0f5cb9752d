package quarantine

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/quarantine/quarantinepb"
)

// messageMost bounds the items of a message, in bytes; a datagram holds the rest of it too.
const messageMost = datagram.MaxDatagramBytes - 512

// MalformedItemError says that an item of another box can't be read.
type MalformedItemError struct{ Reason string }

func (e *MalformedItemError) Error() string {
	return "item of evidence left out: " + e.Reason + ": look which version its sender runs"
}

// encodeItem writes an item. Boxes need not agree on the time of day, so that ends carry ages.
func encodeItem(i *Item, now time.Time) *quarantinepb.Item {
	p := &quarantinepb.Item{
		Outline: uint64(i.Fingerprint.Outline), Digest: i.Fingerprint.Digest[:], Trials: uint32(i.Trials), Stored: i.Stored,
	}
	for life, at := range i.Ends {
		p.Ended = append(p.Ended, uint64(life))
		p.Ages = append(p.Ages, uint32(max(0, now.Sub(at).Milliseconds())))
	}
	for life := range i.Excused {
		p.Excused = append(p.Excused, uint64(life))
	}
	return p
}

func decodeItem(p *quarantinepb.Item, received time.Time) (*Item, error) {
	switch {
	case len(p.GetDigest()) != digestLength:
		return nil, &MalformedItemError{Reason: fmt.Sprintf("a digest of %d bytes", len(p.GetDigest()))}
	case len(p.GetEnded()) != len(p.GetAges()):
		return nil, &MalformedItemError{Reason: fmt.Sprintf("%d ends with %d ages", len(p.GetEnded()), len(p.GetAges()))}
	case len(p.GetEnded()) > endsMost || len(p.GetExcused()) > endsMost:
		return nil, &MalformedItemError{Reason: fmt.Sprintf("more than %d ends", endsMost)}
	}
	f := Fingerprint{Outline: Outline(p.GetOutline())}
	copy(f.Digest[:], p.GetDigest())
	i := newItem(f)
	i.Trials, i.Stored = int(p.GetTrials()), p.GetStored()
	for n, life := range p.GetEnded() {
		i.Ends[IncarnationHash(life)] = received.Add(-time.Duration(p.GetAges()[n]) * time.Millisecond)
	}
	for _, life := range p.GetExcused() {
		i.Excused[IncarnationHash(life)] = true
	}
	return i, nil
}

// encode writes items into as few messages as hold them.
func encode(items []Item, now time.Time) []*quarantinepb.Evidence {
	var list []*quarantinepb.Evidence
	room := 0
	for n := range items {
		p := encodeItem(&items[n], now)
		size := proto.Size(p) + itemFrame
		if size > room {
			list = append(list, &quarantinepb.Evidence{})
			room = messageMost
		}
		last := list[len(list)-1]
		last.Items = append(last.Items, p)
		room -= size
	}
	return list
}

// itemFrame is what a message adds to an item, in bytes.
const itemFrame = 4
