// Package scout is one judgement of replicas for a whole hive: what each gatherer saw of a server, merged from the words that
// gatherers tell each other, and the stance that follows from it by one rule, so that all who heard the same come to the same
// without a leader. It owns what is worth telling, how far a word goes, and each server's stance. It has no I/O, no clock and no
// goroutine; times are the caller's steady clock, and ages pass between gatherers, never moments.
//
// A judgement feeds brain's prediction and takes out what is dead; which server a part goes to stays brain's.
package scout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type (
	Observer uint64 // one life of a gatherer
	Instance string // one life of a server
	Shard    string // the servers that answer equally well
)

// Kind is what an observer says of a server.
type Kind uint8

const (
	Well    Kind = iota // it answers, as fast as its fellows
	Slow                // it answers, so many times slower than its fellows
	Silent              // what it was sent is overdue, and no word came
	Refused             // nobody listens at its address
)

func (k Kind) String() string {
	return [...]string{"well", "slow", "silent", "refused"}[min(k, Refused)]
}

// Word is what one observer says of one server. Of two words of an observer the one with the higher number is newer.
type Word struct {
	Server   Instance
	Observer Observer
	No       uint32
	Kind     Kind
	Ratio    float64       // of Slow: its time per unit of size over its fellows'
	Answers  int           // that stand behind it
	Pause    time.Duration // of a word that a server on trial failed: it is tried again after so long
	At       time.Duration // when it was seen, by the holder's clock
	Hops     int
}

const (
	Hops      = 5                      // a word goes so far: four hear each, so that this is enough for some hundreds
	standsFor = 3 * time.Second        // a word counts for so long,
	againIn   = time.Second            // and is said again after so long while it holds
	slowEnter = 3.0                    // the merged ratio from which a server is avoided,
	slowLeave = 1.5                    // and below which no more
	slowFrom  = 3                      // answers in a word of slowness
	slowBy    = 3                      // observers of slowness, where there are so many,
	slowShare = 8                      // and one in so many of all gatherers: those that see nothing odd say nothing
	silentBy  = 2                      // observers of silence
	dwell     = 400 * time.Millisecond // slowness must last so long
	avoidFor  = 4 * time.Second        // then it is avoided for so long, unless several find it as fast as its fellows,
	lastAvoid = 16 * time.Second       // doubling up to this
	firstOut  = 500 * time.Millisecond // a server that is out is tried after so long,
	lastOut   = 4 * time.Second        // doubling up to this
	rampFor   = 2 * time.Second        // one that is back takes its full part only after so long
	rampFirst = 3.0                    // so many times slower it is predicted at first
	swings    = 30 * time.Second       // one that is out again so soon begins with the pause it had
	mostWords = 64                     // told at once
)

// Stance is what all are to do about a server.
type Stance struct {
	State   State
	Factor  float64 // so many times slower than this gatherer's record it is to be predicted; 1 = as it is
	Why     string  // for operators
	Since   time.Duration
	TryAt   time.Duration // of Out: when its holder may try it
	Pinned  bool
	changed time.Duration
}

// State is a stance's.
type State uint8

const (
	In State = iota
	Avoided
	Out
	Trial // out, and due to be tried by its holder
)

func (s State) String() string { return [...]string{"in", "avoided", "out", "on trial"}[s] }

// server is one as it is judged.
type server struct {
	shard  Shard
	words  map[Observer]*Word // emptied by age
	stance Stance
	pause  time.Duration // the next time out
	lostAt time.Duration // when it last went out
	slowAt time.Duration // since when it is slow; 0 = it is not
	avoid  time.Duration // the next time that it is avoided
	own    tally
}

// tally is what this gatherer saw of a server lately.
type tally struct {
	word    Word
	said    time.Duration // when that was last said
	answers int
	ratio   float64 // smoothed logarithm of its time over its fellows'
	heardAt time.Duration
}

