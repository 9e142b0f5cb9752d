package routerd

import (
	"context"
	"net"

	"headhill.example/headhill/pkg/serverpath"
	"headhill.example/headhill/pkg/upstream"
)

// directDialer returns the function that opens direct connections to servers.
func directDialer(a Adapter) serverpath.DialFunc {
	if a.DialServer == nil {
		return func(ctx context.Context, address string) (net.Conn, error) {
			return upstream.DialDirect(ctx, address, serverDialTimeout)
		}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, serverDialTimeout)
		defer cancel()
		return a.DialServer(ctx, address)
	}
}
