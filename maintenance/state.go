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

var (
	// ErrStale is returned for a command that names an earlier incarnation or an earlier permit. Such a command changes
	// nothing.
	ErrStale = errors.New("it names an earlier incarnation or an earlier permit")
	// ErrRefused is returned for a permit request that would exceed a limit. It may be repeated later.
	ErrRefused = errors.New("refused")
	// ErrNotMember is returned for a command that names an unknown member.
	ErrNotMember = errors.New("not a member of the fleet")
)

// State is the replicated state of a fleet. Members are removed by an operator or after Limits.RemoveAfter. Only the
// last maxReleases releases are retained.
type State struct {
	V         int                    `json:"v"`
	Applied   Epoch                  `json:"applied"` // index of the last command applied
	Now       Time                   `json:"now"`
	Limits    Limits                 `json:"limits"`
	Members   map[MemberName]*Member `json:"members"`
	Releases  []*Release             `json:"releases,omitempty"`
	Baselines map[ReleaseID]Baseline `json:"before,omitempty"` // of the unfinished releases

	suspicions    map[MemberName]int // number of gatherers that suspect each member; nil = not computed since the last command
	liveGatherers int                // computed with suspicions
}

// Result is the result of a command. Permit is set for RequestPermit.
type Result struct {
	Permit *Permit
}

// New returns the state of an empty fleet.
func New(l Limits) *State {
	return &State{V: FormatVersion, Limits: l, Members: map[MemberName]*Member{}, Baselines: map[ReleaseID]Baseline{}}
}

// Restore parses a snapshot. The error wraps ErrNewerFormat if the snapshot has a later format version.
func Restore(b []byte) (*State, error) {
	if err := checkFormat(b); err != nil {
		return nil, fmt.Errorf("restore snapshot: %w", err)
	}
	s := New(Limits{})
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(s); err != nil {
		return nil, fmt.Errorf("restore snapshot: %w", err)
	}
	return s, nil
}

// Snapshot encodes the state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Apply applies the command with log index n. If it returns an error, the command itself changed nothing, but the time
// has advanced. A command whose index was already applied has no effect at all and returns ErrStale.
func (s *State) Apply(n Epoch, c Command) (Result, error) {
	if n <= s.Applied {
		return Result{}, ErrStale
	}
	s.Applied, s.Now, s.suspicions = n, max(s.Now, c.At), nil
	r, err := s.dispatch(c)
	s.removeExpiredMembers()
	s.advanceReleases()
	return r, err
}

// dispatch executes the operation that is set in c.
func (s *State) dispatch(c Command) (r Result, err error) {
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
	case c.RemoveMember != nil:
		err = s.removeMember(*c.RemoveMember)
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
	return r, err
}

