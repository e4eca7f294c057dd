package maintenance

import "time"

// Time is a point in time in milliseconds, by the clock of the leader of the replicas.
type Time int64

// Duration is a length of time in milliseconds.
type Duration int64

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// MemberName identifies a member. It does not change when the member restarts.
type MemberName string

// Zone is the failure domain of a member.
type Zone string

// Version is the program version that a member reports.
type Version string

// Incarnation identifies one process lifetime of a member. It increases with each restart.
type Incarnation uint64

// Epoch is the log index of the command that created an object, such as a permit. Later commands have larger epochs.
type Epoch uint64

// Segment is the number of a data segment, as used in the server list.
type Segment int

// Kind is the kind of a member.
type Kind string

// The kinds of members.
const (
	Gatherer Kind = "gatherer"
	Server   Kind = "server"
)

// Status is the status that a gatherer reports about itself, or that the server list contains for a server.
type Status string

// The statuses of a member.
const (
	Ready     Status = "ready"
	WarmingUp Status = "cold"     // in slow start: it serves at a reduced rate
	Draining  Status = "draining" // it accepts no new requests
)

// Limits bounds how many members may be out at the same time. Shares are fractions, from 0 to 1, of all members of a
// kind. A zero value means no limit. If both a number and a share are set, the lower of the two applies.
type Limits struct {
	MaxGatherers        int      `json:"most_gatherers,omitempty"`
	MaxGathererShare    float64  `json:"share_gatherers,omitempty"`
	MaxGatherersPerZone int      `json:"most_gatherers_zone,omitempty"`
	MaxServers          int      `json:"most_servers,omitempty"`
	MaxServersPerZone   int      `json:"most_servers_zone,omitempty"`
	MinReplicas         int      `json:"least_replicas,omitempty"` // ready replicas that each segment must retain
	SuspicionShare      float64  `json:"suspected_by,omitempty"`   // a member suspected by a larger share of the live gatherers is out. 0 = half
	LeaseDuration       Duration `json:"lease_ms,omitempty"`
	RemoveAfter         Duration `json:"forget_ms,omitempty"` // how long after the end of its lease a member without a permit is removed; 0 = never
}

// RequestCounts counts a gatherer's requests by outcome since its start.
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

// since returns the requests counted after base. If a counter is lower than in base, the counters were reset and it returns c.
func (c RequestCounts) since(base RequestCounts) RequestCounts {
	if c.Answered < base.Answered || c.Late < base.Late || c.Errored < base.Errored || c.Shed < base.Shed {
		return c
	}
	return c.minus(base)
}

// successRatio returns the fraction of requests that were answered in time, from 0 to 1; 1 if there were no requests.
func (c RequestCounts) successRatio() float64 {
	if c.total() == 0 {
		return 1
	}
	return float64(c.Answered) / float64(c.total())
}

// Member is the recorded state of a gatherer or a server.
type Member struct {
	Name        MemberName    `json:"name"`
	Kind        Kind          `json:"kind"`
	Zone        Zone          `json:"zone"`
	Version     Version       `json:"version"`
	Incarnation Incarnation   `json:"incarnation"`
	Status      Status        `json:"status"`
	Segments    []Segment     `json:"segments,omitempty"` // for servers only
	LeaseEnd    Time          `json:"until"`
	StartedAt   Time          `json:"since"` // when this incarnation joined
	Counts      RequestCounts `json:"figures"`
	Suspects    []MemberName  `json:"suspects,omitempty"` // members that this gatherer considers dead or has ejected as outliers, sorted
	Permit      *Permit       `json:"permit,omitempty"`
}

// Permit allows a member to be out. Its epoch is the fencing token.
type Permit struct {
	Epoch       Epoch      `json:"epoch"`
	Holder      MemberName `json:"for"`
	Reason      string     `json:"why"`
	RequestedAt Time       `json:"asked"`
	Release     ReleaseID  `json:"release,omitempty"` // the release that requested it; "" = requested by its holder or an operator
}

// alive reports whether the member's lease is valid at the time now.
func (m *Member) alive(now Time) bool { return m.LeaseEnd > now }

// ActivePermit returns the permit that the member's current incarnation may use to go out; nil = none. A permit that
// the previous incarnation used remains until the current one is ready, so that no other member goes out in the
// meantime, but the current incarnation must not go out under it a second time.
func (m *Member) ActivePermit() *Permit {
	if m.Permit == nil || m.Permit.Release == "" && m.StartedAt > m.Permit.RequestedAt {
		return nil
	}
	return m.Permit
}

// endPermitIfReady ends the permit of a member that was restarted and is ready again. A permit of a release ends when
// the change of its target completes.
func (m *Member) endPermitIfReady() {
	if p := m.Permit; p != nil && p.Release == "" && m.Status == Ready && m.StartedAt > p.RequestedAt {
		m.Permit = nil
	}
}
