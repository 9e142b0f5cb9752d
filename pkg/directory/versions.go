package directory

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// VersionRetention is how long after the removal of its last server a version of a service's software is
// remembered.
const VersionRetention = removedRetention

// serverVersion is a version of the software of a service's servers.
type serverVersion struct {
	version string
	// end is when the version is forgotten; zero while a server of it is listed.
	end time.Time
}

// Versions returns the versions of the software of a service's servers, including those whose last server was
// removed less than VersionRetention ago.
func (v *View) Versions(service string, now time.Time) []string {
	p := v.pools[service]
	if p == nil {
		return nil
	}
	versions := make([]string, 0, len(p.versions))
	for _, s := range p.versions {
		if s.end.IsZero() || now.Before(s.end) {
			versions = append(versions, s.version)
		}
	}
	return versions
}

// AllVersions returns the versions of the software of each service, as Versions does.
func (v *View) AllVersions(now time.Time) map[string][]string {
	all := make(map[string][]string, len(v.pools))
	for service := range v.pools {
		all[service] = v.Versions(service, now)
	}
	return all
}

// findVersions sets versions.
func (p *pool) findVersions() {
	p.versions = nil
	for _, list := range [][]routing.Server{p.ready, p.draining} {
		for i := range list {
			p.addVersion(list[i].Version, time.Time{})
		}
	}
	for _, list := range [][]Server{p.withheld, p.removed, p.departed} {
		for i := range list {
			end := time.Time{}
			if !list[i].RemovedAt.IsZero() {
				end = list[i].RemovedAt.Add(VersionRetention)
			}
			p.addVersion(list[i].Version, end)
		}
	}
}

func (p *pool) addVersion(version string, end time.Time) {
	i := slices.IndexFunc(p.versions, func(s serverVersion) bool { return s.version == version })
	switch {
	case i < 0:
		p.versions = append(p.versions, serverVersion{version, end})
	case end.IsZero() || p.versions[i].end.IsZero():
		p.versions[i].end = time.Time{}
	default:
		p.versions[i].end = laterOf(p.versions[i].end, end)
	}
}

// OnServersChange sets a function that is called after each change of the list. It must be set before Follow,
// and must not block.
func (d *Directory) OnServersChange(f func()) { d.onServers = f }
