package balancer

import (
	"cmp"
	"slices"

	"pgregory.net/rapid"
)

// referenceModel is a slow and simple model of the rules that all actions must obey. It records all events and checks
// each action against all of them. It shares only the interface with the balancer.
type referenceModel struct {
	t           *rapid.T
	config      Config
	now         Time
	admitted    []Time // arrival times of requests and calls
	requests    []*modelRequest
	servers     map[ServerID]*modelServer
	attempts    []*modelAttempt
	maxWarmWork float64
}

type modelRequest struct {
	id                   RequestID
	number               RequestNumber
	queryType            QueryTypeConfig
	arrivedAt, timeout   Time
	phase                int // 1 or 2
	firstComplete, ended bool
	calls                []*modelCall
}

type modelCall struct {
	ShardCall
	phase    int
	answered bool
	attempts []*modelAttempt
}

type modelAttempt struct {
	call    ShardCallID
	number  AttemptNumber
	server  ServerID
	at      Time
	size    float64
	ended   bool
	outcome Outcome
}

type modelServer struct {
	Server
	unavailableSince Time // when it was listed as draining or removed; -1 = ready
	attempts         []*modelAttempt
}

func (m *referenceModel) failIf(failed bool, format string, args ...any) {
	m.t.Helper()
	if failed {
		m.t.Fatalf(format, args...)
	}
}

func (m *referenceModel) request(id RequestID) *modelRequest {
	i := slices.IndexFunc(m.requests, func(req *modelRequest) bool { return req.id == id })
	m.failIf(i < 0, "request %d never arrived", id)
	return m.requests[i]
}

func (m *referenceModel) call(id ShardCallID) (*modelRequest, *modelCall) {
	for _, req := range m.requests {
		if i := slices.IndexFunc(req.calls, func(call *modelCall) bool { return call.ID == id }); i >= 0 {
			return req, req.calls[i]
		}
	}
	m.t.Fatalf("call %d never arrived", id)
	return nil, nil
}

func (m *referenceModel) applyServerList(e ServerList) {
	if e.Kind == ListFailed {
		return
	}
	for _, s := range m.servers {
		if e.Kind == ListComplete || e.Kind == ListCached {
			s.setState(Removed, m.now)
		}
	}
	for _, entry := range e.Servers {
		s := m.servers[entry.ID]
		if s == nil {
			s = &modelServer{unavailableSince: -1}
			m.servers[entry.ID] = s
		}
		s.Server = entry
		s.setState(entry.State, m.now)
	}
}

func (s *modelServer) setState(state ServerState, now Time) {
	if s.State = state; state == Ready {
		s.unavailableSince = -1
	} else if s.unavailableSince < 0 {
		s.unavailableSince = now
	}
}

func (m *referenceModel) check(a Action) {
	switch a := a.(type) {
	case Send:
		m.checkSend(a)
	case Answer:
		m.checkAnswer(a)
	case Shed:
		req := m.request(a.Request)
		for _, call := range req.calls {
			for _, s := range call.attempts {
				mayHaveRun := !(s.ended && s.outcome.NeverRan())
				m.failIf(req.queryType.Idempotency == NonIdempotent && mayHaveRun,
					"no unsafe retry: request %d shed, but call %d may have run", req.id, call.ID)
			}
		}
		m.finish(req)
	case Fail:
		m.finish(m.request(a.Request))
	case Cancel:
		_, call := m.call(a.Call)
		m.failIf(!m.config.AllowCancel || int(a.Attempt) >= len(call.attempts),
			"cancel of call %d, attempt %d is not allowed", a.Call, a.Attempt)
	case SetTimer:
		m.failIf(a.At <= m.now, "timer set for %d, which is not after the current time %d", a.At, m.now)
	}
}

func (m *referenceModel) finish(req *modelRequest) {
	m.failIf(req.ended, "one outcome in time: request %d has two outcomes", req.id)
	req.ended = true
}

func (m *referenceModel) checkAnswer(a Answer) {
	req := m.request(a.Request)
	got, total, answered, calls := 0.0, 0.0, 0, 0
	for _, call := range req.calls {
		if call.phase != req.phase {
			continue
		}
		calls++
		total += call.Weight
		if call.answered {
			answered++
			got += call.Weight
		}
	}
	suffices := func(required float64) bool {
		if required >= 1 {
			return answered == calls
		}
		return answered > 0 && got/total >= required-1e-9
	}
	minimum, complete := req.queryType.MinCoverage, req.queryType.CompleteCoverage
	if req.phase == 2 {
		complete = 1
		if req.queryType.MinCoverage >= req.queryType.CompleteCoverage {
			minimum = 1
		}
	}
	m.failIf(!suffices(minimum), "coverage: request %d answered with %d of %d calls and coverage %v, minimum %v",
		req.id, answered, calls, got/total, minimum)
	m.failIf(a.Complete && (!suffices(complete) || req.phase == 2 && !req.firstComplete),
		"coverage: request %d answered as complete with %d of %d calls and coverage %v, required %v", req.id, answered, calls, got/total, complete)
	m.finish(req)
	if req.queryType.SecondPhaseCalls > 0 && req.phase == 1 {
		req.phase, req.firstComplete, req.ended = 2, a.Complete, false
	}
}

