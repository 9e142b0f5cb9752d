package gateway

// Scheduling switches optional decisions on.
type Scheduling struct {
	// FairShares divides an overloaded service among the organisations.
	FairShares bool
	// OwnTargets admits requests by the target of their own route.
	OwnTargets bool
	// ReturnTurns spaces the Retry-After of refused requests.
	ReturnTurns bool
	// ReadAhead reads streams ahead of slow callers.
	ReadAhead bool
	// ExpectedArrivals admits requests only to slots that other boxes have probably left free.
	ExpectedArrivals bool
}

// scheduling returns the optional decisions that are switched on; none if Deps.Scheduling is not set.
func (g *Gateway) scheduling() Scheduling {
	if g.Scheduling == nil {
		return Scheduling{}
	}
	return g.Scheduling()
}
