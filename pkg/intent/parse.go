package intent

import (
	"encoding/hex"
	"regexp"
	"time"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/inifile"
)

// Default values of omitted keys.
const (
	defaultFloor       = 0.03
	defaultFloorPlaces = 4
	defaultPlaces      = 50
	defaultDeadline    = 30 * time.Second
	defaultQueue       = 400
	defaultSlots       = 8
)

const maxDuration = time.Hour

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

const nameRemedy = "name it with 1 to 64 of a-z, 0-9, dot, dash and underscore"

// Parse parses an intent. All problems are returned in one *inifile.Error; text
// that is not INI returns an *inifile.SyntaxError.
func Parse(text []byte) (config.Change, error) {
	f, err := inifile.Load("intent", text)
	if err != nil {
		return config.Change{}, err
	}
	var c config.Change
	for _, s := range sectionsToSet(f, config.KindClass, &c) {
		c.Classes = append(c.Classes, readClass(s))
	}
	for _, s := range sectionsToSet(f, config.KindOrganisation, &c) {
		c.Organisations = append(c.Organisations, readOrganisation(s))
	}
	for _, s := range sectionsToSet(f, config.KindService, &c) {
		c.Services = append(c.Services, readService(s))
	}
	for _, s := range sectionsToSet(f, config.KindServer, &c) {
		c.Servers = append(c.Servers, readServer(s))
	}
	return c, f.Finish()
}

// sectionsToSet returns the sections that define an item of the given kind. Items
// to remove are added to c.
func sectionsToSet(f *inifile.File, kind config.ItemKind, c *config.Change) []*inifile.Section {
	var list []*inifile.Section
	for _, s := range f.NamedSections(string(kind)) {
		if !namePattern.MatchString(s.Name) {
			s.AddProblem("", s.Name, nameRemedy)
		}
		remove := false
		s.Bool("remove", &remove)
		if !remove {
			list = append(list, s)
			continue
		}
		s.ReportUnknownKeys()
		c.Remove = append(c.Remove, config.Ref{Kind: kind, Name: s.Name})
	}
	return list
}

func readClass(s *inifile.Section) config.Class {
	c := config.Class{
		Name:        s.Name,
		Floor:       defaultFloor,
		FloorPlaces: defaultFloorPlaces,
		Places:      defaultPlaces,
		Deadline:    defaultDeadline,
	}
	s.Require("tier", "write the class's tier, 1 being the highest")
	s.Int("tier", &c.Tier, 1, config.MaxTier)
	s.Percent("floor", &c.Floor, config.MinFloor, config.MaxFloor)
	s.Int("floor-places", &c.FloorPlaces, 1, 1000)
	s.Int("places", &c.Places, 0, 100000)
	s.Duration("first-token", &c.FirstToken, 0, maxDuration)
	s.Duration("between-tokens", &c.Between, 0, maxDuration)
	s.Duration("deadline", &c.Deadline, time.Millisecond, 24*time.Hour)
	s.List("servers", &c.Servers)
	s.ReportUnknownKeys()
	return c
}

func readOrganisation(s *inifile.Section) config.Organisation {
	o := config.Organisation{Name: s.Name, Weight: 1}
	s.Require("class", "name the class of calls that name none")
	s.String("class", &o.Class)
	s.List("classes", &o.Classes)
	s.List("key-sha256", &o.KeyHashes)
	s.Float("weight", &o.Weight, 0.01, 1000)
	s.Float("requests-per-second", &o.Requests, 0, 1e6)
	s.Float("tokens-per-second", &o.Tokens, 0, 1e9)
	s.Int("concurrency", &o.Concurrency, 0, 1e6)
	s.ReportUnknownKeys()
	for _, h := range o.KeyHashes {
		if b, err := hex.DecodeString(h); err != nil || len(b) != 32 {
			s.AddProblem("key-sha256", h, "write the hex SHA-256 that `headhillctl key` prints; the key itself is never stored")
		}
	}
	return o
}

func readService(s *inifile.Section) config.Service {
	v := config.Service{Name: s.Name, Queue: defaultQueue, Kind: config.ServiceKindEngine, Repeatable: true}
	s.OneOf("kind", &v.Kind, config.ServiceKindEngine, config.ServiceKindPlain)
	s.List("models", &v.Models)
	s.String("class", &v.Class)
	s.Bool("repeatable", &v.Repeatable)
	s.Int("queue", &v.Queue, 1, 100000)
	s.Int("headroom", &v.Headroom, 0, 10000)
	s.ReportUnknownKeys()
	return v
}

func readServer(s *inifile.Section) config.Server {
	v := config.Server{Name: s.Name, Slots: defaultSlots, State: config.ServerStateActive}
	s.Require("service", "name the service it belongs to")
	s.Require("hall", "name the hall it stands in")
	s.Require("address", "write its IP address and port")
	s.String("service", &v.Service)
	s.String("hall", &v.Hall)
	s.AddrPort("address", &v.Address, false)
	s.Int("slots", &v.Slots, 1, 4096)
	s.Bool("checks-fences", &v.Fences)
	s.OneOf("state", &v.State, config.ServerStateActive, config.ServerStateLeaving)
	s.ReportUnknownKeys()
	return v
}
