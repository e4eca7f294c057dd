package raftnode

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oxbowspan/maintenance"
)

// Agent is a gatherer's membership: it keeps the lease, and asks before the gatherer goes out. It is an actor of its own.
type Agent struct {
	options        Options
	incarnation    maintenance.Incarnation
	client         *Client
	ready          func() bool
	counts         func() maintenance.RequestCounts
	drainRequested chan struct{}
	drainOnce      sync.Once
	drain          chan bool // takes one: whether the drain is agreed
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
}

// StartAgent makes a gatherer a member for as long as it runs. ready and counted say how it does; they are called from the actor.
func StartAgent(f Options, ready func() bool, counted func() maintenance.RequestCounts) *Agent {
	a := &Agent{options: f, incarnation: maintenance.Incarnation(time.Now().UnixNano()), client: NewClient(f.Name, f), ready: ready, counts: counted,
		drainRequested: make(chan struct{}), drain: make(chan bool, 1), done: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	go a.run()
	return a
}

// RequestDrain says that the gatherer was told to end. It goes on serving until Drain tells.
func (a *Agent) RequestDrain() { a.drainOnce.Do(func() { close(a.drainRequested) }) }

// Done is closed once the agent has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Drain tells once when the gatherer is to drain, and whether that is agreed: after End, or by an operator's word to the fleet.
func (a *Agent) Drain() <-chan bool { return a.drain }

// Close says that the gatherer has ended, as far as somebody hears it, and ends the actor.
func (a *Agent) Close() {
	a.cancel()
	<-a.done
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_, _ = a.client.Do(ctx, maintenance.Command{Leave: &maintenance.Leave{Name: maintenance.MemberName(a.options.Name), Incarnation: a.incarnation}})
	a.client.Close()
}

func (a *Agent) run() {
	defer close(a.done)
	h := maintenance.NewDrainer(maintenance.Duration(a.options.DrainTimeout.Milliseconds()))
	start, joined, heard, told := time.Now(), false, true, false
	now := func() maintenance.Time { return maintenance.Time(time.Since(start).Milliseconds()) }
	every := time.Duration(a.options.Limits.LeaseDuration) * time.Millisecond / 3
	renewAt, lookAt, end := time.Now(), time.Time{}, a.drainRequested
	name := maintenance.MemberName(a.options.Name)
	var act func(maintenance.DrainAction)
	act = func(w maintenance.DrainAction) {
		if lookAt = (time.Time{}); w.PollAt > 0 {
			lookAt = start.Add(time.Duration(w.PollAt) * time.Millisecond)
		}
		if w.Drain && !told {
			told = true
			a.drain <- w.Permitted
			renewAt = time.Now() // what drains says so at once
		}
		if w.RequestPermit {
			p, err := a.client.Do(a.ctx, maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: name, Incarnation: a.incarnation, Reason: "told to end"}})
			if err != nil && !errors.Is(err, maintenance.ErrRefused) {
				slog.Debug("fleet_ask", "error", err)
			}
			act(h.HandleReply(now(), p))
		}
	}
	for {
		next := renewAt
		if !lookAt.IsZero() && lookAt.Before(next) {
			next = lookAt
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-a.ctx.Done():
			timer.Stop()
			return
		case <-end:
			end = nil
			act(h.Begin(now()))
		case <-timer.C:
		}
		timer.Stop()
		if !lookAt.IsZero() && !time.Now().Before(lookAt) {
			act(h.Poll(now()))
		}
		if time.Now().Before(renewAt) {
			continue
		}
		renewAt = time.Now().Add(every)
		p, err := a.renew(name, &joined, told)
		if ok := err == nil; ok != heard { // once each way, none for each lease
			if heard = ok; ok {
				slog.Info("fleet_heard", "name", a.options.Name)
			} else {
				slog.Warn("fleet_unheard", "name", a.options.Name, "error", err)
			}
		}
		if p != nil && p.Release == "" && !told {
			slog.Info("fleet_told_to_drain", "name", a.options.Name, "why", p.Reason)
			h.Begin(now())
			act(h.HandleReply(now(), p))
		}
	}
}

func (a *Agent) renew(name maintenance.MemberName, joined *bool, draining bool) (*maintenance.Permit, error) {
	if !*joined {
		_, err := a.client.Do(a.ctx, maintenance.Command{Join: &maintenance.Join{Name: name, Zone: maintenance.Zone(a.options.Zone), Version: maintenance.Version(a.options.Version), Incarnation: a.incarnation}})
		if err != nil {
			return nil, err
		}
		*joined = true
	}
	status := maintenance.WarmingUp
	if draining {
		status = maintenance.Draining
	} else if a.ready() {
		status = maintenance.Ready
	}
	p, err := a.client.Do(a.ctx, maintenance.Command{Renew: &maintenance.Renew{Name: name, Incarnation: a.incarnation, Status: status, Counts: a.counts()}})
	if err != nil && !errors.Is(err, ErrNoLeader) && !errors.Is(err, maintenance.ErrStale) {
		*joined = false // forgotten meanwhile: it joins again
	}
	return p, err
}
