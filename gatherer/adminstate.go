package gatherer

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/degradation"
	"oxbowspan/internal/admin"
)

// Values of admin.Server.State.
const (
	serverReady    = "ready"
	serverDraining = "draining"
	serverEjected  = "out"
	serverWarmUp   = "cold"
)

// unknownCustomer is the name under which requests of customers that are not in the settings are counted.
const unknownCustomer = "unknown"

// publishState sends the state to the watching operators at every publishEvery-th evaluation. It never blocks: a watcher
// that is not ready to receive misses this state.
func (s *degradationState) publishState() {
	if len(s.watchers) == 0 || int64(s.evaluatedAt/evaluationInterval)%publishEvery != 0 {
		return
	}
	raw, err := json.Marshal(s.state())
	if err != nil {
		return
	}
	for _, w := range s.watchers {
		select {
		case w <- raw:
		default:
		}
	}
}

// state returns the state that is shown to operators.
func (s *degradationState) state() admin.State {
	state := admin.State{
		At:           time.Now(),
		Level:        s.machine.Level().Name,
		Rank:         int(s.machine.Rank()),
		LevelSeconds: seconds(s.now() - s.machine.Since()),
		OpenRequests: len(s.dispatcher.requests),
		Types:        s.typeStates(),
		Servers:      s.serverStates(),
	}
	for _, level := range s.config.Levels {
		state.Levels = append(state.Levels, level.Name)
	}
	if pin, pinned := s.machine.Pinned(); pinned {
		state.PinSecondsLeft = seconds(pin.Until - s.now())
	}
	readings := s.machine.Readings()
	for signal := range degradation.NumSignals {
		state.Signals = append(state.Signals, admin.Signal{Name: signal.String(), Value: readings[signal].Value,
			Known: readings[signal].Known})
	}
	for shard, segment := range s.segments {
		if segment.Rank() > 0 {
			state.Segments = append(state.Segments, admin.Segment{Segment: shard, Level: segment.Level().Name})
		}
	}
	for _, change := range s.changes {
		state.Changes = append(state.Changes, admin.Change{At: time.UnixMilli(int64(change.At)),
			From: s.levelName(change.From), To: s.levelName(change.To), Reason: change.Reason})
	}
	return state
}

// seconds converts a time in milliseconds to seconds.
func seconds(t degradation.Time) float64 { return (time.Duration(t) * time.Millisecond).Seconds() }

// typeStates returns the numbers of requests served and shed by query type and customer. Customers without requests are
// left out.
func (s *degradationState) typeStates() (types []admin.QueryType) {
	deployment := s.dispatcher.deployment
	for t, name := range deployment.QueryTypes {
		queryType := admin.QueryType{Name: name, Share: s.gate.Share(s.now(), t)}
		for c := range s.served[t] {
			customer := unknownCustomer
			if c < len(deployment.Customers) {
				customer = deployment.Customers[c]
			}
			if s.served[t][c]+s.shed[t][c] > 0 {
				queryType.Customers = append(queryType.Customers,
					admin.Customer{Name: customer, Served: s.served[t][c], Shed: s.shed[t][c]})
			}
		}
		types = append(types, queryType)
	}
	return types
}

// serverStates returns the states of the listed servers, sorted by zone and host.
func (s *degradationState) serverStates() (servers []admin.Server) {
	records := map[balancer.ServerID]balancer.ServerRecord{}
	for _, record := range s.dispatcher.balancer.ServerRecords() {
		records[record.ID] = record
	}
	now := s.dispatcher.clock.now()
	for _, server := range s.dispatcher.servers {
		if !server.listed {
			continue
		}
		record := records[server.id]
		state := admin.Server{Host: server.host, Zone: server.zone, Cell: server.cell, InFlight: server.inFlight,
			FailureRatio: record.FailureRate, State: serverReady}
		if record.Work > 0 {
			state.LatencyMillis = record.Latency / record.Work / float64(balancer.Millisecond)
		}
		switch {
		case server.draining:
			state.State = serverDraining
		case record.EjectedUntil > now:
			state.State = serverEjected
		case s.isWarmingUp(server):
			state.State = serverWarmUp
		}
		servers = append(servers, state)
	}
	slices.SortFunc(servers, func(a, b admin.Server) int { return strings.Compare(a.Zone+a.Host, b.Zone+b.Host) })
	return servers
}
