package brain

// Handle takes one Event and its moment, in order of arrival, and returns the Actions to perform, in order.
// The design (docs/design.md) places each part: see plan.go. Beside it, six mechanisms, a file each:
//  1. Health: errors and silence take a server out; one trial part at a time brings it back, after a probe
//     where a search depends on it. Rested connections, where many are found dead, are closed before use.
//  2. Cold allowance: a server just started gets its share of what warm ones bear, by its age.
//  3. Further sub-requests: resends and copies follow the recent ones' success, inside the stated budget.
//  4. In-flight limit: follows the shortest over the present answer time; past it searches are shed.
//  5. Moment to answer: whole at once, short at the latency target, given up in time.
//  6. List keeping: a subscription asked for again with growing pauses; unlisted servers are forgotten.

import (
	"cmp"
	"math"
)

const (
	gap           = 100 * Millisecond   // the design's: a part so far behind the fastest moves once
	firstShare    = 10                  // the design's: before any answer a part takes target / firstShare
	rateWeight    = 0.2                 // smoothing of latency per unit size: about the last five answers
	slowWeight    = 0.05                // smoothing of a part's size, of success and of the reported queue
	rateAge       = 10000 * Millisecond // a server's own rate counts less by its age, up to this
	queueAge      = 1000 * Millisecond  // and so does its reported queue
	restAfter     = 500 * Millisecond   // a connection that carried nothing for so long is rested
	reapLimit     = 0.25                // smoothed share of these found dead, past which none is used
	silenceWeight = 4.0                 // something overdue and no word: so many times slower again

	failLimit   = 0.3               // smoothed share of failures that takes a server out
	softFailure = 0.2               // weight of an error: two close together are needed
	hardFailure = 0.4               // weight of a dead connection or of silence: one is enough
	goodWeight  = 0.1               // weight of an answer
	zoneWeight  = 0.2               // of an answer or a hard failure, for all servers of a zone
	firstPause  = 500 * Millisecond // the list is unasked so long after a failure; a server is out at first
	pauseShare  = 2                 // the shortest target / pauseShare, but no longer
	longestOut  = 8                 // the pause doubles up to so many times the first

	coldSafety = 0.6 // of the rule's multiple: others may send more, or this gatherer before a restart

	resendShare = 0.2 // further sub-requests per search or part taken, where no budget is stated
	copyFloor   = 0.1 // of the budget left to copies when none succeeds, so that success can be seen
	trialPart   = 0.5 // of the budget, past which no trial is made

	medianStep  = 0.01               // how fast the median answer time is learned
	learnFirst  = 100                // answers that only teach what the median is
	limitWeight = 0.02               // smoothing of the in-flight limit
	limitSlack  = 1.5                // the present answer time may be so many times the shortest
	limitFloor  = 9.0                // parts in flight for each ready server, over all gatherers, always allowed
	widestFloor = 3                  // and so many of the widest searches
	shortestUp  = 1e-4               // the shortest answer time is forgotten so fast, per answer
	longPower   = 4                  // past limitSlack, how much less than pressed will do
	pressed     = 0.5                // of the limit: past it places are short; customers are held to shares
	shareSpan   = 2000 * Millisecond // over which a customer's searches are held against its share

	clientAway    = 10 * Millisecond // of a target that counts at the client, what the way takes
	fleetSafety   = 0.8              // of the free budget of all: one that is cut off may still use its part
	adviseShare   = 8                // a shed client is told to come back after target / adviseShare
	nearShare     = 0.7              // a near server that ends a part within so much of the target will do
	sizeWeight    = 0.01             // smoothing of what a part of a type takes by itself
	patienceFades = 200              // the longest patience seen is forgotten by a part in so many, per search

	weightSlack = 5e-5 // sums of weights may fall so short by rounding
	lookShare   = 25   // of the first pause, until a part that waits or is late is looked at again

	never     = Never
	listTimer = TimerID(math.MaxUint32) // the others bear their search's number
)

// Handle takes what happened and returns what is to be done.
func (g *Gatherer) Handle(now Time, ev Event) []Action {
	g.now, g.acts = max(now, g.now), nil
	switch e := ev.(type) {
	case ServerList:
		g.list(e)
	case SearchArrived:
		g.arrived(e)
	case Recalled:
		g.recalled(e)
	case MoreParts:
		if q := g.numbers[e.Number]; q != nil && q.second && len(q.parts) == 0 {
			g.fanOut(q, e.Parts)
		}
	case SubRequestEnded:
		g.ended(e)
	case SearchLeft:
		if q := g.open[e.Search]; q != nil {
			g.close(q)
		}
	case TimerFired:
		g.fired(e.Timer)
	case Probed:
		g.probed(e)
	case TypeChanged:
		g.setType(e.Type, e.Facts)
	case FleetChanged:
		g.fleet(e)
	case Told:
		g.told(e)
	}
	return g.acts
}

// setType puts the figures of a query type in force for the searches to come.
func (g *Gatherer) setType(at QueryType, t QueryTypeFacts) {
	t.LatencyTarget -= min(g.travel, t.LatencyTarget/2)
	g.pause = min(g.pause, max(t.LatencyTarget/pauseShare, Millisecond))
	for len(g.types) <= int(at) {
		g.types = append(g.types, nil)
	}
	r := &typeRules{t.Effect, t.LatencyTarget, t.ClientTimeout, t.Window, t.LeastShare, t.WholeAt,
		t.LateValue > 0, t.ShortValue*t.LeastShare >= t.LateValue, t.Square, t.SecondStep > 0,
		cmp.Or(t.MostSubRequests, g.most), g.learns * float64(t.LatencyTarget/firstShare), t.LeastShare, 0, -never}
	if t.Square {
		r.shortAt, r.shortCounts = max(t.LeastShare, math.Sqrt(t.LateValue)), true
	}
	if old := g.types[at]; old != nil {
		r.patience, r.gaveUpAt, r.size = old.patience, old.gaveUpAt, old.size
	}
	g.types[at] = r
}

func (g *Gatherer) do(a Action) { g.acts = append(g.acts, a) }
