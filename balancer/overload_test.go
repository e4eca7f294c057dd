package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

// Parameters of the simulated overload.
const (
	slotsPerServer    = 3                  // calls that a server executes concurrently
	lowLoadTime       = 3000 * Millisecond // duration of the low load before the overload
	maxRequestGap     = 22                 // longest interval between two requests: about 870 arrive per second
	shortRequestEvery = 4                  // one of this many requests is short
)

// overloadTypes are the long and the short request type of the simulated overload.
var overloadTypes = [2]struct{ work, target, timeout Time }{
	{20 * Millisecond, 120 * Millisecond, 1200 * Millisecond},
	{7 * Millisecond, 60 * Millisecond, 600 * Millisecond},
}

// overloadJob is an attempt at a simulated server.
type overloadJob struct {
	send      Send
	number    AttemptNumber
	queryType QueryType
	sentAt    Time
}

// overloadEvent is an event of the balancer, or the end of a job.
type overloadEvent struct {
	at    Time
	seq   int // order of creation
	event Event
	ended *overloadJob
}

// overloadSimulation simulates a shard of three servers, first at low load and then at twice its capacity. One of four
// requests is short.
type overloadSimulation struct {
	*harness
	overloadAt Time
	queue      []overloadEvent
	seq        int
	busy       map[ServerID]int
	waiting    map[ServerID][]overloadJob
	arrivedAt  map[RequestID]Time
	types      map[ShardCallID]QueryType
	attempts   map[ShardCallID]AttemptNumber

	arrived, inTime [2]int // by type, during the overload: all requests, and those answered in time
}

func newOverloadSimulation() *overloadSimulation {
	s := &overloadSimulation{harness: gatewayHarness(1, gatewayQueryType),
		busy: map[ServerID]int{}, waiting: map[ServerID][]overloadJob{}, arrivedAt: map[RequestID]Time{},
		types: map[ShardCallID]QueryType{}, attempts: map[ShardCallID]AttemptNumber{}}
	s.overloadAt = s.clock + lowLoadTime
	short := gatewayQueryType
	short.LatencyTarget, short.ClientTimeout = overloadTypes[1].target, overloadTypes[1].timeout
	s.handle(QueryTypeChanged{Type: 1, Config: short})
	s.handle(ClusterResized{Shards: 2, Instances: 1})
	idle := ServerList{Kind: ListDelta} // servers of another shard: the in-flight limit covers all shards
	for i := range 9 {
		idle.Servers = append(idle.Servers, Server{ID: ServerID(100 + i), Cell: 1, State: Ready})
	}
	s.handle(idle)
	return s
}

// push inserts an event into the queue, which is sorted by time.
func (s *overloadSimulation) push(e overloadEvent) {
	s.seq++
	e.seq = s.seq
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b overloadEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	s.queue = slices.Insert(s.queue, i, e)
}

// pushRequests queues the requests of the low-load phase and of an overload of the given duration.
func (s *overloadSimulation) pushRequests(seconds int) {
	random := rand.New(rand.NewPCG(3, 4))
	end := s.overloadAt + Time(seconds)*1000*Millisecond
	for at := s.clock; at < end; at += Time(1 + random.IntN(maxRequestGap)) {
		if at < s.overloadAt {
			at += Time(random.IntN(40))
		}
		s.seq++
		id, queryType := RequestID(s.seq), QueryType(0)
		if random.IntN(shortRequestEvery) == 0 {
			queryType = 1
		}
		if at >= s.overloadAt {
			s.arrived[queryType]++
		}
		s.types[ShardCallID(id)] = queryType
		s.push(overloadEvent{at: at, event: RequestArrived{Request: id, Number: RequestNumber(id), Type: queryType,
			Timeout: overloadTypes[queryType].timeout, Calls: []ShardCall{{ID: ShardCallID(id), Weight: 1}}}})
	}
}

// run processes all events.
func (s *overloadSimulation) run() {
	for len(s.queue) > 0 {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.clock = max(s.clock, e.at)
		if e.ended != nil {
			s.end(e.ended)
			continue
		}
		if a, ok := e.event.(RequestArrived); ok {
			s.arrivedAt[a.Request] = s.clock
		}
		s.perform(s.handle(e.event))
	}
}

func (s *overloadSimulation) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			job := overloadJob{a, s.attempts[a.Call], s.types[a.Call], s.clock}
			s.attempts[a.Call]++
			if s.busy[a.Server] < slotsPerServer {
				s.start(job)
			} else {
				s.waiting[a.Server] = append(s.waiting[a.Server], job)
			}
		case SetTimer:
			s.push(overloadEvent{at: a.At, event: TimerFired{a.Timer}})
		case Answer:
			queryType, arrivedAt := s.types[ShardCallID(a.Request)], s.arrivedAt[a.Request]
			if arrivedAt >= s.overloadAt && s.clock-arrivedAt <= overloadTypes[queryType].target {
				s.inTime[queryType]++
			}
		}
	}
}

// start starts a job on its server, which has a free slot.
func (s *overloadSimulation) start(job overloadJob) {
	s.busy[job.send.Server]++
	s.push(overloadEvent{at: s.clock + overloadTypes[job.queryType].work, ended: &job})
}

// end ends a job and starts the next one waiting at its server.
func (s *overloadSimulation) end(job *overloadJob) {
	server := job.send.Server
	s.busy[server]--
	if waiting := s.waiting[server]; len(waiting) > 0 {
		s.start(waiting[0])
		s.waiting[server] = waiting[1:]
	}
	s.perform(s.handle(AttemptEnded{Call: job.send.Call, Attempt: job.number, Server: server, Elapsed: s.clock - job.sentAt,
		Outcome: Answered}))
}

// At twice the capacity, queues must stay short enough for short requests to be answered in time. Queues as long as the
// target of long requests would shed only short requests, without completing more long ones.
func TestLongQueueDoesNotShedShortRequests(t *testing.T) {
	s := newOverloadSimulation()
	s.pushRequests(8)
	s.run()
	arrived, inTime := s.arrived, s.inTime
	long, short := float64(inTime[0])/float64(arrived[0]), float64(inTime[1])/float64(arrived[1])
	t.Logf("in time: %.2f of %d long, %.2f of %d short requests", long, arrived[0], short, arrived[1])
	failIf(t, short < 0.4, "only %.2f of the short requests are answered in time", short)
	work := inTime[0]*20 + inTime[1]*7
	failIf(t, float64(work) < 0.7*9*8000, "the servers spent only %d ms on answers in time", work)
}
