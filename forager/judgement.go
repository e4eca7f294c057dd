package forager

import (
	"errors"
	"syscall"
	"time"

	"oxbowspan/brain"
	"oxbowspan/config"
	"oxbowspan/outlier"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// One judgement of replicas (package scout decides): what this gatherer saw of servers goes to those that watch it, what they saw
// comes the same way, and the stance that follows goes to brain.

// Rhythm of words.
const (
	urgentIn  = 40 * time.Millisecond // a server that is dead, or back, is told of so soon
	urgentGap = 80 * time.Millisecond // after the time before
	mostTold  = 8                     // words on a server, to operators
)

// judgement is what the owner keeps of it.
type judgement struct {
	board  *outlier.Detector
	told   map[brain.ServerID]brain.Judgement // what brain was told; emptied of servers that are in as they are
	near   map[string][]rendezvous.Name       // gatherers by zone, as last told
	saidAt brain.Time

	pins    uint64                   // the version of the document of pins that is in force
	pinned  map[string]outlier.State // by instance, as that says
	pinEnds map[string]brain.Time    // of those that stand
}

// takePins takes a document of pins. Each holds from now for as long as it says.
func (f *Forager) takePins(n *rpc.Document) {
	j := &f.judgement
	doc, err := config.ParsePins(n.Body)
	if err != nil {
		f.log.Error().Err(err).Uint64("version", n.Version).Msg("judgement: an agreed document of pins can't be read, the last one stays")
		return
	}
	j.pins = n.Version
	before := j.pinned
	ends := j.pinEnds
	j.pinned, j.pinEnds = map[string]outlier.State{}, map[string]brain.Time{}
	for _, p := range doc.Pins {
		state := map[string]outlier.State{"in": outlier.Healthy, "avoided": outlier.Avoided, "out": outlier.Ejected}[p.State]
		j.pinned[p.Instance], j.pinEnds[p.Instance] = state, f.now()+ticks(time.Duration(p.DurationSeconds)*time.Second-time.Duration(n.AgeMs)*time.Millisecond)
		if was, stood := before[p.Instance]; stood && was == state && ends[p.Instance] > 0 {
			j.pinEnds[p.Instance] = min(ends[p.Instance], j.pinEnds[p.Instance]) // sent again it lasts no longer
		}
	}
	for i := range before {
		if _, stands := j.pinned[i]; !stands {
			j.board.Pin(outlier.Instance(i), nil, span(f.now()))
		}
	}
	f.log.Info().Uint64("version", n.Version).Int("pins", len(doc.Pins)).Msg("judgement: pins in force")
	f.pin(f.now())
}

// pin holds what is pinned, and ends what is over.
func (f *Forager) pin(now brain.Time) {
	j := &f.judgement
	for i, state := range j.pinned {
		switch st := j.board.Status(outlier.Instance(i)); {
		case now >= j.pinEnds[i]:
			delete(j.pinned, i)
			delete(j.pinEnds, i)
			j.board.Pin(outlier.Instance(i), nil, span(now))
			f.log.Info().Str("instance", i).Msg("judgement: a pin has ended")
		case !st.Pinned || st.State != state:
			j.board.Pin(outlier.Instance(i), &state, span(now))
		}
	}
}

// stances are what operators are told of servers that are not simply in.
func (f *Forager) stances(now brain.Time) (out []*rpc.OutlierVerdict) {
	j := &f.judgement
	for id := range j.told {
		s := f.servers[id]
		if s == nil {
			continue
		}
		st := j.board.Status(outlier.Instance(s.instance))
		m := &rpc.OutlierVerdict{Instance: s.instance, Service: s.service, State: st.State.String(), Reason: st.Reason, SinceMs: uint32((span(now) - st.Since) / time.Millisecond),
			FactorMilli: uint32(1000 * st.Factor), Pinned: st.Pinned}
		for _, w := range j.board.Observations(outlier.Instance(s.instance)) {
			if len(m.Observations) < mostTold {
				m.Observations = append(m.Observations, &rpc.Observation{Observer: uint64(w.Observer), Text: w.Kind.String(), RatioMilli: uint32(1000 * w.Ratio), AgeMs: uint32((span(now) - w.ObservedAt) / time.Millisecond)})
			}
		}
		out = append(out, m)
	}
	return out
}

// sawEnd notes how a sub-request ended.
func (f *Forager) sawEnd(s *flower, outcome brain.Outcome, err error) {
	if f.set.JudgeAlone {
		return
	}
	now := span(f.now())
	was := f.judgement.board.Status(outlier.Instance(s.instance)).State
	switch outcome {
	case brain.Answered:
		unit, fellows := f.brain.Compare(s.id)
		f.judgement.board.RecordSuccess(outlier.Instance(s.instance), unit, fellows, now)
	case brain.ConnectFailed:
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		f.judgement.board.RecordFailure(outlier.Instance(s.instance), outlier.ObservedRefused, now)
	default:
		return
	}
	if is := f.judgement.board.Status(outlier.Instance(s.instance)).State; is != was {
		f.hurry(f.now())
		f.tellBrain(f.now())
	}
}

// hurry has words told soon.
func (f *Forager) hurry(now brain.Time) {
	f.shareAt = min(f.shareAt, max(now+ticks(urgentIn), f.judgement.saidAt+ticks(urgentGap)))
}

// judge looks at servers that are silent, carries the judgement on and tells brain what changed.
func (f *Forager) judge(now brain.Time) {
	if f.set.JudgeAlone {
		return
	}
	j := &f.judgement
	asked, mute := 0, []*flower(nil)
	for _, s := range f.flowers {
		if s.out > 0 {
			if asked++; f.brain.Mute(s.id) {
				mute = append(mute, s)
			}
		}
	}
	j.board.SetImpaired(len(mute) > 2 && 2*len(mute) > asked)
	for _, s := range mute {
		j.board.RecordFailure(outlier.Instance(s.instance), outlier.ObservedUnresponsive, span(now))
	}
	j.board.Advance(span(now))
	f.pin(now)
	f.tellBrain(now)
}

// tellBrain tells brain the stances that are other than it was told.
func (f *Forager) tellBrain(now brain.Time) {
	j := &f.judgement
	var all []brain.Judgement
	changed := j.board.TakeChanged()
	for id := range j.told { // who tries one that is out follows from the fleet too
		if s := f.servers[id]; s != nil {
			changed = append(changed, outlier.Instance(s.instance))
		}
	}
	for _, i := range changed {
		s := f.flowers[string(i)]
		st := j.board.Status(i)
		if s == nil {
			continue
		}
		was, known := j.told[s.id]
		if st.State == outlier.Healthy && st.Factor == 1 && !known {
			continue
		}
		is := brain.Judgement{ID: s.id, Factor: st.Factor, Held: st.State == outlier.Ejected || st.State == outlier.Probation && !f.tries(s, now)}
		is.Back = known && was.Held && st.State == outlier.Healthy
		if is == was {
			continue
		}
		if all = append(all, is); st.State == outlier.Healthy && st.Factor == 1 {
			delete(j.told, s.id)
		} else {
			is.Back = false
			j.told[s.id] = is
		}
		if stance := st.State.String(); s.stance != stance {
			line := f.log.Debug()
			if f.tries(s, now) { // one line in the whole fleet
				line = f.log.Info()
			}
			line.Str("instance", s.instance).Str("service", s.service).Str("stance", stance).Str("why", st.Reason).Msg("judgement: a server's stance")
			s.stance = stance
		}
	}
	if len(all) > 0 {
		f.handle(brain.Told{Judged: all})
	}
}

// tries tells whether this gatherer is to try a server that is out: the holder of its duty among the gatherers of its zone.
func (f *Forager) tries(s *flower, now brain.Time) bool {
	near := f.judgement.near[s.zone]
	if len(near) == 0 {
		near = f.gatherers
	}
	return f.duties.HoldsAmong(rendezvous.Name("judgement "+s.instance), near, span(now))
}

// listJudged tells the board which servers there are.
func (f *Forager) listJudged() {
	all := map[outlier.Instance]outlier.Shard{}
	for i, s := range f.flowers {
		if s.listed {
			all[outlier.Instance(i)] = outlier.Shard(s.service)
		}
	}
	f.judgement.board.SetServers(all, len(f.gatherers)-1)
}

// words are what is to be told now.
func (f *Forager) words(now brain.Time) (out []*rpc.Observation) {
	for _, w := range f.judgement.board.DrainOutbox() {
		out = append(out, &rpc.Observation{Instance: string(w.Server), Observer: uint64(w.Observer), Sequence: w.Sequence, Kind: uint32(w.Kind), RatioMilli: uint32(1000 * min(w.Ratio, 1e6)),
			Responses: uint32(w.Responses), BackoffMs: uint32(w.Backoff / time.Millisecond), AgeMs: uint32((span(now) - w.ObservedAt) / time.Millisecond), Hops: uint32(w.Hops)})
	}
	return out
}

// hear takes the words of another gatherer.
func (f *Forager) hear(all []*rpc.Observation) {
	if f.set.JudgeAlone {
		return
	}
	now, news := f.now(), false
	for _, w := range all {
		if w.Kind > uint32(outlier.ObservedRefused) {
			continue // of a version to come
		}
		i := outlier.Instance(w.Instance)
		was := f.judgement.board.Status(i).State
		took := f.judgement.board.Receive(outlier.Observation{Server: i, Observer: outlier.Observer(w.Observer), Sequence: w.Sequence, Kind: outlier.Kind(w.Kind),
			Ratio: float64(w.RatioMilli) / 1000, Responses: int(w.Responses), Backoff: time.Duration(w.BackoffMs) * time.Millisecond,
			ObservedAt: span(now) - time.Duration(w.AgeMs)*time.Millisecond, Hops: int(w.Hops)}, span(now))
		news = news || took && f.judgement.board.Status(i).State != was
	}
	if news {
		f.hurry(now)
		f.tellBrain(now)
	}
}
