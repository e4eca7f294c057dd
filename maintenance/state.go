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
// without a permit grow old, and one for each release, of which the last maxReleases ended ones stay.
type State struct {
	V         int                    `json:"v"`
	Applied   Epoch                  `json:"applied"` // the last command's number
	Now       Time                   `json:"now"`
	Limits    Limits                 `json:"limits"`
	Members   map[MemberName]*Member `json:"members"`
	Releases  []*Release             `json:"releases,omitempty"`
	Baselines map[ReleaseID]Baseline `json:"before,omitempty"` // counts of releases under way; emptied by their end

	suspicions    map[MemberName]int // by how many gatherers each member is held for dead; nil = to be counted anew, as after each command
	liveGatherers int                // gatherers that are alive, counted with words
}

// Baseline is what a release has counted before its first change, and of those not yet changed.
type Baseline struct {
	SuccessRatio float64                      `json:"share"` // answered in time before the first step; judged by where no others are left
	Counts       map[MemberName]RequestCounts `json:"base"`  // counts when the present dwell began
}

const maxReleases = 16

// maxGateDwells is how many dwells a gate waits for searches to judge by, until the release halts.
const maxGateDwells = 10

// Result is what became of a command. Permit is set by Ask.
type Result struct {
	Permit *Permit
}

// New is an empty fleet's state.
func New(l Limits) *State {
	return &State{V: FormatVersion, Limits: l, Members: map[MemberName]*Member{}, Baselines: map[ReleaseID]Baseline{}}
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
		return nil, fmt.Errorf("a snapshot of the fleet has the format %d, this program knows %d: %w", v.V, FormatVersion, ErrNewerFormat)
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
	s.Applied, s.Now, s.suspicions = n, max(s.Now, c.At), nil
	var r Result
	var err error
	switch {
	case c.Join != nil:
		err = s.join(*c.Join)
	case c.Renew != nil:
		err = s.renew(*c.Renew)
	case c.Leave != nil:
		err = s.leave(*c.Leave)
	case c.RequestPermit != nil:
		r.Permit, err = s.requestPermit(*c.RequestPermit)
	case c.ReturnPermit != nil:
		err = s.returnPermit(*c.ReturnPermit)
	case c.Forget != nil:
		err = s.forget(*c.Forget)
	case c.UpdateServers != nil:
		s.updateServers(*c.UpdateServers)
	case c.Limits != nil:
		s.Limits = *c.Limits
	case c.StartRelease != nil:
		err = s.startRelease(*c.StartRelease)
	case c.HaltRelease != nil:
		err = s.haltRelease(*c.HaltRelease)
	case c.ResumeRelease != nil:
		err = s.resumeRelease(*c.ResumeRelease)
	case c.RollBack != nil:
		err = s.rollBack(*c.RollBack)
	}
	s.forgetGone()
	s.advanceReleases()
	return r, err
}

// sortedMembers is the members by name: ranging over the map would part the stewards' states.
func (s *State) sortedMembers(k Kind) []*Member {
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
		m.LeaseEnd = s.Now + Time(s.Limits.LeaseDuration) // the answer to its first word was lost
		return nil
	}
	// A new run knows nothing of what the one before was doing; a permit it held stays until this run is ready.
	m.Zone, m.Version, m.Incarnation, m.Status, m.StartedAt = j.Zone, j.Version, j.Incarnation, WarmingUp, s.Now
	m.Counts, m.Suspects, m.LeaseEnd = RequestCounts{}, nil, s.Now+Time(s.Limits.LeaseDuration)
	return nil
}

// currentRun finds a member's present run.
func (s *State) currentRun(n MemberName, i Incarnation) (*Member, error) {
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
	m, err := s.currentRun(r.Name, r.Incarnation)
	if err != nil {
		return err
	}
	m.LeaseEnd = s.Now + Time(s.Limits.LeaseDuration)
	m.Status, m.Counts = r.Status, r.Counts
	m.Suspects = slices.Compact(slices.Sorted(slices.Values(r.Suspects)))
	s.endPermitIfReady(m)
	return nil
}

// ActivePermit is the permit that a member's present run is to act on; nil = none. One that the run before acted on stays until this one is
// ready, so that nobody goes out meanwhile: taken for its own, the new run would go out once more.
func (m *Member) ActivePermit() *Permit {
	if m.Permit == nil || m.Permit.Release == "" && m.StartedAt > m.Permit.RequestedAt {
		return nil
	}
	return m.Permit
}

// endPermitIfReady ends the permit of a member that was restarted and is ready again. A release's ends with its target's change.
func (s *State) endPermitIfReady(m *Member) {
	if p := m.Permit; p != nil && p.Release == "" && m.Status == Ready && m.StartedAt > p.RequestedAt {
		m.Permit = nil
	}
}

func (s *State) leave(l Leave) error {
	m, err := s.currentRun(l.Name, l.Incarnation)
	if err != nil {
		return err
	}
	m.Status, m.LeaseEnd = Draining, s.Now
	return nil
}

