package api

import (
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/intent"
)

// PlanRequest asks what an intent would change.
type PlanRequest struct {
	// Intent is an INI text.
	Intent string `json:"intent"`
}

// PlanReply is the plan. Nothing takes effect until it is confirmed.
type PlanReply struct {
	Plan intent.Plan `json:"plan"`
}

// ConfirmRequest confirms a plan, as it was given.
type ConfirmRequest struct {
	Plan intent.Plan `json:"plan"`
}

// ConfirmReply says which generation the plan became.
type ConfirmReply struct {
	Generation uint64 `json:"generation"`
}

// ConfigReply is the configuration in force on the answering box.
type ConfigReply struct {
	Generation uint64        `json:"generation"`
	Config     config.Change `json:"config"`
}

// BoxStatus is what one box says of itself, or why it could not be asked.
type BoxStatus struct {
	Box        string        `json:"box"`
	Generation uint64        `json:"generation"`
	Ready      bool          `json:"ready"`
	Stopping   bool          `json:"stopping"`
	Shards     []ShardStatus `json:"shards,omitempty"`
	Error      string        `json:"error,omitempty"`
}

// ShardStatus is a shard as its owner sees it.
type ShardStatus struct {
	Shard   string            `json:"shard"`
	Waiting map[string]uint32 `json:"waiting"`
	Running uint32            `json:"running"`
	Free    uint32            `json:"free"`
}

// StatusReply describes the fleet as the answering box sees it.
type StatusReply struct {
	Boxes []BoxStatus `json:"boxes"`
	// Warnings name what needs an operator.
	Warnings []string `json:"warnings,omitempty"`
}

// RolloutReply says which live boxes have a generation in force.
type RolloutReply struct {
	Generation uint64   `json:"generation"`
	InForce    []string `json:"in_force"`
	Missing    []string `json:"missing"`
}

// AdminError is the body of an operator's call that failed.
type AdminError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}
