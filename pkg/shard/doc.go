// Package shard runs the schedulers of the shards that this box owns, and asks
// the owners of shards, here or on other boxes, for slots.
//
// A Runner is the owner's side: its state is soft, and a new owner rebuilds it
// from what the entry boxes register. A Broker is the entry box's side: it holds
// every reservation of its box and heeds only the owner that it computes now.
package shard
