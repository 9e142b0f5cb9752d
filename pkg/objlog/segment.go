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
	// ID is unique to an append attempt, so that the writer can find its record.
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// segment is a sequence of records: the content of the head object and of archive objects.
type segment struct {
	// Number is the sequence number of the segment, starting at 1.
	Number int `json:"number"`
	// First is the index of the first record, starting at 1.
	First uint64 `json:"first"`
	// Sealed segments accept no more records.
	Sealed  bool     `json:"sealed,omitempty"`
	Records []Record `json:"records"`
}

// nextIndex returns the index after the segment's last record.
func (s *segment) nextIndex() uint64 { return s.First + uint64(len(s.Records)) }

// hasRecordsAt reports whether the segment contains records, in order, from index on.
func (s *segment) hasRecordsAt(index uint64, records []Record) bool {
	if index < s.First || index+uint64(len(records)) > s.nextIndex() {
		return false
	}
	begin := index - s.First
	return slices.EqualFunc(s.Records[begin:begin+uint64(len(records))], records, func(a, b Record) bool { return a.ID == b.ID })
}

// withRecords returns the segment that results from appending records: s with the
// records added, or the following segment if s is sealed.
func (s *segment) withRecords(records []Record) segment {
	if s.Sealed {
		return segment{Number: s.Number + 1, First: s.nextIndex(), Records: records}
	}
	all := make([]Record, 0, len(s.Records)+len(records))
	all = append(all, s.Records...)
	all = append(all, records...)
	return segment{Number: s.Number, First: s.First, Records: all}
}

var (
	errMissingIndex     = errors.New("segment without a number or first index")
	errIncompleteRecord = errors.New("record without an ID or data")
)

// decodeSegment parses a segment object.
func decodeSegment(key string, value []byte) (segment, error) {
	var s segment
	if err := json.Unmarshal(value, &s); err != nil {
		return segment{}, &CorruptError{Key: key, Cause: err}
	}
	if s.First == 0 || s.Number < 1 {
		return segment{}, &CorruptError{Key: key, Cause: errMissingIndex}
	}
	for _, r := range s.Records {
		if r.ID == "" || len(r.Data) == 0 {
			return segment{}, &CorruptError{Key: key, Cause: errIncompleteRecord}
		}
	}
	return s, nil
}

// manifest describes a snapshot: the state after record Index, stored in Parts objects.
// Replay continues with segment Segment, whose first record is First.
type manifest struct {
	Index   uint64 `json:"index"`
	Segment int    `json:"segment"`
	First   uint64 `json:"first"`
	Parts   int    `json:"parts"`
	// Nonce distinguishes the parts of this snapshot from those that another box wrote
	// for the same index.
	Nonce uint64 `json:"nonce"`
}

const (
	headSuffix     = "/head"
	segmentPrefix  = "/seg-"
	snapshotPrefix = "/snap-"
	partPrefix     = "/part-"
	// partSeparator separates the index from the nonce in a part's key.
	partSeparator = "_"
)

func (l *Log) headKey() string { return l.prefix + headSuffix }

func (l *Log) segmentKey(n int) string { return fmt.Sprintf("%s%s%08d", l.prefix, segmentPrefix, n) }

func (l *Log) snapshotKey(index uint64) string {
	return fmt.Sprintf("%s%s%012d", l.prefix, snapshotPrefix, index)
}

func (l *Log) partKey(m *manifest, part int) string {
	return fmt.Sprintf("%s%s%012d%s%016x-%04d", l.prefix, partPrefix, m.Index, partSeparator, m.Nonce, part)
}

// parseKeyNumber returns the number at the end of a key, or -1 if the key is not of kind.
func (l *Log) parseKeyNumber(key, kind string) int64 {
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
