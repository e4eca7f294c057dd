package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The limiter model simulates one gateway. Its tenants' shard calls arrive in bursts, wait for a connection to one of a
// few servers and hold it for some time. The limiter's decisions are checked against an independent computation of fair
// shares.

// limiterDefect is a defect injected into the model, which the checks must detect.
type limiterDefect int

const (
	noLimiterDefect   limiterDefect = iota
	denialIgnored                   // a connection is acquired despite a denial
	releaseLost                     // a release is not recorded
	releaseDuplicated               // a release is recorded twice
	weightsIgnored                  // all tenants have the same weight
	floorsIgnored                   // floors are not set
	reserveIgnored                  // no connections are reserved for recently active tenants
	denialsForgotten                // denials don't count as unmet demand
	creditIgnored                   // credits do not determine precedence
	maximaIgnored                   // maxima are not set
)

const (
	modelService     Service = "x"
	limiterModelStep         = 2 * time.Millisecond
	limiterModelEnd          = 26 * time.Second
	maxWaiting               = 600 // waiting calls of a tenant
	burstSize                = 200 // calls that arrive at once when the highest rate begins
	backlogThreshold         = 40  // waiting calls from which a tenant counts as backlogged
	minBacklogSteps          = 3500
	never                    = -time.Hour
)

type modelConnection struct {
	server ServerID
	tenant int
	endsAt time.Duration
}

type limiterModel struct {
	rng     *rand.Rand
	defect  limiterDefect
	limiter *Limiter
	now     time.Duration

	policies []TenantPolicy
	tenants  []TenantID // by index of the policy
	limit    int        // connections of each server
	servers  int

	connections []modelConnection
	rates       []float64         // calls per step, by tenant
	waiting     []int             // waiting calls, by tenant
	lastHeld    [][]time.Duration // when a tenant last acquired or released a connection, by server and tenant
	lastDenied  [][]time.Duration // when a tenant was last denied a connection, by server and tenant
	lastServed  []time.Duration   // when a tenant last acquired a connection or had no call waiting
	longestHold time.Duration

	backlogSteps    float64   // number of steps in which all tenants were backlogged
	connectionSteps []float64 // sum of the connections in use in these steps, by tenant
}

func newLimiterModel(seed uint64, defect limiterDefect) *limiterModel {
	rng := rand.New(rand.NewPCG(seed, 11))
	m := &limiterModel{rng: rng, limiter: NewLimiter(seed), defect: defect, servers: 1 + rng.IntN(4), limit: 1 + rng.IntN(12)}
	m.generatePolicies()
	m.setPolicies()
	for server := range m.servers {
		m.limiter.SetServer(ServerID(server), modelService, m.limit, m.limit)
		m.lastHeld = append(m.lastHeld, slices.Repeat([]time.Duration{never}, len(m.policies)))
		m.lastDenied = append(m.lastDenied, slices.Repeat([]time.Duration{never}, len(m.policies)))
	}
	m.rates = make([]float64, len(m.policies))
	m.waiting = make([]int, len(m.policies))
	m.lastServed = make([]time.Duration, len(m.policies))
	m.connectionSteps = make([]float64, len(m.policies))
	return m
}

// generatePolicies generates random policies.
func (m *limiterModel) generatePolicies() {
	for i := range 2 + m.rng.IntN(4) {
		policy := TenantPolicy{Name: fmt.Sprint("t", i), Weight: float64(1 + m.rng.IntN(4)), MaxBorrowed: -1}
		if m.rng.IntN(3) == 0 && m.limit > 3 {
			policy.Floor = 1
		}
		if m.rng.IntN(4) == 0 {
			policy.Max = float64(1 + m.rng.IntN(m.limit))
			policy.Floor = min(policy.Floor, policy.Max)
		}
		m.policies = append(m.policies, policy)
	}
}

