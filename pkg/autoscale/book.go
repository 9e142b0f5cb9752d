package autoscale

// Book is what was ordered of a service, by hall. It is handed on with the lease.
type Book map[string]PerKind

// onDemand is the number of servers on demand.
func (b Book) onDemand() int {
	n := 0
	for _, k := range b {
		n += k[OnDemand]
	}
	return n
}
