package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model of one gatherer: tenants whose parts come in bursts, wait for a connection at one of a few servers and hold it for a
// while. After each step the rules are checked against a reckoning of the model's own.

// limiterDefect is a mistake planted in what the model tells or does.
type limiterDefect int

const (
	noLimiterDefect   limiterDefect = iota
	denialIgnored                   // a part goes out though there is no room
	releaseLost                     // a connection's end is not told
	releaseDuplicated               // or told twice
	weightsIgnored                  // all tenants weigh the same
	floorsIgnored                   // nobody is told of floors
	reserveIgnored                  // who was there a moment ago is not expected back
	denialsForgotten                // a refusal is not remembered
	creditIgnored                   // who had less than its part so far is not told from who had more
	maximaIgnored                   // the bound of a tenant is not told
)

type modelConnection struct {
	server ServerID
	tenant int
	endsAt time.Duration
}

type limiterModel struct {
	rng             *rand.Rand
	limiter         *Limiter
	defect          limiterDefect
	now             time.Duration
	policies        []TenantPolicy
	tenants         []TenantID
	limit           int
	servers         int
	connections     []modelConnection
	waiting         []int             // parts, by tenant
	since           []time.Duration   // when the oldest of them began to wait, roughly: when the tenant was last given nothing
	lastHeld        [][]time.Duration // when a tenant last held one, by server
	lastDenied      [][]time.Duration // when it was last refused
	connectionSteps []float64         // connections held over time while all of the backlogged waited
	steps           float64
	longestHold     time.Duration
}

func (m *limiterModel) count(s ServerID, t int) (n int) {
	for _, h := range m.connections {
		if h.server == s && (t < 0 || h.tenant == t) {
			n++
		}
	}
	return n
}

func newLimiterModel(rng *rand.Rand, defect limiterDefect, seed uint64) *limiterModel {
	model := &limiterModel{rng: rng, limiter: NewLimiter(seed), defect: defect, servers: 1 + rng.IntN(4), limit: 1 + rng.IntN(12)}
	for i := range 2 + rng.IntN(4) {
		t := TenantPolicy{Name: fmt.Sprint("t", i), Weight: float64(1 + rng.IntN(4)), MaxBorrowed: -1}
		if rng.IntN(3) == 0 && model.limit > 3 {
			t.Floor = 1
		}
		if rng.IntN(4) == 0 {
			t.Max = float64(1 + rng.IntN(model.limit))
			t.Floor = min(t.Floor, t.Max)
		}
		model.policies = append(model.policies, t)
	}
	policies := slices.Clone(model.policies)
	for i := range policies {
		switch defect {
		case weightsIgnored:
			policies[i].Weight = 1
		case maximaIgnored:
			policies[i].Max = 0
		}
	}
	model.tenants = model.limiter.SetPolicies(policies)
	var floors []TenantID
	for i, t := range model.policies {
		if t.Floor > 0 && defect != floorsIgnored {
			floors = append(floors, model.tenants[i])
		}
	}
	model.limiter.SetFloors("x", floors)
	if defect == floorsIgnored {
		for i := range model.limiter.policies {
			model.limiter.policies[i].Floor = 0
		}
	}
	for s := range model.servers {
		model.limiter.SetServer(ServerID(s), "x", model.limit, model.limit)
		model.lastHeld = append(model.lastHeld, slices.Repeat([]time.Duration{-time.Hour}, len(model.policies)))
		model.lastDenied = append(model.lastDenied, slices.Repeat([]time.Duration{-time.Hour}, len(model.policies)))
	}
	model.waiting, model.connectionSteps = make([]int, len(model.policies)), make([]float64, len(model.policies))
	return model
}

// fairShare is the reference: tenant t's part by weights beside those given, with nobody above its most, by halving in the level.
func (m *limiterModel) fairShare(t int, among []int) float64 {
	at := func(x float64, o int) float64 {
		v := math.Max(x*m.policies[o].Weight, m.policies[o].Floor)
		if maximum := m.policies[o].Max; maximum > 0 {
			v = min(v, maximum)
		}
		return v
	}
	low, high := 0.0, float64(m.limit)
	for range 60 {
		x, sum := (low+high)/2, 0.0
		for _, o := range among {
			sum += at(x, o)
		}
		if sum > float64(m.limit) {
			high = x
		} else {
			low = x
		}
	}
	return at(low, t)
}

