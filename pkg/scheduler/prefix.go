package scheduler

import lru "github.com/hashicorp/golang-lru/v2"

// prefixEntries bounds the record of which prefix went where.
const prefixEntries = 8192

// prefixIndex remembers the server that each prompt prefix was last sent to.
type prefixIndex struct {
	servers *lru.Cache[uint64, string]
}

func newPrefixIndex() *prefixIndex {
	// The only error is a size below one.
	cache, _ := lru.New[uint64, string](prefixEntries)
	return &prefixIndex{servers: cache}
}

// longest returns the server of the longest known prefix, or "".
func (p *prefixIndex) longest(prefix []uint64) string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if s, ok := p.servers.Get(prefix[i]); ok {
			return s
		}
	}
	return ""
}

func (p *prefixIndex) sent(prefix []uint64, server string) {
	for _, h := range prefix {
		p.servers.Add(h, server)
	}
}
