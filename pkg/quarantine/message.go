package quarantine

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/quarantine/quarantinepb"
)

// maxMessageBytes limits the items of a message, leaving room for the envelope of the datagram.
const maxMessageBytes = datagram.MaxDatagramBytes - 512

// MalformedItemError reports that an item received from another box is malformed.
type MalformedItemError struct{ Reason string }

func (e *MalformedItemError) Error() string {
	return "malformed evidence item: " + e.Reason + ": check the version of the sending box"
}

// encodeItem encodes an item. Crash times are sent as ages because the clocks of boxes may differ.
func encodeItem(i *Item, now time.Time) *quarantinepb.Item {
	p := &quarantinepb.Item{
		Outline: uint64(i.Fingerprint.Outline), Digest: i.Fingerprint.Digest[:], Trials: uint32(i.Trials), Stored: i.Stored,
		Part: i.Part, Depth: uint32(i.Depth),
	}
	if !i.SoundAt.IsZero() {
		p.SoundAge = uint32(max(0, now.Sub(i.SoundAt).Milliseconds())) + 1
	}
	for incarnation, at := range i.Crashes {
		p.Ended = append(p.Ended, uint64(incarnation))
		p.Ages = append(p.Ages, uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32)))
	}
	for incarnation := range i.Excused {
		p.Excused = append(p.Excused, uint64(incarnation))
	}
	return p
}

func decodeItem(p *quarantinepb.Item, received time.Time) (*Item, error) {
	switch {
	case len(p.GetDigest()) != digestBytes:
		return nil, &MalformedItemError{Reason: fmt.Sprintf("digest has %d bytes", len(p.GetDigest()))}
	case len(p.GetEnded()) != len(p.GetAges()):
		return nil, &MalformedItemError{Reason: fmt.Sprintf("%d crashes but %d ages", len(p.GetEnded()), len(p.GetAges()))}
	}
	f := Fingerprint{Outline: Outline(p.GetOutline())}
	copy(f.Digest[:], p.GetDigest())
	most := maxCrashes
	if f.IsPart() {
		most = maxPartCrashes
	}
	if len(p.GetEnded()) > most || len(p.GetExcused()) > maxCrashes {
		return nil, &MalformedItemError{Reason: fmt.Sprintf("more than %d crashes or %d excused incarnations", most, maxCrashes)}
	}
	i := newItem(f)
	i.Trials, i.Stored = int(p.GetTrials()), p.GetStored()
	if f.IsPart() {
		i.describe(p.GetPart(), int(p.GetDepth()))
		if p.GetSoundAge() > 0 {
			i.SoundAt = received.Add(-time.Duration(p.GetSoundAge()-1) * time.Millisecond)
		}
	}
	for n, incarnation := range p.GetEnded() {
		age := time.Duration(p.GetAges()[n]) * time.Millisecond
		i.Crashes[IncarnationHash(incarnation)] = received.Add(-age)
		if age >= recordedAge {
			i.Recorded[IncarnationHash(incarnation)] = true
		}
		if age >= recordedAge+suspectTTL && !i.Stored && len(p.GetEnded()) < certainThreshold {
			delete(i.Crashes, IncarnationHash(incarnation))
		}
	}
	for _, incarnation := range p.GetExcused() {
		i.Excused[IncarnationHash(incarnation)] = true
	}
	return i, nil
}

// encodeItems packs items into as few messages as possible.
func encodeItems(items []Item, now time.Time) []*quarantinepb.Evidence {
	var list []*quarantinepb.Evidence
	room := 0
	for n := range items {
		p := encodeItem(&items[n], now)
		size := proto.Size(p) + itemOverheadBytes
		if size > room {
			list = append(list, &quarantinepb.Evidence{})
			room = maxMessageBytes
		}
		last := list[len(list)-1]
		last.Items = append(last.Items, p)
		room -= size
	}
	return list
}

// itemOverheadBytes is the framing overhead of an item in a message.
const itemOverheadBytes = 4