// acquire asks for one more connection of a tenant at the servers in turn.
func (m *limiterModel) acquire(t int, hold time.Duration) (fault string, sent bool) {
	first := m.rng.IntN(m.servers)
	for k := range m.servers {
		s := ServerID((first + k) % m.servers)
		total, mine := m.count(s, -1), m.count(s, t)
		room := m.limiter.CanAcquire(s, m.tenants[t], m.now)
		if m.defect == denialsForgotten {
			for _, e := range m.limiter.servers[s].tenants {
				e.deniedAt = -denialWindow
			}
		}
		if m.defect == creditIgnored {
			for _, e := range m.limiter.servers[s].tenants {
				e.credit = 0
			}
		}
		if !room {
			m.lastDenied[s][t] = m.now
			if fault := m.checkDenial(s, t, total, mine); fault != "" {
				return fault, false
			}
			if m.defect != denialIgnored || m.rng.IntN(20) > 0 {
				continue
			}
		}
		if total >= m.limit {
			return fmt.Sprintf("%v: server %d is given a connection beyond the part of %d", m.now, s, m.limit), true
		}
		if maximum := m.policies[t].Max; maximum > 0 && float64(mine+1) > max(maximum, 1) {
			return fmt.Sprintf("%v: %s is given connection %d at server %d and may have %v", m.now, m.policies[t].Name, mine+1, s, maximum), true
		}
		if fault := m.checkGrant(s, t, mine); fault != "" {
			return fault, true
		}
		m.limiter.Acquire(s, m.tenants[t], m.now)
		m.lastHeld[s][t], m.lastDenied[s][t] = m.now, -time.Hour
		m.connections = append(m.connections, modelConnection{s, t, m.now + hold})
		m.longestHold = max(m.longestHold, hold)
		return "", true
	}
	return "", false
}

// competitors are the tenants that hold or want connections at a server.
func (m *limiterModel) competitors(s ServerID, not int) (all []int) {
	for o := range m.policies {
		if o != not && (m.count(s, o) > 0 || m.now-m.lastDenied[s][o] < denialWindow/2) {
			all = append(all, o)
		}
	}
	return all
}

// checkGrant: nobody gets more than its part where what is left then is too little for those who want one and have less than theirs.
func (m *limiterModel) checkGrant(s ServerID, t, mine int) string {
	all := append(m.competitors(s, t), t)
	if float64(mine+1) <= math.Ceil(m.fairShare(t, all)) {
		return ""
	}
	short, who := 0, ""
	for _, o := range all {
		if has := m.count(s, o); o != t && m.now-m.lastDenied[s][o] < denialWindow/2 {
			if d := min(int(0.9*m.fairShare(o, all))-has, m.waiting[o]); d > 0 { // a little of it may be lent to who wants nothing now
				short, who = short+d, fmt.Sprintf("%s %s has %d of %.1f", who, m.policies[o].Name, has, m.fairShare(o, all))
			}
		}
	}
	if left := m.limit - m.count(s, -1) - 1; short > left {
		return fmt.Sprintf("%v: %s takes connection %d at server %d, which leaves %d:%s", m.now, m.policies[t].Name, mine+1, s, left, who)
	}
	return ""
}

// checkDenial: a lone tenant is refused nothing; one below its floor has room while there is a connection left.
func (m *limiterModel) checkDenial(s ServerID, t, total, mine int) string {
	if total >= m.limit {
		return ""
	}
	if float64(mine+1) <= m.policies[t].Floor {
		return fmt.Sprintf("%v: %s has %d, below its floor of %v, and is refused at server %d with %d of %d out", m.now, m.policies[t].Name, mine, m.policies[t].Floor, s, total, m.limit)
	}
	alone := m.policies[t].Max == 0 || float64(mine+1) <= m.policies[t].Max
	for o := range m.policies {
		alone = alone && (o == t || m.policies[o].Floor == 0 && m.count(s, o) == 0 && m.now-m.lastHeld[s][o] > presenceWindow && m.now-m.lastDenied[s][o] > presenceWindow)
	}
	if alone {
		return fmt.Sprintf("%v: %s is alone at server %d and refused with %d of %d out", m.now, m.policies[t].Name, s, total, m.limit)
	}
	return ""
}

// expected: one that was here a moment ago and comes again finds a connection at once beside one other that borrows, whose every
// connection was taken since.
func (m *limiterModel) checkReserve(t int) string {
	newest := time.Duration(0)
	for s := range m.servers {
		newest = max(newest, m.lastHeld[s][t])
	}
	if away := m.now - newest; len(m.policies) != 2 || m.limit < 2 || away < 200*time.Millisecond || away > presenceWindow/2 || m.policies[t].Max > 0 {
		return ""
	}
	for s := range m.servers {
		if o := 1 - t; float64(m.count(ServerID(s), o)) <= math.Ceil(m.fairShare(o, []int{o, t})) {
			return ""
		}
	}
	return fmt.Sprintf("%v: %s was here a moment ago and finds %s holding all %d at each server", m.now, m.policies[t].Name, m.policies[1-t].Name, m.limit)
}

