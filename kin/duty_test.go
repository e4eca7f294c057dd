package kin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model: gatherers that are told of the fleet by two cores that lag, that freeze, also in the middle of an act, are cut off
// and killed; a keeper that takes the word of whoever holds a duty, under its claim.

type lapse int

const (
	noLapse    lapse = iota
	noLease          // a gatherer acts on the list that it has, however old
	noRest           // a duty is taken up at once at a change of the list
	noFence          // the keeper takes anybody's word
	sameClaim        // who takes a duty goes on under the claim of the one before
	noRestBack       // one that was out of touch takes its duties up at once where its list is the same
)

type worker struct {
	name   Name
	life   uint64
	duties *Duties
	frozen time.Duration // until then
	cut    time.Duration
	known  Claim
	acting []Claim // words on their way when it froze
	asks   bool    // a question is out
}

type keeper struct {
	claim Claim
	by    uint64
}

func playDuties(seed uint64, slip lapse) string {
	r := rand.New(rand.NewPCG(seed, 5))
	var all []*worker
	lives := uint64(0)
	begin := func(name Name) *worker {
		lives++
		return &worker{name: name, life: r.Uint64() | 1, duties: NewDuties(name)}
	}
	for i := range 6 {
		all = append(all, begin(Name(fmt.Sprint("g", i))))
	}
	heard := map[Name]time.Duration{}
	k := keeper{}
	const key, step, lost = Name("server-7"), 50 * time.Millisecond, 4 * time.Second
	type answer struct {
		at, asked time.Duration
		to        *worker
		list      []Name
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
					all = append(all, begin(Name(fmt.Sprint("g", len(all)))))
				}
			}
		}
		var list []Name
		for name, at := range heard {
			if now-at < lost {
				list = append(list, name)
			}
		}
		for _, w := range all {
			if now < w.frozen || now < w.cut || w.asks {
				continue
			}
			w.asks = true
			heard[w.name] = now
			if !slices.Contains(list, w.name) {
				list = append(list, w.name)
			}
			w.known = k.claim // news of it comes with the core's answers, soon
			answers = append(answers, answer{now + time.Duration(r.IntN(900))*time.Millisecond, now, w, list})
		}
		kept := answers[:0]
		for _, a := range answers {
			switch {
			case now < a.at || now < a.to.frozen:
				kept = append(kept, a)
			case slices.Contains(all, a.to):
				a.to.asks = false
				a.to.duties.Told(a.list, now)
				if slip == noRestBack {
					a.to.duties.heardAt = max(a.to.duties.heardAt, a.asked)
				}
				a.to.duties.Heard(a.asked, now)
			}
		}
		answers = kept
		word := func(w *worker, c Claim) string {
			old := c.Compare(k.claim) < 0
			if old && slip != noFence {
				return ""
			}
			if old {
				return fmt.Sprintf("%v: the word of %s counts under fence %d, after another took the duty under %d", now, w.name, c.Fence, k.claim.Fence)
			}
			if k.by != w.life && k.by != 0 && c.Compare(k.claim) <= 0 {
				return fmt.Sprintf("%v: %s took the duty and no fence rose beyond %d", now, w.name, k.claim.Fence)
			}
			acts++
			k.by, k.claim = w.life, c
			return ""
		}
		holders := 0
		for _, w := range all {
			if now < w.frozen {
				continue
			}
			for _, c := range w.acting { // it wakes, and what it was about to say goes out
				if broken := word(w, c); broken != "" {
					return broken
				}
			}
			w.acting = nil
			switch slip {
			case noLease:
				w.duties.heardAt = now
			case noRest:
				w.duties.changedAt = -time.Hour
			}
			if !w.duties.May(key, now) {
				continue
			}
			holders++
			claim := w.known.Take(w.life)
			if slip == sameClaim {
				claim = Claim{max(w.known.Fence, 1), 1}
			}
			if r.IntN(30) == 0 { // it freezes before its word is out
				w.frozen = now + time.Duration(r.IntN(12000))*time.Millisecond
				w.acting = append(w.acting, claim)
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

func TestADutyHasOneHolder(t *testing.T) {
	for seed := range uint64(60) {
		if broken := playDuties(seed, noLapse); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}

func TestPlantedLapsesAreFound(t *testing.T) {
	for name, slip := range map[string]lapse{"no lease": noLease, "no rest at a change": noRest, "no fence": noFence,
		"the claim of the one before": sameClaim, "no rest after a gap": noRestBack} {
		found := false
		for seed := uint64(0); seed < 400 && !found; seed++ {
			if broken := playDuties(seed, slip); broken != "" {
				found = true
				t.Logf("%s: seed %d: %s", name, seed, broken)
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}