func (m *referenceModel) checkSend(a Send) {
	req, call := m.call(a.Call)
	m.failIf(req.ended || call.phase != req.phase || call.answered,
		"one outcome in time: call %d sent after it had ended", call.ID)
	limit := cmp.Or(req.queryType.MaxAttempts, m.config.MaxAttempts)
	m.failIf(len(call.attempts) >= limit, "call %d sent %d times, %d are allowed", call.ID, len(call.attempts)+1, limit)
	s := m.servers[a.Server]
	cells := m.config.Cells
	m.failIf(s == nil || (int(s.Cell)-int(call.Shard)%cells+cells)%cells >= m.config.ReplicationFactor,
		"server %d does not hold shard %d", a.Server, call.Shard)
	m.failIf(s.unavailableSince >= 0 && m.now > s.unavailableSince+m.config.DrainGrace,
		"drain: a call was sent to server %d, %d after it was listed as unavailable", a.Server, m.now-s.unavailableSince)
	firstPossibleRun := Time(-1)
	for _, before := range call.attempts {
		m.failIf(!before.ended && !m.config.AllowHedging, "two attempts of call %d in flight at once", call.ID)
		if firstPossibleRun < 0 && !(before.ended && before.outcome.NeverRan()) {
			firstPossibleRun = before.at
		}
	}
	m.failIf(firstPossibleRun >= 0 && (req.queryType.Idempotency == NonIdempotent ||
		req.queryType.Idempotency == Deduplicated && m.now > firstPossibleRun+req.queryType.DedupWindow), "no unsafe retry: call %d retried, first sent at %d", call.ID, firstPossibleRun)
	send := &modelAttempt{call: call.ID, number: AttemptNumber(len(call.attempts)), at: m.now, server: a.Server, size: call.Size}
	if call.Size == 0 {
		send.size = 1
	}
	m.attempts = append(m.attempts, send)
	call.attempts = append(call.attempts, send)
	s.attempts = append(s.attempts, send)
	if m.config.RetryBudgetSet && len(call.attempts) > 1 {
		m.checkBudget(call.Shard)
	}
	m.checkSlowStart(s)
}

// checkBudget checks the retry budget of the calls of a shard.
func (m *referenceModel) checkBudget(shard ShardIndex) {
	retries, admitted := 0.0, 0.0
	for _, s := range m.attempts {
		if _, call := m.call(s.call); m.config.RetryBudgetPerShard && call.Shard != shard {
			continue
		}
		if s.number > 0 && s.at > m.now-m.config.RetryBudgetWindow && !(s.ended && s.outcome == NotDispatched) {
			retries++
		}
	}
	for i := len(m.admitted) - 1; i >= 0 && m.admitted[i] > m.now-m.config.RetryBudgetWindow; i-- {
		admitted++
	}
	m.failIf(retries > m.config.RetryBudgetBase+m.config.RetryBudgetRatio*admitted,
		"retry budget: %v retries with %v admitted", retries, admitted)
}

// checkSlowStart checks the work sent to a server during slow start. The capacity of a server is the largest amount of
// work that a warm server was sent in any window.
func (m *referenceModel) checkSlowStart(s *modelServer) {
	load := func(s *modelServer, span Time) (sum float64) {
		for _, r := range s.attempts {
			if r.at >= m.now-span {
				sum += r.size
			}
		}
		return sum
	}
	age := m.now - s.StartedAt
	if s.StartedAt == 0 || age >= m.config.SlowStartDuration {
		m.maxWarmWork = max(m.maxWarmWork, load(s, m.config.OverloadWindow))
		return
	}
	capacity := m.config.SlowStartShare + (1-m.config.SlowStartShare)*float64(age)/float64(m.config.SlowStartDuration)
	sent := load(s, m.config.OverloadWindow)
	allowed := max(s.attempts[len(s.attempts)-1].size, m.config.OverloadMultiple*capacity*m.maxWarmWork+1e-9)
	m.failIf(sent > allowed,
		"slow start: server %d was sent %v, a warm one at most %v, its capacity share is %v", s.ID, sent, m.maxWarmWork, capacity)
}
