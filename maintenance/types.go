package maintenance

type (
	// Time is a time in milliseconds by the stewards' clock.
	Time int64
	// Duration is a length of time in milliseconds.
	Duration int64
)

type (
	// MemberName is a member's name, the same after a restart.
	MemberName string
	// Zone is where a member stands.
	Zone string
	// Version is the program's or the server's version as it tells it.
	Version string
	// Incarnation tells one run of a member from another; a later run has a larger one.
	Incarnation uint64
	// Epoch is the number of the log's command that made something; a later one is larger.
	Epoch uint64
	// Segment is a shard of the data, as the list numbers it.
	Segment int
	// ReleaseID names a release.
	ReleaseID string
)

// Kind says what a member is.
type Kind string

// The kinds of members.
const (
	Gatherer Kind = "gatherer"
	Server   Kind = "server"
)

// Status is what a member says of itself, or the list says of a server.
type Status string

// The states of a member.
const (
	Ready     Status = "ready"
	WarmingUp Status = "cold"     // warming up after its start: it serves at a reduced rate
	Draining  Status = "draining" // it accepts nothing new
)

// Limits say who may be out together. A share is from 0 to 1 of the members of a kind; a number of 0 is no limit, and so is a
// share of 0; where both are given the lower one holds.
type Limits struct {
	MaxGatherers        int      `json:"most_gatherers,omitempty"`
	MaxGathererShare    float64  `json:"share_gatherers,omitempty"`
	MaxGatherersPerZone int      `json:"most_gatherers_zone,omitempty"`
	MaxServers          int      `json:"most_servers,omitempty"`
	MaxServersPerZone   int      `json:"most_servers_zone,omitempty"`
	MinReplicas         int      `json:"least_replicas,omitempty"` // ready ones of each segment
	SuspicionShare      float64  `json:"suspected_by,omitempty"`   // share of the live gatherers whose word takes a member for out; 0 = half
	LeaseDuration       Duration `json:"lease_ms,omitempty"`
	ForgetAfter         Duration `json:"forget_ms,omitempty"` // a member gone for so long, with no permit, leaves the table; 0 = never
}

// RequestCounts are what a gatherer counted since its start, for the gates of a release. Errored and shed searches are not answered.
type RequestCounts struct {
	Answered uint64 `json:"answered"`
	Late     uint64 `json:"late"`
	Errored  uint64 `json:"errored"`
	Shed     uint64 `json:"shed"`
}

func (f RequestCounts) minus(g RequestCounts) RequestCounts {
	return RequestCounts{f.Answered - g.Answered, f.Late - g.Late, f.Errored - g.Errored, f.Shed - g.Shed}
}

func (f RequestCounts) plus(g RequestCounts) RequestCounts {
	return RequestCounts{f.Answered + g.Answered, f.Late + g.Late, f.Errored + g.Errored, f.Shed + g.Shed}
}

func (f RequestCounts) total() uint64 { return f.Answered + f.Late + f.Errored + f.Shed }

// since is what was counted after g, or all of f where the counts began anew.
func (f RequestCounts) since(g RequestCounts) RequestCounts {
	if f.Answered < g.Answered || f.Late < g.Late || f.Errored < g.Errored || f.Shed < g.Shed {
		return f
	}
	return f.minus(g)
}

// successRatio is the share answered in time, from 0 to 1; 1 where nothing was counted.
func (f RequestCounts) successRatio() float64 {
	if f.total() == 0 {
		return 1
	}
	return float64(f.Answered) / float64(f.total())
}

// Member is one gatherer or server.
type Member struct {
	Name        MemberName    `json:"name"`
	Kind        Kind          `json:"kind"`
	Zone        Zone          `json:"zone"`
	Version     Version       `json:"version"`
	Incarnation Incarnation   `json:"incarnation"`
	Status      Status        `json:"status"`
	Segments    []Segment     `json:"segments,omitempty"` // a server's
	LeaseEnd    Time          `json:"until"`              // end of its lease
	StartedAt   Time          `json:"since"`              // when this incarnation came
	Counts      RequestCounts `json:"figures"`
	Suspects    []MemberName  `json:"suspects,omitempty"` // the members that it holds for dead or withdrew for their health, in order
	Permit      *Permit       `json:"permit,omitempty"`
}

// Permit lets a member be out.
type Permit struct {
	Epoch       Epoch      `json:"epoch"`
	Holder      MemberName `json:"for"`
	Reason      string     `json:"why"`
	RequestedAt Time       `json:"asked"`
	Release     ReleaseID  `json:"release,omitempty"` // "" = asked for by its holder or an operator
}

// Phase is how far a release is.
type Phase string

// The phases of a release.
const (
	Running    Phase = "going"
	Halted     Phase = "halted"
	Completed  Phase = "done"
	RolledBack Phase = "went-back" // the way back has come to its end
)

// Plan is what a release is asked to do.
type Plan struct {
	ID            ReleaseID `json:"id"`
	Kind          Kind      `json:"kind"`
	From          Version   `json:"from"`
	To            Version   `json:"to"`
	Steps         []float64 `json:"steps"` // rising shares of the targets that are changed by the end of each step; the last is 1
	ByZone        bool      `json:"by_zone"`
	Dwell         Duration  `json:"dwell_ms"`  // how long a step is watched before the next
	ChangeTimeout Duration  `json:"within_ms"` // how long one target's change may take
	MaxLoss       float64   `json:"most_loss"` // the changed ones' share answered in time may be so much lower than the others'
	MinRequests   uint64    `json:"least"`     // searches of the changed ones that a gate needs to judge by; until then it waits
}

// Target is one member in a release.
type Target struct {
	Name      MemberName `json:"name"`
	State     string     `json:"state"` // todo, changing, changed
	Epoch     Epoch      `json:"epoch,omitempty"`
	OrderedAt Time       `json:"since,omitempty"` // when its change was ordered: a run that came later is its end
	Deadline  Time       `json:"due,omitempty"`   // the release halts if it is not back by then
}

const (
	TargetPending  = "todo"
	TargetChanging = "changing"
	TargetChanged  = "changed"
)

// Release is a plan under way.
type Release struct {
	Plan        Plan     `json:"plan"`
	Phase       Phase    `json:"phase"`
	RollingBack bool     `json:"back,omitempty"` // it goes the other way: To is where its targets came from
	Step        int      `json:"step"`
	DwellSince  Time     `json:"dwells,omitempty"` // since when the step is watched; 0 = its targets are still changing
	HaltReason  string   `json:"why,omitempty"`    // why it halted
	Targets     []Target `json:"targets"`
	StartedAt   Time     `json:"started"`
	EndedAt     Time     `json:"ended,omitempty"`
}

// Order is a change that whoever carries out a release has to see to: the hook is told the name and the version. The same order is
// told until the member is seen changed; its epoch tells one order from another.
type Order struct {
	Release ReleaseID
	Name    MemberName
	Version Version
	Epoch   Epoch
}
