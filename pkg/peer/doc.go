// Package peer connects boxes over gRPC: one bidirectional stream to each box that this box
// reserves with, with heartbeats in both directions, and a few other calls.
package peer
