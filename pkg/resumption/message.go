package resumption

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/resumption/resumptionpb"
)

// maxMessageBytes limits the records of a message, leaving room for the envelope of the datagram.
const maxMessageBytes = datagram.MaxDatagramBytes - 512

// MalformedRecordError is returned for a record from another box that can't be decoded.
type MalformedRecordError struct{ KeyBytes int }

func (e *MalformedRecordError) Error() string {
	return fmt.Sprintf("malformed record of a stream: a key of %d bytes: check the version of the sending box", e.KeyBytes)
}

func encodeRecord(k Key, o Origin) *resumptionpb.Record {
	return &resumptionpb.Record{Key: k[:], Service: o.Service, Version: o.Version, Ambiguous: o.Ambiguous || o.Uncertain, Uncertain: o.Uncertain}
}

func decodeRecord(p *resumptionpb.Record) (Key, Origin, error) {
	if len(p.GetKey()) != keyBytes {
		return Key{}, Origin{}, &MalformedRecordError{KeyBytes: len(p.GetKey())}
	}
	o := Origin{Service: p.GetService(), Version: p.GetVersion(), Uncertain: p.GetUncertain()}
	o.Ambiguous = p.GetAmbiguous() && !o.Uncertain
	return Key(p.GetKey()), o, nil
}

// batch splits records into messages.
func batch(records []*resumptionpb.Record) (messages []*resumptionpb.Message) {
	size := maxMessageBytes
	for _, r := range records {
		n := proto.Size(r) + 4
		if size+n > maxMessageBytes {
			messages, size = append(messages, &resumptionpb.Message{}), 0
		}
		last := messages[len(messages)-1]
		last.Records = append(last.Records, r)
		size += n
	}
	return messages
}
