package autoscale

// Book is what was ordered of a service, by hall. It is handed on with the lease.
type Book map[string]PerKind
