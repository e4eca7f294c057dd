package maintenance

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// ErrStale says that a command named an older run or an older grant; it changed nothing.
var ErrStale = errors.New("it comes from an earlier run or names an earlier grant")

// ErrRefused says that a limit would be passed; asking again later may do.
var ErrRefused = errors.New("refused")

// State is the fleet's agreed state. It holds an entry for each member, emptied by leaving, by an operator's word and as those gone
// without a permit grow old, and one for each release, of which the last keptReleases ended ones stay.
type State struct {
	V        int                 `json:"v"`
	Applied  Epoch               `json:"applied"` // the last command's number
	Now      Moment              `json:"now"`
	Limits   Limits              `json:"limits"`
	Members  map[Name]*Member    `json:"members"`
	Releases []*Release          `json:"releases,omitempty"`
	Before   map[ReleaseID]Watch `json:"before,omitempty"` // counts of releases under way; emptied by their end

	words map[Name]int // by how many gatherers each member is held for dead; nil = to be counted anew, as after each command
	live  int          // gatherers that are alive, counted with words
}

// Watch is what a release has counted before its first change, and of those not yet changed.
type Watch struct {
	Share float64          `json:"share"` // answered in time before the first step; judged by where no others are left
	Base  map[Name]Figures `json:"base"`  // counts when the present dwell began
}

const keptReleases = 16

// patience is how many dwells a gate waits for searches to judge by, until the release halts.
const patience = 10

// Result is what became of a command. Permit is set by Ask.
type Result struct {
	Permit *Permit
}

// New is an empty fleet's state.
func New(l Limits) *State {
	return &State{V: FormatVersion, Limits: l, Members: map[Name]*Member{}, Before: map[ReleaseID]Watch{}}
}

// Restore reads a snapshot.
func Restore(b []byte) (*State, error) {
	var v struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, fmt.Errorf("a snapshot of the fleet cannot be read: %w", err)
	}
	if v.V > FormatVersion {
		return nil, fmt.Errorf("a snapshot of the fleet has the format %d, this program knows %d: %w", v.V, FormatVersion, ErrNewer)
	}
	s := New(Limits{})
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(s); err != nil {
		return nil, fmt.Errorf("a snapshot of the fleet cannot be read: %w", err)
	}
	return s, nil
}

// Snapshot writes the state; the same state always gives the same bytes.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Apply carries out the log's command number n. An error says in a sentence why nothing changed, but that time passed. A number that
// was applied before changes nothing at all.
func (s *State) Apply(n Epoch, c Command) (Result, error) {
	if n <= s.Applied {
		return Result{}, ErrStale
	}
	s.Applied, s.Now, s.words = n, max(s.Now, c.At), nil
	var r Result
	var err error
	switch {
	case c.Join != nil:
		err = s.join(*c.Join)
	case c.Renew != nil:
		err = s.renew(*c.Renew)
	case c.Leave != nil:
		err = s.leave(*c.Leave)
	case c.Ask != nil:
		r.Permit, err = s.ask(*c.Ask)
	case c.Return != nil:
		err = s.giveBack(*c.Return)
	case c.Forget != nil:
		err = s.forget(*c.Forget)
	case c.Listed != nil:
		s.listed(*c.Listed)
	case c.Limits != nil:
		s.Limits = *c.Limits
	case c.Start != nil:
		err = s.start(*c.Start)
	case c.Halt != nil:
		err = s.halt(*c.Halt)
	case c.Resume != nil:
		err = s.resume(*c.Resume)
	case c.Back != nil:
		err = s.back(*c.Back)
	}
	s.age()
	s.advance()
	return r, err
}

