package resumption

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"headhill.example/headhill/pkg/resumption/resumptionpb"
	"headhill.example/headhill/pkg/storerev"
)

// SavedStreams is what a box saves in the store: where the streams began that it forwards, and those that were
// interrupted at it. It outlives a restart of all boxes.
type SavedStreams struct {
	Origins []SavedOrigin `json:"origins"`
	// Era is the era of the store in which it was written. A copy from before a restore may lack that a stream has
	// become ambiguous since.
	Era uint64 `json:"era,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler. It skips origins that cannot be decoded, whose streams are refused.
func (s *SavedStreams) UnmarshalJSON(data []byte) error {
	var saved struct {
		Origins []json.RawMessage `json:"origins"`
		Era     uint64            `json:"era"`
	}
	if err := json.Unmarshal(data, &saved); err != nil {
		return err
	}
	*s = SavedStreams{Era: saved.Era}
	for _, raw := range saved.Origins {
		var o SavedOrigin
		if json.Unmarshal(raw, &o) == nil {
			s.Origins = append(s.Origins, o)
		}
	}
	return nil
}

// SavedOrigin holds the streams that began at one version.
type SavedOrigin struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	Ambiguous bool   `json:"ambiguous,omitempty"`
	// Keys holds the keys of the streams, one after the other.
	Keys []byte `json:"keys"`
}

// StoredStreams is what a box saved, with its revision in the store, which is the start of an era if there is nothing.
type StoredStreams struct {
	Streams  SavedStreams
	Revision storerev.Revision
}

// StreamStore keeps what each box saves.
type StreamStore interface {
	// All calls f for each box that saved something.
	All(ctx context.Context, f func(box string, s StoredStreams)) error
	Read(ctx context.Context, box string) (StoredStreams, error)
	// Write replaces what a box saved at the given revision and returns the new one; the start of an era creates it.
	// The error is a *StreamsConflictError if the store has another revision.
	Write(ctx context.Context, box string, s SavedStreams, revision storerev.Revision) (storerev.Revision, error)
	// Remove removes what a box saved, unless the store has another revision.
	Remove(ctx context.Context, box string, revision storerev.Revision) error
}

// StreamsConflictError reports that what a box saved has changed since it was read.
type StreamsConflictError struct{ Revision storerev.Revision }

func (e *StreamsConflictError) Error() string {
	return fmt.Sprintf("saved streams changed since revision %s: read them again", e.Revision)
}

const (
	// maxSaved is the number of streams that a box saves, about 350 kB.
	maxSaved = 16 << 10
	// maxSavedOfOthers is the number of records of other boxes that it saves in each of two generations.
	maxSavedOfOthers = 64
	// minSaveInterval is the least time between two writes of a box.
	minSaveInterval = 100 * time.Millisecond
	// maxSaveInterval is how often a box looks for streams to save of which it was not notified, such as those of a
	// service that has got a second version.
	maxSaveInterval = 500 * time.Millisecond
	// saveShare is the share of the store's writes that all boxes together may use.
	saveShare = 0.4
)

// SaveInterval returns how often each box of a fleet may write what it saves, at a rate of writes that the store allows
// to the whole fleet.
func SaveInterval(boxes int, writesPerSecond float64) time.Duration {
	return max(minSaveInterval, time.Duration(float64(boxes)/(saveShare*writesPerSecond)*float64(time.Second)))
}

// saveOthers makes the box save the records of other boxes too where it writes less often than a small fleet allows: a box may end before
// its next write, and the boxes that keep its record write at other times.
func (e *Exchange) saveOthers(interval time.Duration) {
	e.ofOthers.setRetention(interval)
	e.savesOthers.Store(interval > minSaveInterval)
}

// encodeStreams returns the saved form of streams.
func encodeStreams(streams map[Key]Origin, era uint64) SavedStreams {
	byOrigin := make(map[Origin]*SavedOrigin)
	for k, o := range streams {
		saved := byOrigin[o]
		if saved == nil {
			saved = &SavedOrigin{Service: o.Service, Version: o.Version, Ambiguous: o.Ambiguous}
			byOrigin[o] = saved
		}
		saved.Keys = append(saved.Keys, k[:]...)
	}
	s := SavedStreams{Era: era}
	for _, o := range byOrigin {
		s.Origins = append(s.Origins, *o)
	}
	return s
}

// oversized reports whether there are more streams than a box saves. They would displace those that the other boxes saved.
func (s SavedStreams) oversized() bool {
	streams := 0
	for _, o := range s.Origins {
		streams += len(o.Keys) / keyBytes
	}
	return streams > maxSaved
}

// each calls f for the streams that were saved in an era, and for those that were ambiguous before already. It calls it for none if no box can
// have saved them.
func (s SavedStreams) each(era uint64, f func(Key, Origin)) {
	if s.oversized() {
		return
	}
	for _, o := range s.Origins {
		if s.Era != era && !o.Ambiguous {
			continue
		}
		for k := range slices.Chunk(o.Keys, keyBytes) {
			if len(k) == keyBytes {
				f(Key(k), Origin{Service: o.Service, Version: o.Version, Ambiguous: o.Ambiguous})
			}
		}
	}
}

// toSave returns the streams to save: those in progress, then those that were interrupted, then the latest ones of other boxes, of
// services with several versions. Of those with one version, it returns the streams for which savesDoubtful does.
func (e *Exchange) toSave(now time.Time) map[Key]Origin {
	streams := make(map[Key]Origin)
	lists := []map[Key]Origin{maps.Collect(e.InProgress()), e.interrupted.newest(maxSaved, now)}
	if e.savesOthers.Load() {
		lists = append(lists, e.ofOthers.newest(2*maxSavedOfOthers, now))
	}
	for _, list := range lists {
		several := make(map[string]bool)
		for _, k := range firstKeys(list, maxSaved-len(streams)) {
			o := list[k]
			if _, asked := several[o.Service]; !asked {
				several[o.Service] = e.hasSeveral(o.Service)
			}
			if len(streams) >= maxSaved || !several[o.Service] && !o.Uncertain && !o.Ambiguous && !e.savesDoubtful(k, o, now) {
				continue
			}
			// A statement of another box may have made it ambiguous.
			if known, ok := e.registry.Get(k, now); ok && known.Service == o.Service {
				o = known
			}
			if !several[o.Service] && !e.savesDoubtful(k, o, now) {
				continue
			}
			// What is uncertain can't become certain any more once all boxes have ended.
			o.Ambiguous, o.Uncertain = o.Ambiguous || o.Uncertain, false
			streams[k] = o
		}
	}
	return streams
}

// addSaved adds a record that was read from the store.
func (e *Evidence) addSaved(o Origin) {
	if e.Saved && e.Origin.Service == o.Service {
		o.Ambiguous = o.Ambiguous || e.Origin.Ambiguous || e.Origin.Version != o.Version
	}
	if !e.Found {
		e.Origin, e.Saved = o, true
	}
}

// sendSaved sends records that were read from the store to the boxes that keep them.
func (e *Exchange) sendSaved(streams map[Key]Origin) {
	e.sendEach(streams, func(k Key, o Origin) *resumptionpb.Record {
		r := encodeRecord(k, o)
		r.Saved = true
		return r
	})
}

// newest returns up to n streams, those of the newer generation first.
func (r *Registry) newest(n int, now time.Time) map[Key]Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	streams := make(map[Key]Origin)
	for _, generation := range []map[Key]record{r.newer, r.older} {
		for _, k := range firstKeys(generation, n-len(streams)) {
			if _, newer := streams[k]; !newer && len(streams) < n {
				streams[k] = generation[k].Origin
			}
		}
	}
	return streams
}

// firstKeys returns the keys of m, sorted if there are more than n, so that the first n are the same each time.
func firstKeys[V any](m map[Key]V, n int) []Key {
	keys := slices.Collect(maps.Keys(m))
	if len(keys) > n {
		slices.SortFunc(keys, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	}
	return keys
}

// adds reports whether streams hold what the saved ones do not.
func adds(streams, saved map[Key]Origin) bool {
	for k, o := range streams {
		if known, ok := saved[k]; !ok || known != o {
			return true
		}
	}
	return false
}
