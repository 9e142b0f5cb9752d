package config

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tableBuckets splits the large tables, so that a change copies one bucket only:
// 41,000 organisations are about 160 a bucket.
const tableBuckets = 256

// table is a map that is copied cheaply. The zero value is empty. A table that
// was handed out is never changed.
type table[V any] struct {
	buckets *[tableBuckets]map[string]V
	size    int
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % tableBuckets) }

func (t table[V]) get(key string) (v V, ok bool) {
	if t.buckets == nil {
		return v, false
	}
	v, ok = t.buckets[bucketOf(key)][key]
	return v, ok
}

// edit copies the bucket of a key and lets f change the copy.
func (t table[V]) edit(key string, f func(m map[string]V)) table[V] {
	buckets := new([tableBuckets]map[string]V)
	if t.buckets != nil {
		*buckets = *t.buckets
	}
	i := bucketOf(key)
	before := len(buckets[i])
	m := maps.Clone(buckets[i])
	if m == nil {
		m = make(map[string]V)
	}
	f(m)
	buckets[i] = m
	return table[V]{buckets: buckets, size: t.size + len(m) - before}
}

func (t table[V]) put(key string, v V) table[V] {
	return t.edit(key, func(m map[string]V) { m[key] = v })
}

func (t table[V]) remove(key string) table[V] {
	return t.edit(key, func(m map[string]V) { delete(m, key) })
}

// all yields the entries by key.
func (t table[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.buckets == nil {
			return
		}
		keys := make([]string, 0, t.size)
		for _, m := range t.buckets {
			for k := range m {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			v, _ := t.get(k)
			if !yield(k, v) {
				return
			}
		}
	}
}
