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
	f       Figures
	run     maintenance.Incarnation
	client  *Client
	ready   func() bool
	counted func() maintenance.RequestCounts
	end     chan struct{}
	once    sync.Once
	drain   chan bool // takes one: whether the drain is agreed
	ctx     context.Context
	stop    context.CancelFunc
	over    chan struct{}
}

// Join makes a gatherer a member for as long as it runs. ready and counted say how it does; they are called from the actor.
func Join(f Figures, ready func() bool, counted func() maintenance.RequestCounts) *Agent {
	a := &Agent{f: f, run: maintenance.Incarnation(time.Now().UnixNano()), client: NewClient(f.Name, f), ready: ready, counted: counted,
		end: make(chan struct{}), drain: make(chan bool, 1), over: make(chan struct{})}
	a.ctx, a.stop = context.WithCancel(context.Background())
	go a.work()
	return a
}

// End says that the gatherer was told to end. It goes on serving until Drain tells.
func (a *Agent) End() { a.once.Do(func() { close(a.end) }) }

// Gone is closed once the agent has ended.
func (a *Agent) Gone() <-chan struct{} { return a.over }

// Drain tells once when the gatherer is to drain, and whether that is agreed: after End, or by an operator's word to the fleet.
func (a *Agent) Drain() <-chan bool { return a.drain }

// Close says that the gatherer has ended, as far as somebody hears it, and ends the actor.
func (a *Agent) Close() {
	a.stop()
	<-a.over
	ctx, cancel := context.WithTimeout(context.Background(), oneAsk)
	defer cancel()
	_, _ = a.client.Do(ctx, maintenance.Command{Leave: &maintenance.Leave{Name: maintenance.MemberName(a.f.Name), Incarnation: a.run}})
	a.client.Close()
}

func (a *Agent) work() {
	defer close(a.over)
	h := maintenance.NewDrainer(maintenance.Duration(a.f.Wait.Milliseconds()))
	start, joined, heard, told := time.Now(), false, true, false
	now := func() maintenance.Time { return maintenance.Time(time.Since(start).Milliseconds()) }
	every := time.Duration(a.f.Limits.LeaseDuration) * time.Millisecond / 3
	renewAt, lookAt, end := time.Now(), time.Time{}, a.end
	name := maintenance.MemberName(a.f.Name)
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
			p, err := a.client.Do(a.ctx, maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: name, Incarnation: a.run, Reason: "told to end"}})
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
				slog.Info("fleet_heard", "name", a.f.Name)
			} else {
				slog.Warn("fleet_unheard", "name", a.f.Name, "error", err)
			}
		}
		if p != nil && p.Release == "" && !told {
			slog.Info("fleet_told_to_drain", "name", a.f.Name, "why", p.Reason)
			h.Begin(now())
			act(h.HandleReply(now(), p))
		}
	}
}

func (a *Agent) renew(name maintenance.MemberName, joined *bool, draining bool) (*maintenance.Permit, error) {
	if !*joined {
		_, err := a.client.Do(a.ctx, maintenance.Command{Join: &maintenance.Join{Name: name, Zone: maintenance.Zone(a.f.Zone), Version: maintenance.Version(a.f.Version), Incarnation: a.run}})
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
	p, err := a.client.Do(a.ctx, maintenance.Command{Renew: &maintenance.Renew{Name: name, Incarnation: a.run, Status: status, Counts: a.counted()}})
	if err != nil && !errors.Is(err, ErrNobody) && !errors.Is(err, maintenance.ErrStale) {
		*joined = false // forgotten meanwhile: it joins again
	}
	return p, err
}
