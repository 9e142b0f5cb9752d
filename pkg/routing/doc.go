// Package routing implements the routing table: routes by host and path prefix, their
// target services, organisations by API key, and limits on callers. A table is immutable.
package routing
