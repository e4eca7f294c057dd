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

// dispatcher owns the balancer and runs it on one goroutine, which converts messages into events of the balancer and
// performs the resulting actions. Once run has started only that goroutine may access the fields below the mailbox, except
// where noted.
type dispatcher struct {
	mailbox
	deployment     balancerconfig.Deployment
	clock          clock
	balancer       *balancer.Balancer
	watcher        *discovery.Watcher
	descriptors    *descriptorPool
	connConfig     shardconn.Config
	onListReady    func()              // called after each update that leaves a server in the list
	setMergeLimits func(share float64) // applies a share of the configured merge limits; nil = no degradation

	requests      map[balancer.RequestID]*clientRequest // requests without a result
	calls         map[balancer.ShardCallID]*shardCall   // calls of these requests, and calls with an attempt in flight
	callsByWireID map[string]int                        // number of calls by the wire id of their request
	pending       int                                   // number of requests without a result plus their calls
	lastID        uint64                                // last id of a request or call
	lastNumber    balancer.RequestNumber
	timers        deadlineheap.Heap[balancer.TimerID]
	deferred      []balancer.Event // events caused by actions, handled after the current batch of actions

	servers       map[balancer.ServerID]*server // may include unlisted ones, see pruneServers
	serverIDs     map[string]balancer.ServerID  // ids of the servers, by host
	lastServerID  balancer.ServerID
	listedServers int // number of servers with listed set

	merges     *merge.Budget // shared by all open merges
	memory     *memorybudget.Budget
	valueSizes *memorybudget.SizeEstimator
	counters   *counters // of requests by result; any goroutine may read them

	degradation    *degradationState // nil = service is never degraded
	persistence    *persistence      // nil = nothing is stored
	recordsSavedAt balancer.Time
	ended          chan struct{} // closed at the end of shutdown, after the connections to servers
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

// shutdown saves the records of servers and closes the connections to servers. It closes done first, so that no server's
// client blocks on sending to the mailbox.
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

// fireTimers performs what is due: it saves the records of servers, evaluates degradation and fires the balancer's timers.
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

// receive handles one message from the mailbox.
func (d *dispatcher) receive(msg message) {
	switch m := msg.(type) {
	case requestArrived:
		d.requestArrived(m.request)
	case intentWritten:
		d.intentWritten(m)
	case intentTimeout:
		d.intentTimedOut(m.request)
	case clientDisconnected:
		d.clientDisconnected(m.request)
	case attemptEnded:
		d.attemptEnded(m.event)
	case healthCheckEnded:
		d.handle(m.event)
	case listReceived:
		d.listReceived(m.list)
	case watchFailed:
		if d.degradation != nil {
			d.degradation.monitor.RecordListResult(d.degradation.now(), false)
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

// handle passes an event to the balancer and performs the resulting actions. It then does the same with each event that
// those actions have deferred, until none is left.
func (d *dispatcher) handle(event balancer.Event) {
	d.perform(d.balancer.Handle(d.clock.now(), event))
	for len(d.deferred) > 0 {
		next := d.deferred[0]
		d.deferred = d.deferred[1:]
		d.perform(d.balancer.Handle(d.clock.now(), next))
	}
	d.deferred = nil
}

// perform performs actions in order, except that attempts are collected into one batch per server and sent at the end, or
// before the next Cancel, which may refer to one of them. If the mailbox of a server's client is full a command is dropped
// where that does no harm, and otherwise reported to the balancer as not dispatched.
func (d *dispatcher) perform(actions []balancer.Action) {
	var batches []attemptBatch
	for _, action := range actions {
		switch a := action.(type) {
		case balancer.Send:
			batches = d.addToBatch(batches, a)
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
				s.client.TrySubmit(shardconn.CloseIdle{}) // if its mailbox is full the connections remain in use
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