// Board is one gatherer's judgement of all servers.
type Board struct {
	self     Observer
	no       uint32
	servers  map[Instance]*server // as many as are listed
	shards   map[Shard][]Instance // the same
	fresh    []Word               // to be told to others; emptied by telling
	live     map[Instance]*server // with words, or not in as they are; emptied by time
	changed  []Instance           // whose stance changed; emptied by asking
	others   int                  // gatherers beside this one
	troubled bool
}

// NewBoard makes a board that knows no server.
func NewBoard(self Observer) *Board {
	return &Board{self: self, servers: map[Instance]*server{}, shards: map[Shard][]Instance{}, live: map[Instance]*server{}}
}

// List says which servers there are and how many other gatherers. Servers not named are forgotten.
func (b *Board) List(all map[Instance]Shard, others int) {
	b.others = others
	for i, s := range b.servers {
		if at, there := all[i]; !there || at != s.shard {
			delete(b.servers, i)
			delete(b.live, i)
		}
	}
	b.shards = map[Shard][]Instance{}
	for i, at := range all {
		if b.servers[i] == nil {
			b.servers[i] = &server{shard: at, stance: Stance{Factor: 1}, pause: firstOut, avoid: avoidFor}
		}
		b.shards[at] = append(b.shards[at], i)
	}
	for _, of := range b.shards {
		slices.Sort(of)
	}
}

// Answered says that a server answered this gatherer, in so long per unit of size; fellow is what its fellows take, 0 = not known.
func (b *Board) Answered(i Instance, unit, fellow float64, now time.Duration) {
	s := b.servers[i]
	if s == nil {
		return
	}
	s.own.heardAt = now
	if fellow > 0 && unit > 0 {
		s.own.answers++
		s.own.ratio += (math.Log(unit/fellow) - s.own.ratio) / float64(min(s.own.answers, 6))
	}
	ratio := math.Exp(s.own.ratio)
	switch was := s.own.word.Kind; {
	case was >= Silent || s.stance.State >= Out:
		s.own.answers, s.own.ratio = 0, 0
		b.say(s, i, Word{Kind: Well, Answers: 1}, now)
	case s.own.answers >= slowFrom && (ratio >= slowEnter || was == Slow && ratio >= slowLeave):
		if (was != Slow || now-s.own.said >= againIn) && s.stance.State == In {
			b.say(s, i, Word{Kind: Slow, Ratio: ratio, Answers: min(s.own.answers, 20)}, now)
		}
	case was == Slow || s.stance.State == Avoided && s.own.answers >= slowFrom && now-s.own.said >= againIn:
		b.say(s, i, Word{Kind: Well, Ratio: ratio, Answers: min(s.own.answers, 20)}, now)
	}
}

// Failed says that a server did not answer this gatherer: nobody listens there, or it is silent.
func (b *Board) Failed(i Instance, kind Kind, now time.Duration) {
	s := b.servers[i]
	if s == nil || b.troubled {
		return
	}
	if s.own.word.Kind == kind && now-s.own.said < againIn && s.stance.State != Trial || s.stance.State == Out {
		return
	}
	w := Word{Kind: kind, Answers: 1}
	if s.stance.State >= Out {
		w.Pause = s.pause
	}
	b.say(s, i, w, now)
}

// Troubled says whether this gatherer is itself in trouble: what it sees of servers then says more of its own way than of them.
func (b *Board) Troubled(is bool) { b.troubled = is }

// say puts a word of this gatherer's own on the board.
func (b *Board) say(s *server, i Instance, w Word, now time.Duration) {
	b.no++
	w.Server, w.Observer, w.No, w.At = i, b.self, b.no, now
	s.own.word, s.own.said = w, now
	b.put(s, w, now)
}

// Take takes a word of another. It tells whether it was news.
func (b *Board) Take(w Word, now time.Duration) bool {
	s := b.servers[w.Server]
	if s == nil || w.Observer == b.self || now-w.At >= standsFor {
		return false
	}
	if old := s.words[w.Observer]; old != nil && old.No >= w.No {
		return false
	}
	b.put(s, w, now)
	return true
}

