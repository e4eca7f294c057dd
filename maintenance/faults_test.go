package maintenance

import "fmt"

// fault is a kind of fault, or an action of an operator or of the platform, that a test injects.
type fault int

// The kinds of faults. Tests draw them uniformly at random; shutdowns and releases have two values each so that they
// are drawn twice as often.
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
	faultKinds // number of kinds
)

// inject injects one fault; i selects the gatherer where the fault concerns only one.
func (f *fleetModel) inject(kind fault, i int) {
	g := f.gatherers[i%len(f.gatherers)]
	switch kind {
	case crash:
		g.dead = true
	case suspendOrResume:
		g.suspended = !g.suspended
	case shutDown, shutDownAgain:
		f.shutDown(g)
	case restart:
		if g.dead {
			f.start(g, g.version)
		}
	case partitionOrHeal:
		g.partitioned = !g.partitioned
	case shutDownAll:
		for _, g := range f.gatherers {
			f.shutDown(g)
		}
	case toggleHangingHook:
		g.hookHangs = !g.hookHangs
	case toggleWrongVersion:
		g.wrongVersion = !g.wrongVersion
	case startRelease, startReleaseAgain:
		p := Plan{ID: ReleaseID(fmt.Sprint("r", len(f.log))), Kind: Gatherer, From: "v1", To: "v2", Steps: []float64{0.3, 1},
			Dwell: 1500, ChangeTimeout: 8000, MaxLoss: 0.1, MinRequests: 1}
		f.propose(Command{StartRelease: &p}, nil)
	case haltReleases:
		f.proposeForReleases(func(id ReleaseID) Command { return Command{HaltRelease: &HaltRelease{ID: id}} })
	case rollBackReleases:
		f.proposeForReleases(func(id ReleaseID) Command { return Command{RollBack: &RollBack{ID: id}} })
	case resumeReleases:
		f.proposeForReleases(func(id ReleaseID) Command { return Command{ResumeRelease: &ResumeRelease{ID: id}} })
	case forgetDead:
		if g.dead {
			f.propose(Command{RemoveMember: &Forget{Name: memberName(g.i)}}, func(_ Result, err error) {
				g.permittedOut = g.permittedOut && err != nil // the operator has confirmed that it will not come back
			})
		}
	}
}

// shutDown requests the shutdown of a running gatherer.
func (f *fleetModel) shutDown(g *simGatherer) {
	if !g.dead && !g.suspended {
		f.act(g, g.drainer.Begin(f.now))
	}
}

// proposeForReleases proposes a command for each release.
func (f *fleetModel) proposeForReleases(command func(ReleaseID) Command) {
	for _, r := range f.leader.Releases {
		f.propose(command(r.Plan.ID), nil)
	}
}

// recover ends all faults, lets the changes in progress complete and checks that each release has ended or has halted
// with a reason.
func (f *fleetModel) recover() {
	f.loss = 0
	for _, g := range f.gatherers {
		g.partitioned, g.hookHangs, g.wrongVersion, g.suspended = false, false, false, false
	}
	for range 90 {
		for _, g := range f.gatherers {
			if g.dead {
				f.start(g, g.version)
			}
		}
		f.advance(1000)
	}
	f.catchUp()
	for _, r := range f.leader.Releases {
		if r.Phase == Running {
			b, _ := f.leader.Snapshot()
			f.t.Fatalf("release %s is still running after all faults have ended: %s", r.Plan.ID, b)
		}
		if r.Phase == Halted && r.HaltReason == "" {
			f.t.Fatalf("release %s halted without a reason", r.Plan.ID)
		}
	}
}
