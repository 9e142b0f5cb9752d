package balancer

import "time"

const (
	// keptFor is how long a server is believed to keep a part after its last use,
	// assignedFor how long it is believed to read one that was sent to it.
	keptFor     = 30 * time.Second
	assignedFor = 4 * time.Second
	// keptMost bounds the parts that are remembered of one server.
	keptMost = 2048
)

// keptPart is what is believed of one part of a prompt at one server.
type keptPart struct {
	used time.Time
	// read is set once the server has read the part; before, it is about to.
	read bool
	// told is when other boxes were told of it last.
	told time.Time
}

func (p keptPart) valid(now time.Time) bool {
	age := now.Sub(p.used)
	return age <= assignedFor || p.read && age <= keptFor
}

// keptParts are the parts of prompts that were sent to a server.
type keptParts map[partKey]keptPart

// note remembers that the parts were sent, or that they were read. It returns whether
// the last one is news for other boxes.
func (k *keptParts) note(keys []partKey, read bool, now time.Time) bool {
	if *k == nil {
		*k = make(keptParts)
	}
	if len(*k) > keptMost {
		k.forget(now)
	}
	news := false
	for _, id := range keys {
		old := (*k)[id]
		wasRead := old.read && old.valid(now)
		news = !old.valid(now) || read && !wasRead || now.Sub(old.told) > keptFor/3
		(*k)[id] = keptPart{used: now, read: read || wasRead, told: old.told}
	}
	return news
}

// tell marks the parts as told to the other boxes.
func (k keptParts) tell(keys []partKey, now time.Time) {
	for _, id := range keys {
		known := k[id]
		known.told = now
		k[id] = known
	}
}

// forget drops what is too old, or everything if that is not enough.
func (k *keptParts) forget(now time.Time) {
	for id, p := range *k {
		if !p.valid(now) {
			delete(*k, id)
		}
	}
	if len(*k) > keptMost {
		clear(*k)
	}
}

// longest returns the tokens of the longest run of parts, from the first, that the
// server is believed to keep, and how many of them it has read for certain.
func (k keptParts) longest(shared prefix, now time.Time) (kept, read int) {
	allRead := true
	for i, p := range shared.parts {
		known, ok := k[shared.keys[i]]
		if !ok || !known.valid(now) {
			return kept, read
		}
		kept += p.Tokens
		allRead = allRead && known.read
		if allRead {
			read = kept
		}
	}
	return kept, read
}