// order is the members by name: ranging over the map would part the stewards' states.
func (s *State) order(k Kind) []*Member {
	var all []*Member
	for _, m := range s.Members {
		if k == "" || m.Kind == k {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (s *State) join(j Join) error {
	m := s.Members[j.Name]
	switch {
	case j.Name == "":
		return errors.New("a member needs a name")
	case m != nil && m.Kind != Gatherer:
		return fmt.Errorf("%s is the name of a server", j.Name)
	case m != nil && j.Incarnation < m.Incarnation:
		return fmt.Errorf("%s joins: %w", j.Name, ErrStale)
	case m == nil:
		m = &Member{Name: j.Name, Kind: Gatherer}
		s.Members[j.Name] = m
	case j.Incarnation == m.Incarnation:
		m.Until = s.Now + Moment(s.Limits.LeaseSpan) // the answer to its first word was lost
		return nil
	}
	// A new run knows nothing of what the one before was doing; a permit it held stays until this run is ready.
	m.Zone, m.Version, m.Incarnation, m.Status, m.Since = j.Zone, j.Version, j.Incarnation, Cold, s.Now
	m.Figures, m.Suspects, m.Until = Figures{}, nil, s.Now+Moment(s.Limits.LeaseSpan)
	return nil
}

// run finds a member's present run.
func (s *State) run(n Name, i Incarnation) (*Member, error) {
	m := s.Members[n]
	if m == nil {
		return nil, fmt.Errorf("%s is no member", n)
	}
	if i != m.Incarnation {
		return nil, fmt.Errorf("%s: %w", n, ErrStale)
	}
	return m, nil
}

func (s *State) renew(r Renew) error {
	m, err := s.run(r.Name, r.Incarnation)
	if err != nil {
		return err
	}
	m.Until = s.Now + Moment(s.Limits.LeaseSpan)
	m.Status, m.Figures = r.Status, r.Figures
	m.Suspects = slices.Compact(slices.Sorted(slices.Values(r.Suspects)))
	s.backIn(m)
	return nil
}

// Due is the permit that a member's present run is to act on; nil = none. One that the run before acted on stays until this one is
// ready, so that nobody goes out meanwhile: taken for its own, the new run would go out once more.
func (m *Member) Due() *Permit {
	if m.Permit == nil || m.Permit.Release == "" && m.Since > m.Permit.Asked {
		return nil
	}
	return m.Permit
}

// backIn ends the permit of a member that was restarted and is ready again. A release's ends with its target's change.
func (s *State) backIn(m *Member) {
	if p := m.Permit; p != nil && p.Release == "" && m.Status == Ready && m.Since > p.Asked {
		m.Permit = nil
	}
}

func (s *State) leave(l Leave) error {
	m, err := s.run(l.Name, l.Incarnation)
	if err != nil {
		return err
	}
	m.Status, m.Until = Draining, s.Now
	return nil
}

func (s *State) ask(a Ask) (*Permit, error) {
	m := s.Members[a.Name]
	if m == nil {
		return nil, fmt.Errorf("%s is no member", a.Name)
	}
	if a.Incarnation != 0 && a.Incarnation != m.Incarnation {
		return nil, fmt.Errorf("%s: %w", a.Name, ErrStale)
	}
	if m.Permit != nil {
		return m.Permit, nil // the answer was lost, or a release is at it
	}
	return s.grant(m, a.Why, "")
}

func (s *State) grant(m *Member, why string, r ReleaseID) (*Permit, error) {
	if reason := s.passed(m); reason != "" {
		return nil, fmt.Errorf("%s may not be out now, %s: %w", m.Name, reason, ErrRefused)
	}
	m.Permit = &Permit{Epoch: s.Applied, For: m.Name, Why: why, Asked: s.Now, Release: r}
	return m.Permit, nil
}

func (s *State) giveBack(r Return) error {
	m := s.Members[r.Name]
	switch {
	case m == nil:
		return fmt.Errorf("%s is no member", r.Name)
	case m.Permit == nil || m.Permit.Epoch != r.Epoch:
		return fmt.Errorf("%s gives back a permit: %w", r.Name, ErrStale)
	case m.Permit.Release != "":
		return fmt.Errorf("%s is out for release %s, which ends its permit itself", r.Name, m.Permit.Release)
	}
	m.Permit = nil
	return nil
}

func (s *State) forget(f Forget) error {
	if s.Members[f.Name] == nil {
		return fmt.Errorf("%s is no member", f.Name)
	}
	if m := s.Members[f.Name]; m.Kind == Gatherer && m.Until > s.Now {
		return fmt.Errorf("%s is alive, and only what is gone can be forgotten", f.Name)
	}
	delete(s.Members, f.Name)
	return nil
}

func (s *State) listed(l Listed) {
	named := map[Name]bool{}
	for _, e := range l.Servers {
		m := s.Members[e.Name]
		if m != nil && m.Kind != Server {
			continue // a gatherer's name; the list is wrong about it
		}
		if named[e.Name] = true; m == nil {
			m = &Member{Name: e.Name, Kind: Server}
			s.Members[e.Name] = m
		}
		if e.Incarnation != m.Incarnation || m.Since == 0 {
			m.Since = s.Now
		}
		m.Zone, m.Version, m.Incarnation, m.Status = e.Zone, e.Version, e.Incarnation, e.Status
		m.Segments, m.Until = slices.Clone(e.Segments), math.MaxInt64
		s.backIn(m)
	}
	for _, m := range s.order(Server) {
		if !named[m.Name] && m.Until > s.Now {
			m.Until = s.Now // it left the list; it counts as out until it is old
		}
	}
}

// age forgets who has been gone for long and holds no permit.
func (s *State) age() {
	for n, m := range s.Members {
		if s.Limits.ForgetGatherersFor > 0 && m.Permit == nil && s.Now > m.Until && s.Now-m.Until > Moment(s.Limits.ForgetGatherersFor) {
			delete(s.Members, n)
		}
	}
}

// Out tells why a member counts as out; "" = it is in.
func (s *State) Out(m *Member) string {
	switch {
	case m.Permit != nil:
		return "agreed: " + m.Permit.Why
	case m.Until <= s.Now:
		return "gone"
	case m.Status != Ready:
		return string(m.Status)
	case s.suspected(m):
		return "suspected by most gatherers"
	}
	return ""
}

// suspected tells whether so many live gatherers hold a member for dead that it counts as out.
func (s *State) suspected(m *Member) bool {
	if s.words == nil {
		s.listen()
	}
	live := s.live
	if m.Kind == Gatherer && m.Until > s.Now {
		live-- // its own word is not asked
	}
	by := s.words[m.Name]
	return by > 0 && float64(by) > cmp.Or(s.Limits.SuspectedByMost, 0.5)*float64(live)
}

// listen counts who is held for dead by whom. One that suspects more than half of a kind has trouble of its own, and its word on them
// counts for nothing.
func (s *State) listen() {
	s.words, s.live = map[Name]int{}, 0
	of := map[Kind]int{}
	for _, m := range s.Members {
		of[m.Kind]++
	}
	for _, g := range s.Members {
		if g.Kind != Gatherer || g.Until <= s.Now {
			continue
		}
		s.live++
		alike := map[Kind]int{}
		for _, n := range g.Suspects {
			if m := s.Members[n]; m != nil {
				alike[m.Kind]++
			}
		}
		for _, n := range g.Suspects {
			if m := s.Members[n]; m != nil && m != g && 2*alike[m.Kind] <= of[m.Kind] {
				s.words[n]++
			}
		}
	}
}

// passed tells which limit would be passed if a member were out too; "" = none.
func (s *State) passed(m *Member) string {
	out, zone, all := 1, 1, 0
	ready := map[Segment]int{}
	for _, o := range s.order(m.Kind) {
		all++
		if o == m {
			continue
		}
		if s.Out(o) != "" {
			if out++; o.Zone == m.Zone {
				zone++
			}
		} else {
			for _, seg := range o.Segments {
				ready[seg]++
			}
		}
	}
	most, inZone, what := s.Limits.MostGatherers, s.Limits.MostGatherersZone, "gatherers"
	if m.Kind == Server {
		most, inZone, what = s.Limits.MostServers, s.Limits.MostServersZone, "servers"
	} else if share := s.Limits.ShareGatherers; share > 0 {
		by := int(share * float64(all))
		if by < 1 {
			return fmt.Sprintf("as a share of %v of %d gatherers is less than one", share, all)
		}
		most = cmp.Or(min(cmp.Or(most, by), by), by)
	}
	if most > 0 && out > most {
		return fmt.Sprintf("as %d of at most %d %s are out", out-1, most, what)
	}
	if inZone > 0 && zone > inZone {
		return fmt.Sprintf("as %d of at most %d %s of zone %s are out", zone-1, inZone, what, m.Zone)
	}
	if least := s.Limits.LeastReplicas; least > 0 && m.Kind == Server {
		for _, seg := range m.Segments {
			if ready[seg] < least {
				return fmt.Sprintf("as segment %d would have %d ready replicas of at least %d", seg, ready[seg], least)
			}
		}
	}
	return ""
}