// sortedMembers returns the members of a kind, sorted by name. The random iteration order of the map would make the
// states of the replicas differ.
func (s *State) sortedMembers(k Kind) []*Member {
	var all []*Member
	for _, m := range s.Members {
		if m.Kind == k {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// findMember returns the member with a name, or ErrNotMember.
func (s *State) findMember(n MemberName) (*Member, error) {
	m := s.Members[n]
	if m == nil {
		return nil, fmt.Errorf("%s: %w", n, ErrNotMember)
	}
	return m, nil
}

// findIncarnation is like findMember but returns ErrStale if i is not the member's current incarnation.
func (s *State) findIncarnation(n MemberName, i Incarnation) (*Member, error) {
	m, err := s.findMember(n)
	if err != nil {
		return nil, err
	}
	if i != m.Incarnation {
		return nil, fmt.Errorf("%s: %w", n, ErrStale)
	}
	return m, nil
}

// leaseEnd returns the end of a lease that is granted or renewed now.
func (s *State) leaseEnd() Time { return s.Now + Time(s.Limits.LeaseDuration) }

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
		m.LeaseEnd = s.leaseEnd() // a retry: the reply to the first Join was lost
		return nil
	}
	// A new incarnation does not continue the work of the previous one. A permit of the previous one remains until this
	// one is ready.
	m.Zone, m.Version, m.Incarnation, m.Status = j.Zone, j.Version, j.Incarnation, WarmingUp
	m.StartedAt, m.LeaseEnd = s.Now, s.leaseEnd()
	m.Counts, m.Suspects = RequestCounts{}, nil
	return nil
}

func (s *State) renew(r Renew) error {
	m, err := s.findIncarnation(r.Name, r.Incarnation)
	if err != nil {
		return err
	}
	m.LeaseEnd = s.leaseEnd()
	m.Status, m.Counts = r.Status, r.Counts
	m.Suspects = slices.Compact(slices.Sorted(slices.Values(r.Suspects)))
	m.endPermitIfReady()
	return nil
}

func (s *State) leave(l Leave) error {
	m, err := s.findIncarnation(l.Name, l.Incarnation)
	if err != nil {
		return err
	}
	m.Status, m.LeaseEnd = Draining, s.Now
	return nil
}

func (s *State) requestPermit(r RequestPermit) (*Permit, error) {
	m, err := s.findMember(r.Name)
	if err != nil {
		return nil, err
	}
	if r.Incarnation != 0 && r.Incarnation != m.Incarnation {
		return nil, fmt.Errorf("%s: %w", r.Name, ErrStale)
	}
	if m.Permit != nil {
		return m.Permit, nil // a retry after a lost reply, or the permit belongs to a release
	}
	return s.grant(m, r.Reason, "")
}

// grant gives m a permit, or returns ErrRefused if a limit would be exceeded.
func (s *State) grant(m *Member, reason string, release ReleaseID) (*Permit, error) {
	if violated := s.violatedLimit(m); violated != "" {
		return nil, fmt.Errorf("%s may not be out now, %s: %w", m.Name, violated, ErrRefused)
	}
	m.Permit = &Permit{Epoch: s.Applied, Holder: m.Name, Reason: reason, RequestedAt: s.Now, Release: release}
	return m.Permit, nil
}

func (s *State) returnPermit(r ReturnPermit) error {
	m, err := s.findMember(r.Name)
	switch {
	case err != nil:
		return err
	case m.Permit == nil || m.Permit.Epoch != r.Epoch:
		return fmt.Errorf("%s returns a permit: %w", r.Name, ErrStale)
	case m.Permit.Release != "":
		return fmt.Errorf("%s is out for release %s, which ends its permit itself", r.Name, m.Permit.Release)
	}
	m.Permit = nil
	return nil
}

func (s *State) removeMember(f Forget) error {
	m, err := s.findMember(f.Name)
	if err != nil {
		return err
	}
	if m.Kind == Gatherer && m.alive(s.Now) {
		return fmt.Errorf("%s is alive, and only a member that is gone can be forgotten", f.Name)
	}
	delete(s.Members, f.Name)
	return nil
}

// updateServers updates the servers from a server list, and ends the lease of those that are not in it.
func (s *State) updateServers(u UpdateServers) {
	listed := map[MemberName]bool{}
	for _, server := range u.Servers {
		m := s.Members[server.Name]
		if m != nil && m.Kind != Server {
			continue // invalid entry: the name belongs to a gatherer
		}
		listed[server.Name] = true
		if m == nil {
			m = &Member{Name: server.Name, Kind: Server}
			s.Members[server.Name] = m
		}
		if server.Incarnation != m.Incarnation || m.StartedAt == 0 {
			m.StartedAt = s.Now
		}
		m.Zone, m.Version, m.Incarnation, m.Status = server.Zone, server.Version, server.Incarnation, server.Status
		m.Segments, m.LeaseEnd = slices.Clone(server.Segments), math.MaxInt64
		m.endPermitIfReady()
	}
	for _, m := range s.sortedMembers(Server) {
		if !listed[m.Name] && m.alive(s.Now) {
			m.LeaseEnd = s.Now // it was removed from the list; it counts as out until it is removed from the members
		}
	}
}

// removeExpiredMembers removes the members without a permit whose lease ended more than Limits.RemoveAfter ago.
func (s *State) removeExpiredMembers() {
	if s.Limits.RemoveAfter <= 0 {
		return
	}
	for name, m := range s.Members {
		if m.Permit == nil && s.Now > m.LeaseEnd && s.Now-m.LeaseEnd > Time(s.Limits.RemoveAfter) {
			delete(s.Members, name)
		}
	}
}
