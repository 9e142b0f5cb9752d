// Package shard schedules the shards that this box owns, and requests slots from
// the owners of shards on this and other boxes.
//
// A Runner is the owner side. Its state is not persisted: a new owner rebuilds it
// from the registrations of the entry boxes. A Broker is the entry side. It holds
// the reservations of its box and accepts grants only from the current owner.
package shard
