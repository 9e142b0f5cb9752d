package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
)

// State is the configuration at one generation. It is immutable.
type State struct {
	Generation uint64

	classes  map[string]Class
	services map[string]Service
	servers  map[string]Server
	orgs     bucketMap[Organisation]
	// keys maps the hash of an API key to the organisation's name.
	keys bucketMap[string]
	// shards is computed once per generation, ordered by ID.
	shards []Shard
}

// NewState returns the empty configuration at generation 0.
func NewState() *State {
	return &State{
		classes:  map[string]Class{},
		services: map[string]Service{},
		servers:  map[string]Server{},
	}
}

// Class returns the class with the given name.
func (s *State) Class(name string) (Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// Service returns the service with the given name.
func (s *State) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Server returns the backend server with the given name.
func (s *State) Server(name string) (Server, bool) {
	v, ok := s.servers[name]
	return v, ok
}

// Organisation returns the organisation with the given name.
func (s *State) Organisation(name string) (Organisation, bool) { return s.orgs.get(name) }

// HashKey returns the hex SHA-256 of an API key or operator token, the form in
// which it is stored.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// OrganisationByKey returns the organisation that an API key belongs to. The
// lookup uses the key's hash; the final comparison takes constant time.
func (s *State) OrganisationByKey(key string) (Organisation, bool) {
	hash := HashKey(key)
	name, ok := s.keys.get(hash)
	if !ok {
		return Organisation{}, false
	}
	o, ok := s.orgs.get(name)
	if !ok {
		return Organisation{}, false
	}
	for _, h := range o.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return o, true
		}
	}
	return Organisation{}, false
}

// ServiceByModel returns the engine service that serves a model. If several do, it
// returns the first by name.
func (s *State) ServiceByModel(model string) (Service, bool) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		if v.Kind == ServiceKindEngine && slices.Contains(v.Models, model) {
			return v, true
		}
	}
	return Service{}, false
}

// Classes returns all classes ordered by name.
func (s *State) Classes() []Class { return sortedValues(s.classes) }

// Services returns all services ordered by name.
func (s *State) Services() []Service { return sortedValues(s.services) }

// Servers returns all backend servers ordered by name.
func (s *State) Servers() []Server { return sortedValues(s.servers) }

// Organisations returns all organisations ordered by name.
func (s *State) Organisations() []Organisation {
	list := make([]Organisation, 0, s.orgs.size)
	for _, o := range s.orgs.sorted() {
		list = append(list, o)
	}
	return list
}

func sortedValues[V any](m map[string]V) []V {
	list := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}

// Apply returns the next generation, with the change applied. It does not validate
// the change.
func (s *State) Apply(c Change) *State {
	n := *s
	n.Generation = s.Generation + 1
	n.cloneTouchedMaps(c)
	for _, r := range c.Remove {
		n.removeItem(r)
	}
	for _, v := range c.Classes {
		n.classes[v.Name] = v
	}
	for _, v := range c.Services {
		n.services[v.Name] = v
	}
	for _, v := range c.Servers {
		n.servers[v.Name] = v
	}
	// Remove all old keys first, as a key may move between organisations.
	for _, v := range c.Organisations {
		n.removeKeys(v.Name)
	}
	for _, v := range c.Organisations {
		n.orgs = n.orgs.with(v.Name, v)
		for _, h := range v.KeyHashes {
			n.keys = n.keys.with(h, v.Name)
		}
	}
	if c.touches(KindServer) || c.touches(KindService) {
		n.shards = buildShards(&n)
	}
	return &n
}

// cloneTouchedMaps copies the maps that a change modifies. The others remain shared
// between generations.
func (s *State) cloneTouchedMaps(c Change) {
	if c.touches(KindClass) {
		s.classes = maps.Clone(s.classes)
	}
	if c.touches(KindService) {
		s.services = maps.Clone(s.services)
	}
	if c.touches(KindServer) {
		s.servers = maps.Clone(s.servers)
	}
}

func (s *State) removeItem(r Ref) {
	switch r.Kind {
	case KindClass:
		delete(s.classes, r.Name)
	case KindService:
		delete(s.services, r.Name)
	case KindServer:
		delete(s.servers, r.Name)
	case KindOrganisation:
		s.removeKeys(r.Name)
		s.orgs = s.orgs.without(r.Name)
	}
}

func (s *State) removeKeys(organisation string) {
	o, ok := s.orgs.get(organisation)
	if !ok {
		return
	}
	for _, h := range o.KeyHashes {
		s.keys = s.keys.without(h)
	}
}

// Export returns the whole configuration as one change.
func (s *State) Export() Change {
	return Change{
		Classes:       s.Classes(),
		Organisations: s.Organisations(),
		Services:      s.Services(),
		Servers:       s.Servers(),
	}
}

// stateFromSnapshot returns the state of a snapshot's parts.
func stateFromSnapshot(generation uint64, parts []Change) *State {
	s := NewState()
	for _, c := range parts {
		s = s.Apply(c)
	}
	n := *s
	n.Generation = generation
	return &n
}
