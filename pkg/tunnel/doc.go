// Package tunnel opens connections to servers by way of another box. The box that asks sends an HTTP
// CONNECT to the peer port of the other one, the relay, which opens a connection to the server and
// copies bytes in both directions. What the server sends is framed, so that the end of the server's
// connection can be told from that of the relay.
//
// A relay opens only direct connections, so a tunnel leads through one relay.
package tunnel