func (m *limiterModel) setPolicies() {
	policies := slices.Clone(m.policies)
	for i := range policies {
		switch m.defect {
		case weightsIgnored:
			policies[i].Weight = 1
		case maximaIgnored:
			policies[i].Max = 0
		}
	}
	m.tenants = m.limiter.SetPolicies(policies)
	var floors []TenantID
	for i, policy := range m.policies {
		if policy.Floor > 0 && m.defect != floorsIgnored {
			floors = append(floors, m.tenants[i])
		}
	}
	m.limiter.SetFloors(modelService, floors)
	if m.defect == floorsIgnored {
		for i := range m.limiter.policies {
			m.limiter.policies[i].Floor = 0
		}
	}
}

const anyTenant = -1

// inUse returns the number of connections to a server that one tenant or, for anyTenant, all tenants use.
func (m *limiterModel) inUse(server ServerID, tenant int) (connections int) {
	for _, connection := range m.connections {
		if connection.server == server && (tenant == anyTenant || connection.tenant == tenant) {
			connections++
		}
	}
	return connections
}

// acquire requests another connection for a tenant from each server in turn until one allows it. It returns the first
// violation of a check, "" = none, and whether a connection was acquired.
func (m *limiterModel) acquire(tenant int, hold time.Duration) (violation string, acquired bool) {
	first := m.rng.IntN(m.servers)
	for offset := range m.servers {
		server := ServerID((first + offset) % m.servers)
		inUse, own := m.inUse(server, anyTenant), m.inUse(server, tenant)
		allowed := m.limiter.CanAcquire(server, m.tenants[tenant], m.now)
		m.loseState(server)
		if !allowed {
			m.lastDenied[server][tenant] = m.now
			if violation := m.checkDenial(server, tenant, inUse, own); violation != "" {
				return violation, false
			}
			if m.defect != denialIgnored || m.rng.IntN(20) > 0 {
				continue
			}
		}
		if violation := m.checkLimits(server, tenant, inUse, own); violation != "" {
			return violation, true
		}
		if violation := m.checkAcquisition(server, tenant, own); violation != "" {
			return violation, true
		}
		m.limiter.Acquire(server, m.tenants[tenant], m.now)
		m.lastHeld[server][tenant], m.lastDenied[server][tenant] = m.now, never
		m.connections = append(m.connections, modelConnection{server: server, tenant: tenant, endsAt: m.now + hold})
		m.longestHold = max(m.longestHold, hold)
		return "", true
	}
	return "", false
}

// loseState applies the defects that lose parts of a server's state.
func (m *limiterModel) loseState(server ServerID) {
	for _, usage := range m.limiter.servers[server].tenants {
		switch m.defect {
		case denialsForgotten:
			usage.deniedAt = -denialWindow
		case creditIgnored:
			usage.credit = 0
		}
	}
}

// recentlyDenied reports whether a server denied a tenant a connection within half of denialWindow.
func (m *limiterModel) recentlyDenied(server ServerID, tenant int) bool {
	return m.now-m.lastDenied[server][tenant] < denialWindow/2
}

// competitors returns the other tenants that use connections of a server or were recently denied one.
func (m *limiterModel) competitors(server ServerID, tenant int) (others []int) {
	for other := range m.policies {
		if other != tenant && (m.inUse(server, other) > 0 || m.recentlyDenied(server, other)) {
			others = append(others, other)
		}
	}
	return others
}

// runLimiterModel returns the first violation of a check, "" = none.
func runLimiterModel(seed uint64, defect limiterDefect) string {
	m := newLimiterModel(seed, defect)
	for m.now = time.Second; m.now < limiterModelEnd; m.now += limiterModelStep {
		m.changeRates()
		m.endConnections()
		newlyWaiting := m.addCalls()
		for _, tenant := range m.rng.Perm(len(m.rates)) {
			if violation := m.serve(tenant, newlyWaiting[tenant]); violation != "" {
				return violation
			}
		}
		if violation := m.checkCounts(); violation != "" {
			return violation
		}
		m.recordBacklog()
	}
	return m.checkMeanShares()
}

