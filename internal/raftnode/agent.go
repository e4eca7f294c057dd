package raftnode

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
)

// AgentOptions configures an Agent.
type AgentOptions struct {
	Name          string // name of this gatherer
	Zone          string
	Version       string
	Voters        []Voter
	Keys          *keyring.Ring
	DrainTimeout  time.Duration // maximum wait for a permit before a shutdown
	LeaseDuration time.Duration // the lease is renewed renewalsPerLease times in it

	Ready  func() bool                      // reports whether the gatherer is ready; called from the agent's goroutine
	Counts func() maintenance.RequestCounts // returns the gatherer's request counters; called from the agent's goroutine
}

// renewalsPerLease is the number of renewals during one lease duration.
const renewalsPerLease = 3

// Agent maintains a gatherer's membership in the fleet: it renews the lease, and requests a permit before the gatherer drains.
type Agent struct {
	options        AgentOptions
	incarnation    maintenance.Incarnation
	client         *Client
	startedAt      time.Time
	drainRequested chan struct{} // closed by RequestDrain
	drainOnce      sync.Once
	drain          chan bool // buffered, receives at most one value
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}

	// Accessed by run only.
	drainer       *maintenance.Drainer
	joined        bool
	lastRenewalOK bool // the last renewal succeeded
	draining      bool // the value was sent to drain
	renewAt       time.Time
	pollAt        time.Time // when to poll the drainer next; zero = not at all
}

// StartAgent starts an agent, which keeps the gatherer a member of the fleet until Close is called.
func StartAgent(o AgentOptions) *Agent {
	now := time.Now()
	a := &Agent{
		options:        o,
		incarnation:    maintenance.Incarnation(now.UnixNano()),
		client:         NewClient(o.Name, o.Voters, o.Keys),
		startedAt:      now,
		drainRequested: make(chan struct{}),
		drain:          make(chan bool, 1),
		done:           make(chan struct{}),
		drainer:        maintenance.NewDrainer(maintenance.Duration(o.DrainTimeout.Milliseconds())),
		lastRenewalOK:  true,
		renewAt:        now,
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	go a.run()
	return a
}

// RequestDrain requests permission to shut down the gatherer. The gatherer must continue to serve until Drain receives a value.
func (a *Agent) RequestDrain() { a.drainOnce.Do(func() { close(a.drainRequested) }) }

// Done returns a channel that is closed when the agent's goroutine has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Drain returns a channel that receives one value when the gatherer must drain, either after RequestDrain or because an
// operator ordered it. The value reports whether a permit was granted.
func (a *Agent) Drain() <-chan bool { return a.drain }

// Close stops the agent and informs the leader, if it can be reached, that the gatherer leaves the fleet.
func (a *Agent) Close() {
	a.cancel()
	<-a.done
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	leave := &maintenance.Leave{Name: a.name(), Incarnation: a.incarnation}
	_, _ = a.client.Do(ctx, maintenance.Command{Leave: leave}) // if this fails, the lease expires instead
	a.client.Close()
}

func (a *Agent) name() maintenance.MemberName { return maintenance.MemberName(a.options.Name) }

// now returns the time since the agent was started, by the monotonic clock.
func (a *Agent) now() maintenance.Time {
	return maintenance.Time(time.Since(a.startedAt).Milliseconds())
}

// run is the agent's goroutine.
func (a *Agent) run() {
	defer close(a.done)
	drainRequested := a.drainRequested
	for {
		next := a.renewAt
		if !a.pollAt.IsZero() && a.pollAt.Before(next) {
			next = a.pollAt
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-a.ctx.Done():
			timer.Stop()
			return
		case <-drainRequested:
			drainRequested = nil
			a.act(a.drainer.Begin(a.now()))
		case <-timer.C:
		}
		timer.Stop()
		if !a.pollAt.IsZero() && !time.Now().Before(a.pollAt) {
			a.act(a.drainer.Poll(a.now()))
		}
		if !time.Now().Before(a.renewAt) {
			a.renewLease()
		}
	}
}

// act performs an action of the drainer and the actions that follow from its result, until none is due.
func (a *Agent) act(action maintenance.DrainAction) {
	for {
		a.pollAt = time.Time{}
		if action.PollAt > 0 {
			a.pollAt = a.startedAt.Add(time.Duration(action.PollAt) * time.Millisecond)
		}
		if action.Drain && !a.draining {
			a.draining = true
			a.drain <- action.Permitted
			a.renewAt = time.Now() // report the new status at once
		}
		if !action.RequestPermit {
			return
		}
		action = a.drainer.HandleReply(a.now(), a.requestPermit())
	}
}

// requestPermit requests a permit and returns it; nil = it was refused or the request failed.
func (a *Agent) requestPermit() *maintenance.Permit {
	command := &maintenance.RequestPermit{Name: a.name(), Incarnation: a.incarnation, Reason: "shutdown requested"}
	p, err := a.client.Do(a.ctx, maintenance.Command{RequestPermit: command})
	if err != nil && !errors.Is(err, maintenance.ErrRefused) {
		slog.Debug("fleet_permit_request_failed", "name", a.options.Name, "error", err)
	}
	return p
}

// renewLease renews the lease, and begins to drain if an operator has requested a permit for this gatherer.
func (a *Agent) renewLease() {
	a.renewAt = time.Now().Add(a.options.LeaseDuration / renewalsPerLease)
	p, err := a.renew()
	if ok := err == nil; ok != a.lastRenewalOK { // log changes only, not each renewal
		a.lastRenewalOK = ok
		if ok {
			slog.Info("fleet_lease_renewed", "name", a.options.Name)
		} else {
			slog.Warn("fleet_lease_failing", "name", a.options.Name, "error", err)
		}
	}
	if p != nil && p.Release == "" && !a.draining {
		slog.Info("fleet_drain_ordered", "name", a.options.Name, "reason", p.Reason)
		a.drainer.Begin(a.now()) // its permit request is dropped, as there is a permit already
		a.act(a.drainer.HandleReply(a.now(), p))
	}
}

// renew joins the fleet if necessary and renews the lease. It returns the active permit of this incarnation; nil = none.
func (a *Agent) renew() (*maintenance.Permit, error) {
	if !a.joined {
		join := &maintenance.Join{Name: a.name(), Zone: maintenance.Zone(a.options.Zone), Version: maintenance.Version(a.options.Version),
			Incarnation: a.incarnation}
		if _, err := a.client.Do(a.ctx, maintenance.Command{Join: join}); err != nil {
			return nil, err
		}
		a.joined = true
	}
	renewal := &maintenance.Renew{Name: a.name(), Incarnation: a.incarnation, Status: a.status(), Counts: a.options.Counts()}
	p, err := a.client.Do(a.ctx, maintenance.Command{Renew: renewal})
	if err != nil && !errors.Is(err, ErrNoLeader) && !errors.Is(err, maintenance.ErrStale) {
		a.joined = false // the fleet may have removed this member in the meantime, so join again
	}
	return p, err
}

// status returns the status to report.
func (a *Agent) status() maintenance.Status {
	switch {
	case a.draining:
		return maintenance.Draining
	case a.options.Ready():
		return maintenance.Ready
	}
	return maintenance.WarmingUp
}
