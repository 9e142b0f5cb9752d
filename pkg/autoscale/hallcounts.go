package autoscale

// HallCounts holds server counts by hall and kind. The ordered counts are part of the state that is
// passed on with the lease.
type HallCounts map[string]PerKind