func (m *limiterModel) changeRates() {
	if m.rng.IntN(400) > 0 {
		return
	}
	tenant := m.rng.IntN(len(m.rates))
	m.rates[tenant] = []float64{0, 0.02, 0.2, 3}[m.rng.IntN(4)]
	if m.rates[tenant] == 3 {
		m.addWaiting(tenant, burstSize)
	}
}

func (m *limiterModel) addWaiting(tenant, calls int) {
	m.waiting[tenant] += calls
	m.limiter.AddWaiting(modelService, m.tenants[tenant], calls)
}

func (m *limiterModel) endConnections() {
	remaining := m.connections[:0]
	for _, connection := range m.connections {
		if m.now < connection.endsAt {
			remaining = append(remaining, connection)
			continue
		}
		m.lastHeld[connection.server][connection.tenant] = m.now
		for range m.releaseCount() {
			if m.defect != releaseLost || m.rng.IntN(200) > 0 {
				m.limiter.Release(connection.server, m.tenants[connection.tenant], 10*time.Millisecond, m.now)
			}
		}
		if m.defect == reserveIgnored {
			for _, queue := range m.limiter.queues {
				queue.lastUsed = -activityWindow
			}
		}
	}
	m.connections = remaining
}

func (m *limiterModel) releaseCount() int {
	if m.defect == releaseDuplicated && m.rng.IntN(30) == 0 {
		return 2
	}
	return 1
}

// addCalls adds the calls that arrive in one step, and returns which tenants had no waiting calls before.
func (m *limiterModel) addCalls() (newlyWaiting []bool) {
	newlyWaiting = make([]bool, len(m.rates))
	for tenant, rate := range m.rates {
		newlyWaiting[tenant] = m.waiting[tenant] == 0
		if m.rng.Float64() < rate {
			m.addWaiting(tenant, min(m.waiting[tenant]+1+int(rate), maxWaiting)-m.waiting[tenant])
		}
	}
	return newlyWaiting
}

// serve acquires connections for a tenant's waiting calls until one is denied.
func (m *limiterModel) serve(tenant int, newlyWaiting bool) string {
	for m.waiting[tenant] > 0 {
		hold := time.Duration(4+m.rng.IntN(60)) * time.Millisecond
		if tenant == 0 {
			hold *= 3 // longer calls, as of a search over all shards
		}
		violation, acquired := m.acquire(tenant, hold)
		if violation != "" {
			return violation
		}
		if !acquired {
			if newlyWaiting {
				if violation := m.checkReserve(tenant); violation != "" {
					return violation
				}
			}
			break
		}
		newlyWaiting = false
		m.addWaiting(tenant, -1)
		m.lastServed[tenant] = m.now
	}
	if m.waiting[tenant] == 0 {
		m.lastServed[tenant] = m.now
	}
	return m.checkStarvation(tenant)
}

// recordBacklog counts the connections in use if all tenants are backlogged.
func (m *limiterModel) recordBacklog() {
	if slices.ContainsFunc(m.waiting, func(calls int) bool { return calls < backlogThreshold }) {
		return
	}
	m.backlogSteps++
	for _, connection := range m.connections {
		m.connectionSteps[connection.tenant]++
	}
}

func TestTenantsReceiveFairShares(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			if violation := runLimiterModel(seed, noLimiterDefect); violation != "" {
				t.Fatal(violation)
			}
		})
	}
}

func TestLimiterModelDetectsDefects(t *testing.T) {
	for name, defect := range map[string]limiterDefect{
		"denial ignored":     denialIgnored,
		"release lost":       releaseLost,
		"release duplicated": releaseDuplicated,
		"weights ignored":    weightsIgnored,
		"floors ignored":     floorsIgnored,
		"reserve ignored":    reserveIgnored,
		"denials forgotten":  denialsForgotten,
		"credit ignored":     creditIgnored,
		"maxima ignored":     maximaIgnored,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if violation := runLimiterModel(seed, defect); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("no check detected the defect")
		})
	}
}