func runLimiterModel(seed uint64, defect limiterDefect) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	model := newLimiterModel(rng, defect, seed)
	const step = 2 * time.Millisecond
	rate := make([]float64, len(model.policies))
	starved := make([]time.Duration, len(model.policies))
	for model.now = time.Second; model.now < 26*time.Second; model.now += step {
		if rng.IntN(400) == 0 { // a run begins or ends, in one tick
			t := rng.IntN(len(rate))
			rate[t] = []float64{0, 0.02, 0.2, 3}[rng.IntN(4)]
			if rate[t] == 3 {
				model.waiting[t] += 200
				model.limiter.AddWaiting("x", model.tenants[t], 200)
			}
		}
		remaining := model.connections[:0]
		for _, h := range model.connections {
			if model.now < h.endsAt {
				remaining = append(remaining, h)
				continue
			}
			model.lastHeld[h.server][h.tenant] = model.now
			for range releaseCount(defect, rng) {
				if defect != releaseLost || rng.IntN(200) > 0 {
					model.limiter.Release(h.server, model.tenants[h.tenant], 10*time.Millisecond, model.now)
				}
			}
			if defect == reserveIgnored {
				for _, q := range model.limiter.queues {
					q.lastUsed = -presenceWindow
				}
			}
		}
		model.connections = remaining
		newlyWaiting := make([]bool, len(rate)) // those that waited for nothing until now
		for t := range rate {
			newlyWaiting[t] = model.waiting[t] == 0
			if rng.Float64() < rate[t] {
				more := min(model.waiting[t]+1+int(rate[t]), 600) - model.waiting[t]
				model.waiting[t] += more
				model.limiter.AddWaiting("x", model.tenants[t], more)
			}
		}
		for _, t := range rng.Perm(len(rate)) {
			for model.waiting[t] > 0 {
				hold := time.Duration(4+rng.IntN(60)) * time.Millisecond
				if t == 0 {
					hold *= 3 // a gather across all shards
				}
				fault, sent := model.acquire(t, hold)
				if fault != "" {
					return fault
				}
				if !sent {
					if fresh := newlyWaiting[t]; fresh {
						if fault := model.checkReserve(t); fault != "" {
							return fault
						}
					}
					break
				}
				newlyWaiting[t] = false
				model.waiting[t]--
				model.limiter.AddWaiting("x", model.tenants[t], -1)
				starved[t] = model.now
			}
			if model.waiting[t] == 0 {
				starved[t] = model.now
			}
			weights := 0.0
			for _, o := range model.policies {
				weights += o.Weight
			}
			if limit := model.longestHold*time.Duration(2+2*weights/model.policies[t].Weight) + creditDecay; model.now-starved[t] > limit {
				return fmt.Sprintf("%v: %s has waited %v for any connection", model.now, model.policies[t].Name, model.now-starved[t])
			}
		}
		for s := range model.servers {
			total := 0
			for _, e := range model.limiter.servers[ServerID(s)].tenants {
				total += e.inUse
			}
			if real := model.count(ServerID(s), -1); total != model.limiter.servers[ServerID(s)].inUse || defect == noLimiterDefect && real != total {
				return fmt.Sprintf("%v: server %d: %d connections reckoned, %d by tenants, %d out", model.now, s, model.limiter.servers[ServerID(s)].inUse, total, real)
			}
		}
		all := slices.IndexFunc(model.waiting, func(n int) bool { return n < 40 }) < 0
		if all {
			model.steps++
			for _, h := range model.connections {
				model.connectionSteps[h.tenant]++
			}
		}
	}
	// Where all wanted more than there was, each had its part over the time.
	if model.steps > 3500 {
		among := make([]int, len(model.policies))
		for i := range among {
			among[i] = i
		}
		for t := range model.policies {
			received, share := model.connectionSteps[t]/model.steps/float64(model.servers), model.fairShare(t, among)
			if received < 0.8*share-0.05 {
				return fmt.Sprintf("%s had %.2f connections a server in the mean where all waited, of %.2f", model.policies[t].Name, received, share)
			}
		}
	}
	return ""
}

func releaseCount(defect limiterDefect, rng *rand.Rand) int {
	if defect == releaseDuplicated && rng.IntN(30) == 0 {
		return 2
	}
	return 1
}

func TestTenantsReceiveFairShares(t *testing.T) {
	for seed := range uint64(8) {
		if fault := runLimiterModel(seed, noLimiterDefect); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
}

func TestLimiterModelDetectsDefects(t *testing.T) {
	for name, defect := range map[string]limiterDefect{"refusals ignored": denialIgnored, "an end is not told": releaseLost, "an end is told twice": releaseDuplicated,
		"weights lost": weightsIgnored, "floors lost": floorsIgnored, "no reserve": reserveIgnored, "refusals forgotten": denialsForgotten,
		"no credit": creditIgnored, "bounds lost": maximaIgnored} {
		found := false
		for seed := uint64(0); seed < 60 && !found; seed++ {
			if fault := runLimiterModel(seed, defect); fault != "" {
				found = true
				t.Logf("%s: seed %d: %s", name, seed, fault)
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}
