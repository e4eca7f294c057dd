package balancer

// Balancer is the state machine of one instance. Its methods must not be called concurrently.
type Balancer struct {
	settings
	estimates

	types     []*typePolicy
	customers []customer // the last one counts the requests of all customers
	rand      mwc
	now       Time
	actions   []Action

	servers          map[ServerID]*server // removed servers stay while calls are in flight or were sent recently
	ready            []*server            // sorted by cell and id
	replicas         [][]*server          // ready servers of each shard, sorted by cell and id
	zones            map[ZoneIndex]*zone
	requests         map[RequestID]*request // open requests
	requestsByNumber map[RequestNumber]*request
	inFlight         map[ShardCallID]*shardCall // calls with an attempt in flight
	plannedWork      map[*server]float64        // work that the plan in preparation assigns to each server

	cells        int            // grows with the shards if the replication factor is 1
	baseEjection Time           // duration of a server's first ejection
	budgets      []*retryBudget // one for each shard, or one for all
	budgetFrom   Time           // start of the base retry budget
	shrinkAt     Time           // when the budget is divided among fewer instances
	listBackoff  Time           // delay of the next request for the server list
	listTimerSet bool
}

// settings are the parts of the Config that do not change.
type settings struct {
	replicationFactor, maxAttempts int
	margin                         Time // time by which work must finish before a deadline
	maxRetryAfter                  Time // 0 = none
	maxListBackoff                 Time
	allowCancel, allowHedging      bool
	listOnRequest, retriesMarked   bool
	hedgeProbation                 bool // probation attempts are hedges of an attempt at a healthy server
	checkFirst                     bool // a health check precedes each probation attempt
	slowStartDuration              Time
	slowStartShare                 float64
	slowStartMultiple              float64 // allowance at full capacity, as a multiple of the work of a warm server
	overloadWindow, budgetWindow   Time
	budgetBase, budgetRatio        float64
	budgetPerShard                 bool // each shard has a budget; all instances share budgetBase
	networkDelay                   Time
	inferTimeout, preferLocal      bool
	localZone                      ZoneIndex
	millisPerTick                  float64         // 0 = call sizes are not measured
	callCost                       float64         // added to each size: most attempts are frames of their own
	limiter                        CapacityLimiter // nil = none
}

// estimates are measurements of the cluster as a whole. Unit latency is latency divided by work.
type estimates struct {
	meanLatency     float64 // harmonic mean unit latency of the ready servers that are measured; 0 = none
	currentLatency  float64 // median unit latency of recent answers; 0 = none
	baseLatency     float64 // minimum of currentLatency, which rises slowly; 0 = none
	latencySamples  int     // number of answers in currentLatency and baseLatency
	meanSize        float64 // mean size of a call
	meanQueue       float64 // mean of reported queue lengths
	retrySuccess    float64 // share of retries and hedges that provide the answer
	warmWork        float64 // mean work sent to a warm server within overloadWindow, as last measured
	deadIdleShare   float64 // share of idle connections found dead
	deadIdleAt      Time
	widestRequest   int     // largest number of calls of a request
	stuckCalls      int     // attempts in flight at silent servers
	limit           float64 // maximum number of calls in flight
	instances       float64
	recentInstances float64 // largest number of instances within the budget window
}

// New returns a balancer without measurements.
func New(config Config) *Balancer {
	b := &Balancer{
		settings: newSettings(config), rand: newMWC(config.Seed),
		cells: config.Cells, replicas: make([][]*server, config.Shards),
		servers: map[ServerID]*server{}, zones: map[ZoneIndex]*zone{}, plannedWork: map[*server]float64{},
		requests: map[RequestID]*request{}, requestsByNumber: map[RequestNumber]*request{},
		inFlight:    map[ShardCallID]*shardCall{},
		listBackoff: firstBackoff, baseEjection: firstBackoff,
	}
	b.meanSize, b.retrySuccess, b.instances = 1, 1, float64(max(config.Instances, 1))
	if b.budgetPerShard {
		b.recentInstances = b.instances
	} else {
		b.budgets = []*retryBudget{b.newRetryBudget()}
	}
	if config.RetryBudgetDelayed {
		b.budgetFrom = Never // until ClusterResized starts the first window
	}
	for i, t := range config.QueryTypes {
		b.setQueryType(QueryType(i), t)
		b.hedgeProbation = b.hedgeProbation || config.AllowHedging && config.AllowCancel &&
			config.MaxAttempts > 1 && t.Idempotency == Idempotent
	}
	b.hedgeProbation = b.hedgeProbation || config.AllowHedging && b.budgetPerShard
	b.checkFirst = config.AllowHealthChecks && !b.hedgeProbation
	b.addCustomers(config)
	return b
}

