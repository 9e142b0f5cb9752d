package balancer

import "time"

const (
	// cachedFor is how long a server is believed to cache a part after its last use,
	// assignedFor how long it is believed to prefill one that was sent to it.
	cachedFor   = 30 * time.Second
	assignedFor = 4 * time.Second
	// cachedMost bounds the parts that are remembered of one server.
	cachedMost = 2048
)

// cachedPart is what is believed of one part of a prompt at one server.
type cachedPart struct {
	used time.Time
	// prefilled is set once the server has prefilled the part; before, it is about to.
	prefilled bool
	// published is when it was last published to other boxes.
	published time.Time
}

func (p cachedPart) valid(now time.Time) bool {
	age := now.Sub(p.used)
	return age <= assignedFor || p.prefilled && age <= cachedFor
}

// cachedParts are the parts of prompts that were sent to a server.
type cachedParts map[partKey]cachedPart

// note remembers that the parts were sent, or that they were prefilled. It returns whether
// the last one is news for other boxes.
func (k *cachedParts) note(keys []partKey, prefilled bool, now time.Time) bool {
	if *k == nil {
		*k = make(cachedParts)
	}
	if len(*k) > cachedMost {
		k.forget(now)
	}
	news := false
	for _, id := range keys {
		old := (*k)[id]
		wasPrefilled := old.prefilled && old.valid(now)
		news = !old.valid(now) || prefilled && !wasPrefilled || now.Sub(old.published) > cachedFor/3
		(*k)[id] = cachedPart{used: now, prefilled: prefilled || wasPrefilled, published: old.published}
	}
	return news
}

// markPublished notes that the parts were published to the other boxes.
func (k cachedParts) markPublished(keys []partKey, now time.Time) {
	for _, id := range keys {
		known := k[id]
		known.published = now
		k[id] = known
	}
}

// forget drops what is too old, or everything if that is not enough.
func (k *cachedParts) forget(now time.Time) {
	for id, p := range *k {
		if !p.valid(now) {
			delete(*k, id)
		}
	}
	if len(*k) > cachedMost {
		clear(*k)
	}
}

// longest returns the tokens of the longest run of parts, from the first, that the
// server is believed to have cached, and how many of them it has prefilled for certain.
func (k cachedParts) longest(shared prefix, now time.Time) (cached, prefilled int) {
	allPrefilled := true
	for i, p := range shared.parts {
		known, ok := k[shared.keys[i]]
		if !ok || !known.valid(now) {
			return cached, prefilled
		}
		cached += p.Tokens
		allPrefilled = allPrefilled && known.prefilled
		if allPrefilled {
			prefilled = cached
		}
	}
	return cached, prefilled
}
