package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oxbowspan/rendezvous"
)

// The model: gatherers that are told of the fleet by two cores that lag, that freeze, also in the middle of an act, are cut off
// and killed; a keeper that takes the word of whoever holds a duty, under its claim.

type fault int

const (
	noFault             fault = iota
	leaseIgnored              // a gatherer acts on the list that it has, however old
	waitIgnored               // a duty is taken up at once at a change of the list
	fencingIgnored            // the keeper takes anybody's word
	leaseReused               // who takes a duty goes on under the claim of the one before
	waitIgnoredAfterGap       // one that was out of touch takes its duties up at once where its list is the same
)

type gateway struct {
	name        rendezvous.Name
	incarnation uint64
	tracker     *Tracker
	frozen      time.Duration // until then
	cut         time.Duration
	knownLease  Lease
	inFlight    []Lease // words on their way when it froze
	requesting  bool    // a question is out
}

type guardedResource struct {
	lease  Lease
	holder uint64
}

func runModel(seed uint64, slip fault) string {
	r := rand.New(rand.NewPCG(seed, 5))
	var all []*gateway
	lives := uint64(0)
	begin := func(name rendezvous.Name) *gateway {
		lives++
		return &gateway{name: name, incarnation: r.Uint64() | 1, tracker: NewTracker(name)}
	}
	for i := range 6 {
		all = append(all, begin(rendezvous.Name(fmt.Sprint("g", i))))
	}
	heard := map[rendezvous.Name]time.Duration{}
	k := guardedResource{}
	const key, step, lost = rendezvous.Name("server-7"), 50 * time.Millisecond, 4 * time.Second
	type answer struct {
		at, asked time.Duration
		to        *gateway
		list      []rendezvous.Name
	}
	var answers []answer
	acts := 0
	for now := 10 * time.Second; now < 100*time.Second; now += step {
		if i := r.IntN(len(all)); r.IntN(40) == 0 {
			switch w := all[i]; r.IntN(5) {
			case 0, 1:
				w.frozen = now + time.Duration(r.IntN(9000))*time.Millisecond
			case 2:
				w.cut = now + time.Duration(r.IntN(9000))*time.Millisecond
			case 3:
				all[i] = begin(w.name)
			case 4:
				if len(all) < 12 {
					all = append(all, begin(rendezvous.Name(fmt.Sprint("g", len(all)))))
				}
			}
		}
		var list []rendezvous.Name
		for name, at := range heard {
			if now-at < lost {
				list = append(list, name)
			}
		}
		for _, w := range all {
			if now < w.frozen || now < w.cut || w.requesting {
				continue
			}
			w.requesting = true
			heard[w.name] = now
			if !slices.Contains(list, w.name) {
				list = append(list, w.name)
			}
			w.knownLease = k.lease // news of it comes with the core's answers, soon
			answers = append(answers, answer{now + time.Duration(r.IntN(900))*time.Millisecond, now, w, list})
		}
		kept := answers[:0]
		for _, a := range answers {
			switch {
			case now < a.at || now < a.to.frozen:
				kept = append(kept, a)
			case slices.Contains(all, a.to):
				a.to.requesting = false
				a.to.tracker.SetMembers(a.list, now)
				if slip == waitIgnoredAfterGap {
					a.to.tracker.renewedAt = max(a.to.tracker.renewedAt, a.asked)
				}
				a.to.tracker.Renew(a.asked, now)
			}
		}
		answers = kept
		word := func(w *gateway, c Lease) string {
			old := c.Compare(k.lease) < 0
			if old && slip != fencingIgnored {
				return ""
			}
			if old {
				return fmt.Sprintf("%v: the word of %s counts under fence %d, after another took the duty under %d", now, w.name, c.FencingToken, k.lease.FencingToken)
			}
			if k.holder != w.incarnation && k.holder != 0 && c.Compare(k.lease) <= 0 {
				return fmt.Sprintf("%v: %s took the duty and no fence rose beyond %d", now, w.name, k.lease.FencingToken)
			}
			acts++
			k.holder, k.lease = w.incarnation, c
			return ""
		}
		holders := 0
		for _, w := range all {
			if now < w.frozen {
				continue
			}
			for _, c := range w.inFlight { // it wakes, and what it was about to say goes out
				if broken := word(w, c); broken != "" {
					return broken
				}
			}
			w.inFlight = nil
			switch slip {
			case leaseIgnored:
				w.tracker.renewedAt = now
			case waitIgnored:
				w.tracker.changedAt = -time.Hour
			}
			if !w.tracker.Holds(key, now) {
				continue
			}
			holders++
			claim := w.knownLease.Acquire(w.incarnation)
			if slip == leaseReused {
				claim = Lease{max(w.knownLease.FencingToken, 1), 1}
			}
			if r.IntN(30) == 0 { // it freezes before its word is out
				w.frozen = now + time.Duration(r.IntN(12000))*time.Millisecond
				w.inFlight = append(w.inFlight, claim)
				continue
			}
			if now < w.cut {
				continue
			}
			if broken := word(w, claim); broken != "" {
				return broken
			}
		}
		if holders > 1 {
			return fmt.Sprintf("%v: %d gatherers hold one duty", now, holders)
		}
	}
	if acts < 20 {
		return fmt.Sprintf("the duty was done %d times: too few to tell", acts)
	}
	return ""
}

func TestModelKeepsSingleHolder(t *testing.T) {
	for seed := range uint64(60) {
		if broken := runModel(seed, noFault); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, slip := range map[string]fault{"no lease": leaseIgnored, "no rest at a change": waitIgnored, "no fence": fencingIgnored,
		"the claim of the one before": leaseReused, "no rest after a gap": waitIgnoredAfterGap} {
		found := false
		for seed := uint64(0); seed < 400 && !found; seed++ {
			if broken := runModel(seed, slip); broken != "" {
				found = true
				t.Logf("%s: seed %d: %s", name, seed, broken)
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}
