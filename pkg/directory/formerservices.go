package directory

import (
	"maps"

	"headhill.example/headhill/pkg/routing"
)

// maxFormerServices limits the services that are kept although the table no longer has them.
const maxFormerServices = 256

// Service returns a service of the table in force or, if that has none of the name, as it was in the last table that had it: requests
// that were sent before may go on. It returns nil if there was none.
func (v *View) Service(name string) *routing.Service {
	if v.Table != nil {
		if service, ok := v.Table.Service(name); ok {
			return service
		}
	}
	return v.formerServices[name]
}

// formerServicesAfter returns the former services once a table replaces that of the view.
func (v *View) formerServicesAfter(next *routing.Table) map[string]*routing.Service {
	if v.Table == nil {
		return nil
	}
	former := maps.Clone(v.formerServices)
	for _, s := range v.Table.Services() {
		if _, ok := next.Service(s.Name); ok {
			continue
		}
		if former == nil || len(former) >= maxFormerServices {
			former = make(map[string]*routing.Service)
		}
		former[s.Name], _ = v.Table.Service(s.Name)
	}
	return former
}
