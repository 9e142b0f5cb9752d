package objlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Record is one entry of a log.
type Record struct {
	// ID is unique to this attempt to append, so that its writer can find it.
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// segment is a run of records: the content of the head object, and of the
// archive objects that it leaves behind.
type segment struct {
	// Number counts the segments from 1.
	Number int `json:"number"`
	// First is the index of the first record. Indices start at 1.
	First uint64 `json:"first"`
	// Sealed segments take no more records.
	Sealed  bool     `json:"sealed,omitempty"`
	Records []Record `json:"records"`
}

// next is the index after the segment's last record.
func (s *segment) next() uint64 { return s.First + uint64(len(s.Records)) }

// holdsAt tells whether records stand in the segment from an index on, in their order.
func (s *segment) holdsAt(index uint64, records []Record) bool {
	if index < s.First || index+uint64(len(records)) > s.next() {
		return false
	}
	begin := index - s.First
	return slices.EqualFunc(s.Records[begin:begin+uint64(len(records))], records, func(a, b Record) bool { return a.ID == b.ID })
}

// with returns the segment that an append of records leads to: s with the records
// added, or the following segment if s is sealed.
func (s *segment) with(records []Record) segment {
	if s.Sealed {
		return segment{Number: s.Number + 1, First: s.next(), Records: records}
	}
	all := make([]Record, 0, len(s.Records)+len(records))
	all = append(all, s.Records...)
	all = append(all, records...)
	return segment{Number: s.Number, First: s.First, Records: all}
}

var (
	errNoFirst  = errors.New("segment without a number or first index")
	errNoRecord = errors.New("record without an ID or data")
)

// decodeSegment parses a segment object.
func decodeSegment(key string, value []byte) (segment, error) {
	var s segment
	if err := json.Unmarshal(value, &s); err != nil {
		return segment{}, &CorruptError{Key: key, Cause: err}
	}
	if s.First == 0 || s.Number < 1 {
		return segment{}, &CorruptError{Key: key, Cause: errNoFirst}
	}
	for _, r := range s.Records {
		if r.ID == "" || len(r.Data) == 0 {
			return segment{}, &CorruptError{Key: key, Cause: errNoRecord}
		}
	}
	return s, nil
}

// manifest names a snapshot: the state after record Index, in Parts objects.
// Reading goes on in segment Segment, whose first record is First.
type manifest struct {
	Index   uint64 `json:"index"`
	Segment int    `json:"segment"`
	First   uint64 `json:"first"`
	Parts   int    `json:"parts"`
	// Nonce tells the parts of this snapshot from those of another box that
	// folded at the same record.
	Nonce uint64 `json:"nonce"`
}

const (
	headName    = "/head"
	segmentDir  = "/seg-"
	snapshotDir = "/snap-"
	partDir     = "/part-"
	// partMark ends the index in a part's key.
	partMark = "_"
)

func (l *Log) headKey() string { return l.prefix + headName }

func (l *Log) segmentKey(n int) string { return fmt.Sprintf("%s%s%08d", l.prefix, segmentDir, n) }

func (l *Log) snapshotKey(index uint64) string {
	return fmt.Sprintf("%s%s%012d", l.prefix, snapshotDir, index)
}

func (l *Log) partKey(m *manifest, part int) string {
	return fmt.Sprintf("%s%s%012d%s%016x-%04d", l.prefix, partDir, m.Index, partMark, m.Nonce, part)
}

// keyNumber parses the number at the end of a key, -1 if it is not one of kind.
func (l *Log) keyNumber(key, kind string) int64 {
	tail, ok := strings.CutPrefix(key, l.prefix+kind)
	if !ok {
		return -1
	}
	n, err := strconv.ParseInt(tail, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