// put puts a word on the board, and has it told on where it tells others something: many see the same at once, and a word that changes
// nothing here changes nothing there.
func (b *Board) put(s *server, w Word, now time.Duration) {
	if s.words == nil {
		s.words = map[Observer]*Word{}
	}
	s.words[w.Observer] = &w
	b.live[w.Server] = s
	before := s.stance.State
	b.judge(w.Server, s, now)
	after := s.stance.State
	tells := after != before || w.Pause > 0 || w.Kind == Well && before >= Avoided || (w.Kind == Slow || w.Kind == Silent) && after == In
	if w.Hops < Hops && tells {
		b.fresh = append(b.fresh, w)
		b.fresh = slices.Delete(b.fresh, 0, max(len(b.fresh)-4*mostWords, 0)) // the oldest go where there are too many
	}
}

// Tell returns what is to be told to others, each word once.
func (b *Board) Tell() (out []Word) {
	n := min(len(b.fresh), mostWords)
	out = slices.Clone(b.fresh[:n])
	b.fresh = slices.Delete(b.fresh, 0, n)
	for i := range out {
		out[i].Hops++
	}
	return out
}

// Pass carries stances on to a moment: words grow old, trials fall due, ramps end.
func (b *Board) Pass(now time.Duration) {
	for i, s := range b.live {
		if b.judge(i, s, now); len(s.words) == 0 && s.stance.State == In && s.stance.Factor == 1 {
			delete(b.live, i)
		}
	}
}

// Pin holds a server at a stance, whatever is seen of it; unpin with nil.
func (b *Board) Pin(i Instance, state *State, now time.Duration) {
	s := b.servers[i]
	if s == nil {
		return
	}
	b.changed = append(b.changed, i)
	b.live[i] = s
	if s.stance.Pinned = state != nil; state == nil {
		b.set(s, In, 1, "the pin has ended", now)
		return
	}
	factor := 1.0
	if *state == Avoided {
		factor = slowEnter
	}
	b.set(s, *state, factor, "pinned by an operator", now)
}

// Stance is a server's; the zero Stance's State is In.
func (b *Board) Stance(i Instance) Stance {
	if s := b.servers[i]; s != nil {
		return s.stance
	}
	return Stance{Factor: 1}
}

// Words are those that stand on a server, by observer.
func (b *Board) Words(i Instance) (out []Word) {
	if s := b.servers[i]; s != nil {
		for _, w := range s.words {
			out = append(out, *w)
		}
	}
	slices.SortFunc(out, func(a, b Word) int { return cmp.Compare(a.Observer, b.Observer) })
	return out
}

func (b *Board) set(s *server, state State, factor float64, why string, now time.Duration) {
	if s.stance.State != state {
		s.stance.Since, s.stance.Why = now, why
	}
	s.stance.State, s.stance.Factor = state, factor
}

// Changed returns the servers whose stance changed since it was last asked for.
func (b *Board) Changed() []Instance {
	out := b.changed
	b.changed = nil
	return out
}

// judge is the one rule. It goes by the words alone and by when they were seen.
func (b *Board) judge(i Instance, s *server, now time.Duration) {
	was := s.stance
	b.weigh(s, now)
	if s.stance.State != was.State || s.stance.Factor != was.Factor {
		b.changed = append(b.changed, i)
	}
}

