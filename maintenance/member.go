package maintenance

import "time"

// Time is a point in time in milliseconds, by the clock of the replicas' leader.
type Time int64

// Duration is a length of time in milliseconds.
type Duration int64

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// MemberName identifies a member; it stays the same over restarts.
type MemberName string

// Zone is the failure domain of a member.
type Zone string

// Version is the program version that a member reports.
type Version string

// Incarnation identifies one run of a member; a later run has a larger one.
type Incarnation uint64

// Epoch is the log index of the command that created something; a later one is larger.
type Epoch uint64

// Segment is the number of a segment of the data, as in the server list.
type Segment int

// Kind is the kind of a member.
type Kind string

// The kinds of members.
const (
	Gatherer Kind = "gatherer"
	Server   Kind = "server"
)

// Status is the status that a gatherer reports of itself, or that the server list reports of a server.
type Status string

// The statuses of a member.
const (
	Ready     Status = "ready"
	WarmingUp Status = "cold"     // in its slow start: it serves at a reduced rate
	Draining  Status = "draining" // it accepts no new requests
)

// Limits bound how many members may be out at the same time. Shares are from 0 to 1 of all members of a kind. A zero value is no
// limit; where a number and a share are given the lower one holds.
type Limits struct {
	MaxGatherers        int      `json:"most_gatherers,omitempty"`
	MaxGathererShare    float64  `json:"share_gatherers,omitempty"`
	MaxGatherersPerZone int      `json:"most_gatherers_zone,omitempty"`
	MaxServers          int      `json:"most_servers,omitempty"`
	MaxServersPerZone   int      `json:"most_servers_zone,omitempty"`
	MinReplicas         int      `json:"least_replicas,omitempty"` // ready replicas of each segment that must remain
	SuspicionShare      float64  `json:"suspected_by,omitempty"`   // of the live gatherers; a member suspected by more of them is out. 0 = half
	LeaseDuration       Duration `json:"lease_ms,omitempty"`
	ForgetAfter         Duration `json:"forget_ms,omitempty"` // a member without lease and permit for so long is removed; 0 = never
}

// RequestCounts are a gatherer's counters of requests by outcome, since its start.
type RequestCounts struct {
	Answered uint64 `json:"answered"` // in time
	Late     uint64 `json:"late"`
	Errored  uint64 `json:"errored"`
	Shed     uint64 `json:"shed"`
}

func (c RequestCounts) minus(d RequestCounts) RequestCounts {
	return RequestCounts{c.Answered - d.Answered, c.Late - d.Late, c.Errored - d.Errored, c.Shed - d.Shed}
}

func (c RequestCounts) plus(d RequestCounts) RequestCounts {
	return RequestCounts{c.Answered + d.Answered, c.Late + d.Late, c.Errored + d.Errored, c.Shed + d.Shed}
}

func (c RequestCounts) total() uint64 { return c.Answered + c.Late + c.Errored + c.Shed }

// since returns what was counted after base, or all of c where the counters were reset.
func (c RequestCounts) since(base RequestCounts) RequestCounts {
	if c.Answered < base.Answered || c.Late < base.Late || c.Errored < base.Errored || c.Shed < base.Shed {
		return c
	}
	return c.minus(base)
}

// successRatio returns the share of requests answered in time, from 0 to 1; 1 where none was counted.
func (c RequestCounts) successRatio() float64 {
	if c.total() == 0 {
		return 1
	}
	return float64(c.Answered) / float64(c.total())
}

// Member is a gatherer or a server.
type Member struct {
	Name        MemberName    `json:"name"`
	Kind        Kind          `json:"kind"`
	Zone        Zone          `json:"zone"`
	Version     Version       `json:"version"`
	Incarnation Incarnation   `json:"incarnation"`
	Status      Status        `json:"status"`
	Segments    []Segment     `json:"segments,omitempty"` // of a server
	LeaseEnd    Time          `json:"until"`
	StartedAt   Time          `json:"since"` // when this incarnation joined
	Counts      RequestCounts `json:"figures"`
	Suspects    []MemberName  `json:"suspects,omitempty"` // members that this gatherer takes for dead or ejected as outliers, sorted
	Permit      *Permit       `json:"permit,omitempty"`
}

// Permit allows a member to be out. Its epoch is its fencing token.
type Permit struct {
	Epoch       Epoch      `json:"epoch"`
	Holder      MemberName `json:"for"`
	Reason      string     `json:"why"`
	RequestedAt Time       `json:"asked"`
	Release     ReleaseID  `json:"release,omitempty"` // "" = requested by its holder or an operator
}

// alive reports whether the member's lease holds.
func (m *Member) alive(now Time) bool { return m.LeaseEnd > now }

// ActivePermit returns the permit on which the member's current incarnation is to act; nil = none. A permit on which the previous
// incarnation acted stays until the current one is ready, so that nobody else goes out meanwhile, but the current one must not go out
// by it once more.
func (m *Member) ActivePermit() *Permit {
	if m.Permit == nil || m.Permit.Release == "" && m.StartedAt > m.Permit.RequestedAt {
		return nil
	}
	return m.Permit
}

// endPermitIfReady ends the permit of a member that was restarted and is ready again. A release's permit ends with its target's
// change.
func (m *Member) endPermitIfReady() {
	if p := m.Permit; p != nil && p.Release == "" && m.Status == Ready && m.StartedAt > p.RequestedAt {
		m.Permit = nil
	}
}
