package maintenance

import "fmt"

// fault is a kind of fault, or of action of an operator or of the platform.
type fault int

// The faults. The numbers are drawn at random; shutdowns and releases have two, to be drawn more often.
const (
	crash fault = iota
	suspendOrResume
	shutDown
	shutDownAgain
	restart
	partitionOrHeal
	shutDownAll
	toggleHangingHook
	toggleWrongVersion
	startRelease
	startReleaseAgain
	haltReleases
	rollBackReleases
	resumeReleases
	forgetDead
	faultKinds // how many there are
)

// inject injects one fault.
func (w *fleetModel) inject(kind fault, i int) {
	g := w.gatherers[i%len(w.gatherers)]
	switch kind {
	case crash:
		g.dead = true
	case suspendOrResume:
		g.suspended = !g.suspended
	case shutDown, shutDownAgain:
		w.shutDown(g)
	case restart:
		if g.dead {
			w.start(g, g.version)
		}
	case partitionOrHeal:
		g.partitioned = !g.partitioned
	case shutDownAll:
		for _, g := range w.gatherers {
			w.shutDown(g)
		}
	case toggleHangingHook:
		g.hookHangs = !g.hookHangs
	case toggleWrongVersion:
		g.wrongVersion = !g.wrongVersion
	case startRelease, startReleaseAgain:
		p := Plan{ID: ReleaseID(fmt.Sprint("r", len(w.log))), Kind: Gatherer, From: "v1", To: "v2", Steps: []float64{0.3, 1},
			Dwell: 1500, ChangeTimeout: 8000, MaxLoss: 0.1, MinRequests: 1}
		w.propose(Command{StartRelease: &p}, nil)
	case haltReleases:
		w.proposeForReleases(func(id ReleaseID) Command { return Command{HaltRelease: &HaltRelease{ID: id}} })
	case rollBackReleases:
		w.proposeForReleases(func(id ReleaseID) Command { return Command{RollBack: &RollBack{ID: id}} })
	case resumeReleases:
		w.proposeForReleases(func(id ReleaseID) Command { return Command{ResumeRelease: &ResumeRelease{ID: id}} })
	case forgetDead:
		if g.dead {
			w.propose(Command{Forget: &Forget{Name: memberName(g.i)}}, func(_ Result, err error) {
				g.permittedOut = g.permittedOut && err != nil // the operator states that it will not come back
			})
		}
	}
}

func (w *fleetModel) shutDown(g *simGatherer) {
	if !g.dead && !g.suspended {
		w.act(g, g.drainer.Begin(w.now))
	}
}

func (w *fleetModel) proposeForReleases(command func(ReleaseID) Command) {
	for _, r := range w.leader.Releases {
		w.propose(command(r.Plan.ID), nil)
	}
}

// recover ends all faults and lets ongoing changes complete.
func (w *fleetModel) recover() {
	w.loss = 0
	for _, g := range w.gatherers {
		g.partitioned, g.hookHangs, g.wrongVersion, g.suspended = false, false, false, false
	}
	for range 90 {
		for _, g := range w.gatherers {
			if g.dead {
				w.start(g, g.version)
			}
		}
		w.advance(1000)
	}
	w.catchUp()
	for _, r := range w.leader.Releases {
		if r.Phase == Running {
			b, _ := w.leader.Snapshot()
			w.t.Fatalf("release %s is stuck: %s", r.Plan.ID, b)
		}
		if r.Phase == Halted && r.HaltReason == "" {
			w.t.Fatalf("release %s halted without a reason", r.Plan.ID)
		}
	}
}
