// Package directory holds a box's copy of the routing table and of the list of backend servers, and
// keeps both in sync with their source. Each part has a revision and the time of its last
// confirmation.
package directory
