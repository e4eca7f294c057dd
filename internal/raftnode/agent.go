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

// AgentOptions configure an Agent.
type AgentOptions struct {
	Name          string // this gatherer's
	Zone          string
	Version       string
	Voters        []Voter
	Keys          *keyring.Ring
	DrainTimeout  time.Duration // the longest wait for a permit before a shutdown
	LeaseDuration time.Duration // renewed three times in it

	Ready  func() bool                      // reports whether the gatherer is ready; called from the agent's goroutine
	Counts func() maintenance.RequestCounts // returns its counters; called from the agent's goroutine
}

const renewalsPerLease = 3

// Agent is a gatherer's membership in the fleet: it renews the lease, and requests a permit before the gatherer goes out.
type Agent struct {
	options        AgentOptions
	incarnation    maintenance.Incarnation
	client         *Client
	startedAt      time.Time
	drainRequested chan struct{} // closed by RequestDrain
	drainOnce      sync.Once
	drain          chan bool // with a buffer for the only value
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}

	// Owned by run.
	drainer  *maintenance.Drainer
	joined   bool
	renewed  bool // the last renewal reached the leader
	draining bool // drain has its value
	renewAt  time.Time
	pollAt   time.Time // when to poll the drainer; zero = not at all
}

// StartAgent makes a gatherer a member for as long as it runs.
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
		renewed:        true,
		renewAt:        now,
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	go a.run()
	return a
}

// RequestDrain requests a shutdown of the gatherer. It must continue to serve until Drain has a value.
func (a *Agent) RequestDrain() { a.drainOnce.Do(func() { close(a.drainRequested) }) }

// Done is closed once the agent has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Drain receives one value when the gatherer must drain, after RequestDrain or by an operator's command: whether a permit was granted.
func (a *Agent) Drain() <-chan bool { return a.drain }

// Close ends the agent and announces to the leader, if there is one, that the gatherer leaves.
func (a *Agent) Close() {
	a.cancel()
	<-a.done
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	leave := &maintenance.Leave{Name: a.name(), Incarnation: a.incarnation}
	_, _ = a.client.Do(ctx, maintenance.Command{Leave: leave}) // otherwise its lease expires
	a.client.Close()
}

func (a *Agent) name() maintenance.MemberName { return maintenance.MemberName(a.options.Name) }

// now returns the time by the agent's own monotonic clock.
func (a *Agent) now() maintenance.Time {
	return maintenance.Time(time.Since(a.startedAt).Milliseconds())
}

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

// act does what the drainer wants, until there is nothing to do now.
func (a *Agent) act(action maintenance.DrainAction) {
	for {
		a.pollAt = time.Time{}
		if action.PollAt > 0 {
			a.pollAt = a.startedAt.Add(time.Duration(action.PollAt) * time.Millisecond)
		}
		if action.Drain && !a.draining {
			a.draining = true
			a.drain <- action.Permitted
			a.renewAt = time.Now() // the new status is reported at once
		}
		if !action.RequestPermit {
			return
		}
		action = a.drainer.HandleReply(a.now(), a.requestPermit())
	}
}

// requestPermit returns the granted permit; nil = it was refused or could not be requested.
func (a *Agent) requestPermit() *maintenance.Permit {
	command := &maintenance.RequestPermit{Name: a.name(), Incarnation: a.incarnation, Reason: "shutdown requested"}
	p, err := a.client.Do(a.ctx, maintenance.Command{RequestPermit: command})
	if err != nil && !errors.Is(err, maintenance.ErrRefused) {
		slog.Debug("fleet_permit_request_failed", "name", a.options.Name, "error", err)
	}
	return p
}

// renewLease renews the lease and begins to drain where an operator wants that.
func (a *Agent) renewLease() {
	a.renewAt = time.Now().Add(a.options.LeaseDuration / renewalsPerLease)
	p, err := a.renew()
	if ok := err == nil; ok != a.renewed { // logged when it changes, not for each lease
		a.renewed = ok
		if ok {
			slog.Info("fleet_lease_renewed", "name", a.options.Name)
		} else {
			slog.Warn("fleet_lease_failing", "name", a.options.Name, "error", err)
		}
	}
	if p != nil && p.Release == "" && !a.draining {
		slog.Info("fleet_drain_ordered", "name", a.options.Name, "reason", p.Reason)
		a.drainer.Begin(a.now()) // its request for a permit is not needed
		a.act(a.drainer.HandleReply(a.now(), p))
	}
}

// renew joins where necessary and renews the lease. It returns the permit on which this incarnation is to act, if there is one.
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
		a.joined = false // the fleet has forgotten this member meanwhile: it joins again
	}
	return p, err
}

func (a *Agent) status() maintenance.Status {
	switch {
	case a.draining:
		return maintenance.Draining
	case a.options.Ready():
		return maintenance.Ready
	}
	return maintenance.WarmingUp
}
