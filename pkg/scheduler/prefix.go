package scheduler

import lru "github.com/hashicorp/golang-lru/v2"

// maxPrefixEntries bounds the prefixes in a prefixIndex.
const maxPrefixEntries = 8192

// prefixIndex is an LRU cache of the server to which each prompt prefix was last sent.
type prefixIndex struct {
	servers *lru.Cache[uint64, string]
}

func newPrefixIndex() *prefixIndex {
	// New fails only for a size below one.
	cache, _ := lru.New[uint64, string](maxPrefixEntries)
	return &prefixIndex{servers: cache}
}

// serverForLongest returns the server of the longest known prefix, or "" if none is
// known. The hashes are ordered by increasing prefix length.
func (p *prefixIndex) serverForLongest(hashes []uint64) string {
	for i := len(hashes) - 1; i >= 0; i-- {
		if s, ok := p.servers.Get(hashes[i]); ok {
			return s
		}
	}
	return ""
}

func (p *prefixIndex) record(hashes []uint64, server string) {
	for _, h := range hashes {
		p.servers.Add(h, server)
	}
}
