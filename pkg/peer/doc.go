// Package peer connects boxes: one grpc stream to each box that this one sends
// reservations to, with heartbeats both ways, and a few calls besides.
package peer
