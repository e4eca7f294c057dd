package gatherer

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/deadlineheap"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/shardconn"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// dispatcher is the goroutine that owns the balancer. It turns messages into events of the balancer and performs the
// resulting actions. All fields below the mailbox belong to that goroutine, except where noted.
type dispatcher struct {
	mailbox
	deployment     balancerconfig.Deployment
	clock          clock
	balancer       *balancer.Balancer
	watcher        *discovery.Watcher
	descriptors    *descriptorPool
	connConfig     shardconn.Config
	onListReady    func()              // called whenever the list has a server
	setMergeLimits func(share float64) // applies a share of the configured limits of merges; nil = there are none

	requests      map[balancer.RequestID]*clientRequest // without result
	calls         map[balancer.ShardCallID]*shardCall   // of these, and those with an attempt in flight
	callsByWireID map[string]int                        // the number of calls by the wire id of their request
	pending       int                                   // requests without result, and their calls
	lastID        uint64                                // of requests and calls
	lastNumber    balancer.RequestNumber
	timers        deadlineheap.Heap[balancer.TimerID]
	deferred      []balancer.Event // results of actions, to be handled after them

	servers       map[balancer.ServerID]*server // those removed from the list stay until they outnumber the others
	serverIDs     map[string]balancer.ServerID  // the same, by host
	lastServerID  balancer.ServerID
	listedServers int

	merges     *merge.Budget // of open merges
	memory     *memorybudget.Budget
	valueSizes *memorybudget.SizeEstimator
	counters   *counters // of results

	degradation    *degradationState // nil = service is never degraded
	persistence    *persistence      // nil = nothing is stored
	recordsSavedAt balancer.Time
	ended          chan struct{} // closed once the connections to servers are closed as well
}

// run handles messages and timers until stop is closed.
func (d *dispatcher) run(stop <-chan struct{}) {
	defer d.shutdown()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := time.Hour
		if next, ok := d.timers.Next(); ok {
			wait = max(0, duration(balancer.Time(next)-d.clock.now()))
		}
		if d.degradation != nil {
			wait = min(wait, duration(evaluationInterval))
		}
		timer.Reset(wait)
		select {
		case msg := <-d.messages:
			d.receive(msg)
		case <-timer.C:
		case <-stop:
			return
		}
		d.fireTimers()
	}
}

// shutdown closes the connections to servers. The mailbox is closed first, so that none of their clients waits for the
// dispatcher.
func (d *dispatcher) shutdown() {
	close(d.done)
	if d.persistence != nil {
		d.saveServerRecords(d.clock.now())
	}
	for _, s := range d.servers {
		if s.client != nil {
			s.client.TrySubmit(shardconn.CloseAll{})
			s.client.Stop()
		}
	}
	for _, s := range d.servers {
		if s.client != nil {
			<-s.client.Done()
		}
	}
	close(d.ended)
}

// fireTimers does what is due: saving records, evaluating degradation, and the balancer's timers.
func (d *dispatcher) fireTimers() {
	now := d.clock.now()
	if d.persistence != nil && now-d.recordsSavedAt >= saveInterval {
		d.saveServerRecords(now)
	}
	if d.degradation != nil && now-d.degradation.evaluatedAt >= evaluationInterval {
		d.degradation.evaluate()
	}
	for next, ok := d.timers.Next(); ok && balancer.Time(next) <= now; next, ok = d.timers.Next() {
		d.handle(balancer.TimerFired{Timer: d.timers.Pop()})
	}
}

func (d *dispatcher) receive(msg message) {
	switch m := msg.(type) {
	case requestArrived:
		d.requestArrived(m.request)
	case intentWritten:
		d.intentWritten(m)
	case intentTimeout:
		d.intentTimedOut(m.request)
	case clientGone:
		d.clientGone(m.request)
	case attemptEnded:
		d.attemptEnded(m.event)
	case healthCheckEnded:
		d.handle(m.event)
	case listReceived:
		d.listReceived(m.list)
	case watchFailed:
		if d.degradation != nil {
			d.degradation.gauge.RecordListResult(d.degradation.now(), false)
		}
		d.handle(balancer.ServerList{Kind: balancer.ListFailed})
	case levelsReplaced:
		d.degradation.applyConfig(m.config)
	case operatorRequest:
		if d.degradation != nil {
			d.degradation.handleRequest(m.request)
		}
	}
}

// handle hands an event to the balancer and performs its actions, and does so for the events that these defer.
func (d *dispatcher) handle(event balancer.Event) {
	d.perform(d.balancer.Handle(d.clock.now(), event))
	for len(d.deferred) > 0 {
		next := d.deferred[0]
		d.deferred = d.deferred[1:]
		d.perform(d.balancer.Handle(d.clock.now(), next))
	}
	d.deferred = nil
}

// perform performs actions in order. Attempts are sent in batches; a Cancel comes after the attempts before it. A
// command that a full mailbox of a server's client refuses is lost where that does no harm.
func (d *dispatcher) perform(actions []balancer.Action) {
	var batches []outBatch
	for _, action := range actions {
		switch a := action.(type) {
		case balancer.Send:
			batches = d.gatherAttempt(batches, a)
		case balancer.Cancel:
			d.dispatchBatches(batches)
			batches = batches[:0]
			d.cancel(a)
		case balancer.Answer:
			d.answer(a)
		case balancer.Shed:
			d.finish(a.Request, result{kind: resultShed, retryAfter: a.RetryAfter})
		case balancer.Fail:
			d.finish(a.Request, result{kind: resultFailed})
		case balancer.SetTimer:
			d.timers.Push(int64(a.At), a.Timer)
		case balancer.Subscribe:
			d.watcher.Subscribe()
		case balancer.CloseIdle:
			if s := d.servers[a.Server]; s != nil && s.client != nil {
				s.client.TrySubmit(shardconn.CloseIdle{}) // if refused the connections are used as they are
			}
		case balancer.HealthCheck:
			if s := d.servers[a.Server]; s == nil || s.client == nil || !s.client.TrySubmit(shardconn.HealthCheck{}) {
				d.deferred = append(d.deferred,
					balancer.HealthCheckEnded{Server: a.Server, Outcome: balancer.NotDispatched})
			}
		}
	}
	d.dispatchBatches(batches)
}
