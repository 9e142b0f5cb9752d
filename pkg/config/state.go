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
	orgs     table[Organisation]
	// keys maps an API key's hash to its organisation.
	keys table[string]
	// shards is worked out once a generation.
	shards []Shard
}

// NewState returns the empty configuration, generation 0.
func NewState() *State {
	return &State{
		classes:  map[string]Class{},
		services: map[string]Service{},
		servers:  map[string]Server{},
	}
}

// Class returns a class.
func (s *State) Class(name string) (Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// Service returns a service.
func (s *State) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Server returns a backend server.
func (s *State) Server(name string) (Server, bool) {
	v, ok := s.servers[name]
	return v, ok
}

// Organisation returns an organisation.
func (s *State) Organisation(name string) (Organisation, bool) { return s.orgs.get(name) }

// HashKey returns the hex SHA-256 of an API key or operator's token: the form in
// which keys are stored.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// OrganisationByKey finds the organisation that an API key belongs to. The look
// up goes by the key's hash, and the last comparison takes constant time.
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

// ServiceByModel finds the engine service of a model; the first by name if
// several serve it.
func (s *State) ServiceByModel(model string) (Service, bool) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		if v.Kind == ServiceKindEngine && slices.Contains(v.Models, model) {
			return v, true
		}
	}
	return Service{}, false
}

// Classes returns the classes by name.
func (s *State) Classes() []Class { return sortedValues(s.classes) }

// Services returns the services by name.
func (s *State) Services() []Service { return sortedValues(s.services) }

// Servers returns the backend servers by name.
func (s *State) Servers() []Server { return sortedValues(s.servers) }

// Organisations returns the organisations by name.
func (s *State) Organisations() []Organisation {
	list := make([]Organisation, 0, s.orgs.size)
	for _, o := range s.orgs.all() {
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

// Apply returns the next generation.
func (s *State) Apply(c Change) *State {
	n := *s
	n.Generation = s.Generation + 1
	n.unshare(c)
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
	// All old keys go first: a key may move between two organisations.
	for _, v := range c.Organisations {
		n.removeKeys(v.Name)
	}
	for _, v := range c.Organisations {
		n.orgs = n.orgs.put(v.Name, v)
		for _, h := range v.KeyHashes {
			n.keys = n.keys.put(h, v.Name)
		}
	}
	if c.touches(KindServer) || c.touches(KindService) {
		n.shards = makeShards(&n)
	}
	return &n
}

// unshare copies the maps that a change touches; the others stay shared between
// the generations.
func (s *State) unshare(c Change) {
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
		s.orgs = s.orgs.remove(r.Name)
	}
}

func (s *State) removeKeys(organisation string) {
	o, ok := s.orgs.get(organisation)
	if !ok {
		return
	}
	for _, h := range o.KeyHashes {
		s.keys = s.keys.remove(h)
	}
}

// Export returns the whole configuration as one change, for snapshots.
func (s *State) Export() Change {
	return Change{
		Classes:       s.Classes(),
		Organisations: s.Organisations(),
		Services:      s.Services(),
		Servers:       s.Servers(),
	}
}

// importState builds a state from an exported change.
func importState(generation uint64, parts []Change) *State {
	s := NewState()
	for _, c := range parts {
		s = s.Apply(c)
	}
	n := *s
	n.Generation = generation
	return &n
}
