// Package fairshare divides an overloaded service among organisations by max-min fairness with
// equal weights. It has no clock, network or goroutine: the time is a parameter.
//
// For each service and rank, a Tracker keeps the tokens admitted and refused by organisation, as
// sums that decay with the time constant DecayTime. It adds the usage that other boxes report.
// While requests are refused, the fair level is the mean use of the organisations that were refused
// a tenth or more of what they asked for. A Standing holds the ratio of an organisation's use to the
// level. Its WaitFactor, between MinWaitFactor and MaxWaitFactor, is the factor on the maximum queueing
// time of the organisation's requests. Package admission applies it, as far as the order of ranks
// allows.
//
// Only admitted tokens raise a ratio. Refused tokens show that an organisation asks for more than
// it got, but not how much more: a caller that retries is refused several times for the same work.
//
// # Bounds and their error
//
// A box tracks at most MaxTracked organisations over all services and ranks. When the table is
// full, the smaller half is dropped, so that a dropped organisation had at most 1/(MaxTracked/2+1)
// of the box's tokens. A box reports the MaxReported largest usages and a relay sends the
// MaxSummarised largest. An organisation that no box lists had at most 1/(MaxReported+1) of the
// tokens of each box, and so of all. An organisation that boxes list, but that a summary leaves
// out, has at most 1/(MaxSummarised+1) of the tokens listed. Sizes are the tokens admitted and
// refused. An organisation that a full summary does not list counts as using at least the smaller
// of the smallest use listed of its group and the smallest size listed of all groups, so that it is
// not favoured much over those listed when all are of the same size.
package fairshare
