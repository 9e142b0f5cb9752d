package config

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets of a bucketMap: with 41,000 entries, a
// bucket holds about 160.
const bucketCount = 256

// bucketMap is an immutable map, split into buckets so that an update copies only
// one of them. The zero value is empty.
type bucketMap[V any] struct {
	buckets *[bucketCount]map[string]V
	size    int
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

func (b bucketMap[V]) get(key string) (v V, ok bool) {
	if b.buckets == nil {
		return v, false
	}
	v, ok = b.buckets[bucketOf(key)][key]
	return v, ok
}

// withBucket returns a map in which f has modified a copy of the key's bucket.
func (b bucketMap[V]) withBucket(key string, f func(m map[string]V)) bucketMap[V] {
	buckets := new([bucketCount]map[string]V)
	if b.buckets != nil {
		*buckets = *b.buckets
	}
	i := bucketOf(key)
	oldLen := len(buckets[i])
	m := maps.Clone(buckets[i])
	if m == nil {
		m = make(map[string]V)
	}
	f(m)
	buckets[i] = m
	return bucketMap[V]{buckets: buckets, size: b.size + len(m) - oldLen}
}

func (b bucketMap[V]) with(key string, v V) bucketMap[V] {
	return b.withBucket(key, func(m map[string]V) { m[key] = v })
}

func (b bucketMap[V]) without(key string) bucketMap[V] {
	return b.withBucket(key, func(m map[string]V) { delete(m, key) })
}

// sorted yields the entries ordered by key.
func (b bucketMap[V]) sorted() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if b.buckets == nil {
			return
		}
		keys := make([]string, 0, b.size)
		for _, m := range b.buckets {
			for k := range m {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			v, _ := b.get(k)
			if !yield(k, v) {
				return
			}
		}
	}
}
