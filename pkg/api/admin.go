package api

import (
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/intent"
)

// PlanRequest requests a plan for an intent.
type PlanRequest struct {
	// Intent is INI text.
	Intent string `json:"intent"`
}

// PlanReply returns the plan. It takes effect only when it is confirmed.
type PlanReply struct {
	Plan intent.Plan `json:"plan"`
}

// ConfirmRequest confirms a plan. The plan must be unmodified.
type ConfirmRequest struct {
	Plan intent.Plan `json:"plan"`
}

// ConfirmReply returns the generation that the plan became.
type ConfirmReply struct {
	Generation uint64 `json:"generation"`
}

// ConfigReply is the current configuration of the responding box.
type ConfigReply struct {
	Generation uint64        `json:"generation"`
	Config     config.Change `json:"config"`
}

// BoxStatus is the status of one box, or the error that occurred requesting it.
type BoxStatus struct {
	Box        string        `json:"box"`
	Generation uint64        `json:"generation"`
	Ready      bool          `json:"ready"`
	Stopping   bool          `json:"stopping"`
	Shards     []ShardStatus `json:"shards,omitempty"`
	Error      string        `json:"error,omitempty"`
}

// ShardStatus is the status of a shard, as reported by its owner.
type ShardStatus struct {
	Shard string `json:"shard"`
	// Waiting is the number of waiting requests by class.
	Waiting map[string]uint32 `json:"waiting"`
	// Running is the number of running requests.
	Running uint32 `json:"running"`
	// Free is the number of free slots.
	Free uint32 `json:"free"`
}

// StatusReply is the status of the fleet as seen by the responding box.
type StatusReply struct {
	Boxes []BoxStatus `json:"boxes"`
	// Warnings are conditions that need an operator's attention.
	Warnings []string `json:"warnings,omitempty"`
}

// RolloutReply returns which live boxes have applied a generation.
type RolloutReply struct {
	Generation uint64 `json:"generation"`
	// InForce are the boxes that have applied the generation or a later one.
	InForce []string `json:"in_force"`
	// Missing are the boxes that have not, or that did not respond.
	Missing []string `json:"missing"`
}

// AdminError is the body of an error response to an operator.
type AdminError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}
