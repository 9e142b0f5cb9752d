package balancer

import "time"

const (
	// cachedTTL is how long a prefilled part is assumed to stay cached after its last use,
	// assignedTTL how long a part counts as cached that was sent but may not be prefilled yet.
	cachedTTL   = 30 * time.Second
	assignedTTL = 4 * time.Second
	// maxCachedParts bounds the parts recorded for one server.
	maxCachedParts = 2048
)

// cachedPart is the assumed cache state of one prompt part at one server.
type cachedPart struct {
	lastUsed time.Time
	// prefilled is set once the server has prefilled the part.
	prefilled bool
	// publishedAt is when the part was last published to or by other boxes.
	publishedAt time.Time
}

func (p cachedPart) valid(now time.Time) bool {
	age := now.Sub(p.lastUsed)
	return age <= assignedTTL || p.prefilled && age <= cachedTTL
}

// cachedParts holds the prompt parts sent to a server.
type cachedParts map[partKey]cachedPart

// record records that parts were sent, or that they were prefilled. It reports whether the last
// part's state should be published to other boxes.
func (c *cachedParts) record(keys []partKey, prefilled bool, now time.Time) bool {
	if *c == nil {
		*c = make(cachedParts)
	}
	if len(*c) > maxCachedParts {
		c.evict(now)
	}
	publish := false
	for _, key := range keys {
		old := (*c)[key]
		wasPrefilled := old.prefilled && old.valid(now)
		publish = !old.valid(now) || prefilled && !wasPrefilled || now.Sub(old.publishedAt) > cachedTTL/3
		(*c)[key] = cachedPart{lastUsed: now, prefilled: prefilled || wasPrefilled, publishedAt: old.publishedAt}
	}
	return publish
}

// markPublished records that the parts were published to or by other boxes.
func (c cachedParts) markPublished(keys []partKey, now time.Time) {
	for _, key := range keys {
		part := c[key]
		part.publishedAt = now
		c[key] = part
	}
}

// evict removes expired parts, or all parts if that does not free enough.
func (c *cachedParts) evict(now time.Time) {
	for key, p := range *c {
		if !p.valid(now) {
			delete(*c, key)
		}
	}
	if len(*c) > maxCachedParts {
		clear(*c)
	}
}

// longestPrefix returns the tokens of the longest leading run of parts that the server is assumed
// to have cached, and how many of them it is known to have prefilled.
func (c cachedParts) longestPrefix(shared prefix, now time.Time) (cached, prefilled int) {
	allPrefilled := true
	for i, p := range shared.parts {
		state, ok := c[shared.keys[i]]
		if !ok || !state.valid(now) {
			return cached, prefilled
		}
		cached += p.Tokens
		allPrefilled = allPrefilled && state.prefilled
		if allPrefilled {
			prefilled = cached
		}
	}
	return cached, prefilled
}