func (s *State) requestPermit(a RequestPermit) (*Permit, error) {
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
	return s.grant(m, a.Reason, "")
}

func (s *State) grant(m *Member, why string, r ReleaseID) (*Permit, error) {
	if reason := s.violatedLimit(m); reason != "" {
		return nil, fmt.Errorf("%s may not be out now, %s: %w", m.Name, reason, ErrRefused)
	}
	m.Permit = &Permit{Epoch: s.Applied, Holder: m.Name, Reason: why, RequestedAt: s.Now, Release: r}
	return m.Permit, nil
}

func (s *State) returnPermit(r ReturnPermit) error {
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
	if m := s.Members[f.Name]; m.Kind == Gatherer && m.LeaseEnd > s.Now {
		return fmt.Errorf("%s is alive, and only what is gone can be forgotten", f.Name)
	}
	delete(s.Members, f.Name)
	return nil
}

func (s *State) updateServers(l UpdateServers) {
	named := map[MemberName]bool{}
	for _, e := range l.Servers {
		m := s.Members[e.Name]
		if m != nil && m.Kind != Server {
			continue // a gatherer's name; the list is wrong about it
		}
		if named[e.Name] = true; m == nil {
			m = &Member{Name: e.Name, Kind: Server}
			s.Members[e.Name] = m
		}
		if e.Incarnation != m.Incarnation || m.StartedAt == 0 {
			m.StartedAt = s.Now
		}
		m.Zone, m.Version, m.Incarnation, m.Status = e.Zone, e.Version, e.Incarnation, e.Status
		m.Segments, m.LeaseEnd = slices.Clone(e.Segments), math.MaxInt64
		s.endPermitIfReady(m)
	}
	for _, m := range s.sortedMembers(Server) {
		if !named[m.Name] && m.LeaseEnd > s.Now {
			m.LeaseEnd = s.Now // it left the list; it counts as out until it is old
		}
	}
}

// forgetGone forgets who has been gone for long and holds no permit.
func (s *State) forgetGone() {
	for n, m := range s.Members {
		if s.Limits.ForgetAfter > 0 && m.Permit == nil && s.Now > m.LeaseEnd && s.Now-m.LeaseEnd > Time(s.Limits.ForgetAfter) {
			delete(s.Members, n)
		}
	}
}

// OutReason tells why a member counts as out; "" = it is in.
func (s *State) OutReason(m *Member) string {
	switch {
	case m.Permit != nil:
		return "agreed: " + m.Permit.Reason
	case m.LeaseEnd <= s.Now:
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
	if s.suspicions == nil {
		s.countSuspicions()
	}
	live := s.liveGatherers
	if m.Kind == Gatherer && m.LeaseEnd > s.Now {
		live-- // its own word is not asked
	}
	by := s.suspicions[m.Name]
	return by > 0 && float64(by) > cmp.Or(s.Limits.SuspicionShare, 0.5)*float64(live)
}

// countSuspicions counts who is held for dead by whom. One that suspects more than half of a kind has trouble of its own, and its word on them
// counts for nothing.
func (s *State) countSuspicions() {
	s.suspicions, s.liveGatherers = map[MemberName]int{}, 0
	of := map[Kind]int{}
	for _, m := range s.Members {
		of[m.Kind]++
	}
	for _, g := range s.Members {
		if g.Kind != Gatherer || g.LeaseEnd <= s.Now {
			continue
		}
		s.liveGatherers++
		alike := map[Kind]int{}
		for _, n := range g.Suspects {
			if m := s.Members[n]; m != nil {
				alike[m.Kind]++
			}
		}
		for _, n := range g.Suspects {
			if m := s.Members[n]; m != nil && m != g && 2*alike[m.Kind] <= of[m.Kind] {
				s.suspicions[n]++
			}
		}
	}
}

// violatedLimit tells which limit would be passed if a member were out too; "" = none.
func (s *State) violatedLimit(m *Member) string {
	out, zone, all := 1, 1, 0
	ready := map[Segment]int{}
	for _, o := range s.sortedMembers(m.Kind) {
		all++
		if o == m {
			continue
		}
		if s.OutReason(o) != "" {
			if out++; o.Zone == m.Zone {
				zone++
			}
		} else {
			for _, seg := range o.Segments {
				ready[seg]++
			}
		}
	}
	most, inZone, what := s.Limits.MaxGatherers, s.Limits.MaxGatherersPerZone, "gatherers"
	if m.Kind == Server {
		most, inZone, what = s.Limits.MaxServers, s.Limits.MaxServersPerZone, "servers"
	} else if share := s.Limits.MaxGathererShare; share > 0 {
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
	if least := s.Limits.MinReplicas; least > 0 && m.Kind == Server {
		for _, seg := range m.Segments {
			if ready[seg] < least {
				return fmt.Sprintf("as segment %d would have %d ready replicas of at least %d", seg, ready[seg], least)
			}
		}
	}
	return ""
}