func (b *Board) weigh(s *server, now time.Duration) {
	if s.stance.Pinned {
		return
	}
	var refused, wellAt, failedAt time.Duration = -1, -1, -1
	silent, well := 0, 0
	var pause time.Duration
	var slow []Word
	for o, w := range s.words {
		if now-w.At >= standsFor {
			delete(s.words, o)
			continue
		}
		switch w.Kind {
		case Refused:
			refused, failedAt, pause = max(refused, w.At), max(failedAt, w.At), max(pause, w.Pause)
		case Silent:
			failedAt, pause = max(failedAt, w.At), max(pause, w.Pause)
			silent++
		case Slow:
			slow = append(slow, *w)
			well++
		case Well:
			wellAt = max(wellAt, w.At)
			well++
			if w.Ratio > 0 {
				slow = append(slow, *w)
			}
		}
	}
	dead := refused >= 0 && refused > wellAt
	mute := silent >= min(silentBy, b.others+1) && silent > 2*well && failedAt > wellAt && b.most(s.shard)
	switch s.stance.State {
	case Out, Trial:
		switch {
		case wellAt > s.stance.Since && wellAt > failedAt:
			s.lostAt, s.pause = now, max(s.pause, firstOut)
			b.set(s, In, rampFirst, "it answered a trial", now)
		case pause > 0 && failedAt > s.stance.Since && failedAt+pause > s.stance.TryAt: // its trial failed
			s.pause = min(2*pause, lastOut)
			s.stance.TryAt = failedAt + pause
			s.stance.State = Out
		case failedAt < 0 && now-s.stance.TryAt > standsFor:
			// Nobody says anything of it any more: each gatherer's own records decide again.
			b.set(s, In, rampFirst, "no word of it any more", now)
		case now >= s.stance.TryAt && s.stance.State == Out:
			s.stance.State = Trial
		}
		return
	case In, Avoided:
		if dead || mute {
			why := "nobody listens at its address"
			if !dead {
				why = "it is silent to several"
			}
			if now-s.lostAt > swings || s.lostAt == 0 {
				s.pause = firstOut
			}
			b.set(s, Out, 1, why, now)
			s.stance.TryAt = max(failedAt, 0) + s.pause
			s.pause = min(2*s.pause, lastOut)
			return
		}
	}
	ratio, by := merged(slow)
	enough := by >= min(max(slowBy, (b.others+1)/slowShare), b.others+1)
	if s.stance.State == Avoided {
		fast := by >= min(slowBy, b.others+1) && wellAt > s.stance.Since && ratio < slowLeave
		if fast || now-s.stance.Since >= s.avoid {
			if s.avoid = min(2*s.avoid, lastAvoid); fast {
				s.avoid = avoidFor
			}
			clear(s.words)
			b.set(s, In, rampFirst, "it is tried again", now)
		}
		return
	}
	if !enough || ratio < slowEnter || !b.most(s.shard) {
		s.slowAt = 0
	} else if s.slowAt == 0 {
		s.slowAt = max(now, 1)
	} else if now-s.slowAt >= dwell {
		s.slowAt = 0
		clear(s.words)
		own := 1.0 // what this gatherer's own record says of it already does not count twice
		if s.own.answers > 0 {
			own = math.Exp(s.own.ratio)
		}
		b.set(s, Avoided, max(ratio/max(own, 1), 1), "several find it slower than its fellows", now)
		return
	}
	// The ramp, which all share as it follows from when the stance changed.
	left := 1 - float64(now-s.stance.Since)/float64(rampFor)
	if s.stance.Factor = 1; s.stance.Since > 0 && left > 0 {
		s.stance.Factor = 1 + math.Ceil((rampFirst-1)*left*4)/4
	}
}

// most tells whether one more of a shard's servers may be avoided or out for what it does: the rest must bear the load, and the last one
// stays in any case. Where nobody listens there is nothing to bear it with.
func (b *Board) most(at Shard) bool {
	kept := 0
	for _, i := range b.shards[at] {
		if s := b.servers[i]; s.stance.State == In {
			kept++
		}
	}
	return 2*(kept-1) >= len(b.shards[at])
}

// merged is the weighted median of what observers say of a server's slowness, each by the answers that stand behind it: one sick
// observer moves it little. By is how many there are.
func merged(words []Word) (ratio float64, by int) {
	if len(words) == 0 {
		return 0, 0
	}
	slices.SortFunc(words, func(a, b Word) int { return cmp.Or(cmp.Compare(a.Ratio, b.Ratio), cmp.Compare(a.Observer, b.Observer)) })
	all := 0
	for _, w := range words {
		all += max(w.Answers, 1)
	}
	sum := 0
	for _, w := range words {
		if sum += max(w.Answers, 1); 2*sum >= all {
			return max(w.Ratio, 1), len(words)
		}
	}
	return 1, len(words)
}
