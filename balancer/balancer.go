package balancer

// Balancer is the state machine of one instance. Its methods must not be called concurrently.
type Balancer struct {
	settings
	estimates

	types     []*typePolicy
	customers []customer // the last one counts the requests of all
	rand      mwc
	now       Time
	actions   []Action

	servers          map[ServerID]*server // removed ones stay until nothing is in flight or was sent lately
	ready            []*server            // in order of cell and id
	replicas         [][]*server          // ready servers of each shard, in the same order
	zones            map[ZoneIndex]*zone
	requests         map[RequestID]*request // open ones
	requestsByNumber map[RequestNumber]*request
	inFlight         map[ShardCallID]*shardCall // calls with an attempt in flight
	plannedWork      map[*server]float64        // of the plan being drawn

	cells        int            // grows with the shards where the replication factor is 1
	baseEjection Time           // first ejection time of a server
	budgets      []*retryBudget // of each shard, or one for all
	budgetFrom   Time           // no base retry budget before it
	shrinkAt     Time           // when fewer instances begin to share the budget
	listBackoff  Time           // until the next request for the server list
	listTimerSet bool
}

// settings are the parts of the Config that stay as they are.
type settings struct {
	replicationFactor, maxAttempts int
	margin                         Time // by which work finishes ahead of a deadline
	maxRetryAfter                  Time // 0 = none
	maxListBackoff                 Time
	allowCancel, allowHedging      bool
	listOnRequest, retriesMarked   bool
	hedgeProbation                 bool // probation attempts go beside an attempt on a healthy server
	checkFirst                     bool // a health check precedes each probation attempt
	slowStartDuration              Time
	slowStartShare                 float64
	slowStartMultiple              float64 // of the work of a warm server, the allowance at full capacity
	overloadWindow, budgetWindow   Time
	budgetBase, budgetRatio        float64
	sharedBudgetBase               float64 // of all instances, for each shard; 0 = one budget for all shards
	networkDelay                   Time
	inferTimeout, preferLocal      bool
	localZone                      ZoneIndex
	millisPerTick                  float64         // 0 = the sizes of calls are not learned
	callCost                       float64         // part of each size: most attempts are frames of their own
	limiter                        CapacityLimiter // nil = none
}

// estimates are what the balancer learns of the cluster as a whole. Unit latency is latency over work.
type estimates struct {
	meanLatency     float64 // unit latency of the ready servers that are measured; 0 = none is
	currentLatency  float64 // median unit latency of recent answers; 0 = none
	baseLatency     float64 // lowest currentLatency, slowly forgotten; 0 = none
	latencySamples  int     // answers in these two
	meanSize        float64 // of a call
	meanQueue       float64 // of reported queue lengths
	retrySuccess    float64 // share of retries and hedges that win
	warmWork        float64 // sent to a warm server within overloadWindow, when there last was one
	deadIdleShare   float64 // share of idle connections found dead
	deadIdleAt      Time
	widestRequest   int     // most calls of a request
	stuckCalls      int     // attempts in flight at silent servers
	limit           float64 // of calls in flight
	instances       float64
	recentInstances float64 // most instances within the budget window
}

// New returns a balancer that has measured nothing yet.
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
	if config.RetryBudgetPerShard {
		b.sharedBudgetBase, b.recentInstances = b.budgetBase, b.instances
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
	b.hedgeProbation = b.hedgeProbation || config.AllowHedging && config.RetryBudgetPerShard
	b.checkFirst = config.AllowHealthChecks && !b.hedgeProbation
	b.addCustomers(config)
	return b
}

// newSettings derives the settings from the configuration. A retry budget that is not stated has defaults.
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
	if !config.HasRetryBudget {
		s.budgetBase, s.budgetRatio, s.budgetWindow = float64(s.maxAttempts), defaultRetryRatio, 10*quotaWindow
	}
	return s
}

// addCustomers sets up the quotas. There are none where requests above quota are worth as much as others.
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

// Handle processes one event at a moment and returns the actions to perform, in order. A moment before the
// last one counts as the last one.
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
		if b.sharedBudgetBase > 0 && max(e.Shard, e.With) < ShardIndex(len(b.budgets)) {
			b.budgets[e.Shard] = b.budgets[e.With]
		}
	case PeerUpdate:
		b.peerUpdate(e)
	}
	return b.actions
}

// emit appends an action to those that Handle returns.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
