package fairshare

import "math"

const (
	// MinWaitFactor and MaxWaitFactor bound the factor on the maximum queueing time.
	MinWaitFactor = 0.5
	MaxWaitFactor = 1.5
	// lowRatio and highRatio are the ratios up to which MaxWaitFactor and from which MinWaitFactor
	// applies. They are reciprocal, so that the factor is 1 at the fair level.
	lowRatio  = 0.8
	highRatio = 1 / lowRatio
	// maxRatio limits ratios, which have no bound at a level near zero. It does not change the factor.
	maxRatio = 1000.0
	// minRefusedShare is the share of tokens refused from which a group is contended. A decayed sum
	// is never zero again, and single refusals are no lack of capacity.
	minRefusedShare = 0.01
	// minRefusedShareEach is the share of its own tokens from which an organisation counts as refused
	// something. One that gets nearly all it asks for would lower the fair level and keep the others
	// at half of their queueing time long after a single refusal, which leaves engines idle.
	minRefusedShareEach = 0.1
	// minRefusedOfMost is the part of the tokens refused to the organisation with the most from which
	// another one counts as refused something, for the same reason: of very many small organisations,
	// some had a single request refused at any time.
	minRefusedOfMost = 0.01
)

// Standing compares an organisation's use of a service with its fair share.
type Standing struct {
	// Ratio is the organisation's use divided by the fair level. It is 1 if there is no level.
	Ratio float64
	// Contended is set while requests of the service and rank are refused.
	Contended bool
}

// WaitFactor returns the factor on the maximum queueing time of the organisation's requests. It
// falls from MaxWaitFactor to MinWaitFactor with the logarithm of the ratio. Package
// admission limits its effect, so that no request has a lower maximum than a less urgent one.
func (s Standing) WaitFactor() float64 {
	if !s.Contended {
		return 1
	}
	ratio := min(max(s.Ratio, lowRatio), highRatio)
	return 1 - (MaxWaitFactor-1)*math.Log(ratio)/math.Log(highRatio)
}

// FairLevel returns the mean use of the organisations of one group that were refused a part of what
// they asked for. The others ask for less than the level and leave the rest, so that the uses
// converge to the max-min fair share. An organisation that alone was refused is at the level.
// FairLevel returns false if too little was refused for a shortage.
func FairLevel(list []Usage) (level float64, contended bool) {
	admitted, refused, most := 0.0, 0.0, 0.0
	for _, u := range list {
		admitted += u.Admitted
		refused += u.Refused
		most = max(most, u.Refused)
	}
	if most < minTokens || refused < minRefusedShare*(admitted+refused) {
		return 0, false
	}
	sum, count := 0.0, 0
	for _, u := range list {
		if u.Refused >= minRefusedOfMost*most && u.Refused >= minRefusedShareEach*u.total() {
			sum += u.Admitted
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}
