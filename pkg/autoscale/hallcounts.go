package autoscale

// HallCounts is what was ordered of a service, by hall. It is handed on with the lease.
type HallCounts map[string]PerKind
