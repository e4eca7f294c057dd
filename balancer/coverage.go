package balancer

// shareTolerance is the rounding error tolerated in a share of a request's weights, relative to the share. Weights may have single precision.
const shareTolerance = 1e-6

// coverage is what a set of calls of a request covers.
type coverage struct {
	calls  int     // number of calls in the set
	weight float64 // sum of their weights
}

// add adds a call to the set.
func (c *coverage) add(call *shardCall) {
	c.calls++
	c.weight += call.weight
}

// unknownCalls is the coverage of the calls of a second phase that have not arrived.
var unknownCalls = coverage{calls: 1}

// allCalls returns the coverage of all calls of the current phase.
func (r *request) allCalls() (all coverage) {
	for _, call := range r.calls {
		all.add(call)
	}
	return all
}

// reaches reports whether the calls of c suffice for a minimum share of all calls. A minimum of 1 requires all calls, whatever their
// weights, and every minimum at least one. The tolerance is relative, so that no minimum above 0 disappears in it.
func (c coverage) reaches(minimum float64, all coverage) bool {
	share := c.weight / all.weight
	switch {
	case c.calls == 0:
		return false
	case c.calls >= all.calls:
		share = 1
	case minimum >= 1:
		return false
	}
	return share >= minimum*(1-shareTolerance)
}

// requiredCoverage returns the minimum coverage of an answer in the current phase, and that of a complete one. A second phase is complete
// only with all of its calls.
func (r *request) requiredCoverage() (minimum, complete float64) {
	minimum, complete = r.policy.MinCoverage, r.policy.CompleteCoverage
	if !r.inSecondPhase {
		return minimum, complete
	}
	if minimum >= complete {
		minimum = 1
	}
	return minimum, 1
}