// newSettings derives the settings from the configuration, with defaults for a retry budget that is not set.
func newSettings(config Config) settings {
	s := settings{
		replicationFactor: min(config.ReplicationFactor, config.Cells),
		maxAttempts:       config.MaxAttempts,
		margin:            max(2*config.ClockResolution, 4*Millisecond),
		maxRetryAfter:     config.MaxRetryAfter,
		maxListBackoff:    max(config.MaxListAge/2, firstBackoff),
		allowCancel:       config.AllowCancel,
		allowHedging:      config.AllowHedging,
		listOnRequest:     config.ListOnRequest,
		retriesMarked:     config.RetriesMarked,
		slowStartDuration: config.SlowStartDuration,
		slowStartShare:    config.SlowStartShare,
		slowStartMultiple: slowStartSafety * max(config.OverloadMultiple, 1),
		overloadWindow:    config.OverloadWindow,
		budgetWindow:      config.RetryBudgetWindow,
		budgetBase:        config.RetryBudgetBase,
		budgetRatio:       config.RetryBudgetRatio,
		budgetPerShard:    config.RetryBudgetPerShard,
		inferTimeout:      config.InferClientTimeout,
		preferLocal:       config.PreferLocalZone,
		localZone:         config.LocalZone,
		callCost:          config.CallCost,
		limiter:           config.Limiter,
	}
	if config.InferClientTimeout {
		s.millisPerTick = 1 / float64(Millisecond)
	}
	if config.MeasuredAtClient {
		s.networkDelay = clientNetworkDelay
	}
	if !config.RetryBudgetSet {
		s.budgetBase, s.budgetRatio, s.budgetWindow = float64(s.maxAttempts), defaultRetryRatio, 10*quotaWindow
	}
	return s
}

// addCustomers creates the customers with their quotas. There are no quotas if requests above quota have full value.
func (b *Balancer) addCustomers(config Config) {
	windowSeconds := float64(quotaWindow) / float64(1000*Millisecond) / b.instances
	all := customer{0, newWindowCounter(quotaWindow)}
	for _, c := range config.Customers {
		if config.OverQuotaValue < 1 {
			quota := c.QuotaPerSecond * windowSeconds
			b.customers = append(b.customers, customer{quota, newWindowCounter(quotaWindow)})
			all.quota += quota
		}
	}
	b.customers = append(b.customers, all)
}

// Handle processes an event at a time and returns the actions to perform, in order. A time earlier than that of the
// previous event counts as that one.
func (b *Balancer) Handle(now Time, event Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	switch e := event.(type) {
	case ServerList:
		b.applyServerList(e)
	case RequestArrived:
		b.requestArrived(e)
	case RecordsRestored:
		b.restoreRecords(e)
	case SecondPhaseArrived:
		if req := b.requestsByNumber[e.Number]; req != nil && req.inSecondPhase && len(req.calls) == 0 {
			b.fanOut(req, e.Calls)
		}
	case AttemptEnded:
		b.attemptEnded(e)
	case RequestCancelled:
		if req := b.requests[e.Request]; req != nil {
			b.close(req)
		}
	case TimerFired:
		b.timerFired(e.Timer)
	case HealthCheckEnded:
		b.healthCheckEnded(e)
	case QueryTypeChanged:
		b.setQueryType(e.Type, e.Config)
	case ClusterResized:
		b.resize(e)
	case BudgetShared:
		if b.budgetPerShard && max(e.Shard, e.Source) < ShardIndex(len(b.budgets)) {
			b.budgets[e.Shard] = b.budgets[e.Source]
		}
	case PeerUpdate:
		b.applyPeerUpdate(e)
	}
	return b.actions
}

// emit appends an action to the result of Handle.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
