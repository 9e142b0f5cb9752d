package routerd

import (
	"headhill.example/headhill/pkg/serverpath"
	"headhill.example/headhill/pkg/upstream"
)

// dialServer returns the function that opens direct connections to servers.
func (a Adapter) dialServer() serverpath.DialFunc {
	if a.DialServer != nil {
		return a.DialServer
	}
	return upstream.DialDirect
}
