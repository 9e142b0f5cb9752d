package config

import (
	"fmt"
	"runtime"
	"testing"
)

const targetOrganisations = 41000

// targetState returns a configuration of the size that the package is designed for.
func targetState() *State {
	c := Change{}
	for i := range 7 {
		c.Classes = append(c.Classes, Class{Name: fmt.Sprintf("class-%d", i), Tier: i + 1, Floor: .03, FloorPlaces: 4})
	}
	for i := range 3 {
		c.Services = append(c.Services, Service{Name: fmt.Sprintf("model-%d", i), Kind: ServiceKindEngine, Models: []string{fmt.Sprintf("m%d", i)}, Repeatable: true, Queue: 2000})
	}
	for i := range 7200 {
		c.Servers = append(c.Servers, Server{
			Name: fmt.Sprintf("server-%04d", i), Service: fmt.Sprintf("model-%d", i%3), Hall: fmt.Sprintf("hall-%d", i%7),
			Address: fmt.Sprintf("10.%d.%d.1:8000", i/256, i%256), Slots: 64, State: ServerStateActive,
		})
	}
	for i := range targetOrganisations {
		c.Organisations = append(c.Organisations, testOrganisation(i))
	}
	return NewState().Apply(c)
}

func testOrganisation(i int) Organisation {
	return Organisation{Name: fmt.Sprintf("organisation-%05d", i), KeyHashes: []string{HashKey(fmt.Sprint(i))}, Class: "class-3", Weight: 1, Requests: 10}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		s := targetState()
		b.ReportMetric(float64(heapBytes()-before)/1e6, "MB/state")
		runtime.KeepAlive(s)
	}
}

// BenchmarkApply applies a change of one organisation or of one server.
func BenchmarkApply(b *testing.B) {
	s := targetState()
	server, _ := s.Server("server-0001")
	server.State = ServerStateLeaving
	for name, c := range map[string]Change{
		"organisation": {Organisations: []Organisation{testOrganisation(7)}},
		"server":       {Servers: []Server{server}},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Apply(c)
			}
		})
	}
}

// BenchmarkSnapshot encodes and restores a snapshot of the whole configuration.
func BenchmarkSnapshot(b *testing.B) {
	s := targetState()
	for b.Loop() {
		parts := encodeSnapshot(s)
		size := 0
		for _, p := range parts {
			size += len(p)
		}
		store := &Store{changed: make(chan struct{}), logger: nopLogger{}}
		store.state.Store(NewState())
		if err := store.Restore(1, parts); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(size)/1e6, "MB/copy")
		b.ReportMetric(float64(len(parts)), "parts")
	}
}

type nopLogger struct{}

func (nopLogger) Log(...any) error { return nil }

func BenchmarkKeyLookup(b *testing.B) {
	s := targetState()
	for b.Loop() {
		if _, ok := s.OrganisationByKey("12345"); !ok {
			b.Fatal("not found")
		}
	}
}
