// Package upstream sends HTTP/1.1 requests to backend servers over pooled connections. Unlike
// net/http's transport it never retries a request by itself, reports whether anything was
// written, and discards responses to earlier requests.
package upstream
