package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// DocumentName is the name of the document beside the configuration.
const DocumentName = "rollouts"

// State is the state of a rollout, as operators read it.
type State string

// States. The last two are final.
const (
	Running   State = "running"
	Completed State = "completed" // all requests go to the target version; servers of the one before may stop at once
	Reverted  State = "reverted"  // no request goes to the target version
)

// Rollout is one service's newest rollout.
type Rollout struct {
	Number        uint64  `json:"number"` // of the document version that began it
	Service       string  `json:"service"`
	TargetVersion string  `json:"target_version"`
	StableVersion string  `json:"stable_version,omitempty"` // completed before it; "" = all versions without a rollout
	DurationS     float64 `json:"duration_s"`               // within which it is to be completed or reverted
	State         State   `json:"state"`
	Step          int     `json:"step"`
	StepShare     float64 `json:"step_share"`      // of the service's requests that may reach the target version in this step
	ElapsedMS     uint64  `json:"elapsed_ms"`      // from its beginning until the document was proposed
	StepElapsedMS uint64  `json:"step_elapsed_ms"` // from the beginning of the step until then
	Reason        string  `json:"reason,omitempty"`
}

// Document holds the newest rollout of each service.
type Document struct {
	Rollouts []Rollout `json:"rollouts"`
}

// maxRollouts bounds the document: one rollout a service.
const maxRollouts = 512

// Parse reads a document; an empty one where there is no text.
func Parse(text []byte) (*Document, error) {
	d := &Document{}
	if len(text) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("the rollouts can't be read: %w", err)
	}
	return d, nil
}

// Encode returns the document's text.
func (d *Document) Encode() []byte {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // a document holds nothing that has no JSON form
	}
	return text
}

// Find returns a service's rollout, nil = none was ever begun.
func (d *Document) Find(service string) *Rollout {
	i := slices.IndexFunc(d.Rollouts, func(r Rollout) bool { return r.Service == service })
	if i < 0 {
		return nil
	}
	return &d.Rollouts[i]
}

// AnyRunning reports whether a rollout is running.
func (d *Document) AnyRunning() bool {
	return slices.ContainsFunc(d.Rollouts, func(r Rollout) bool { return r.State == Running })
}

// advance counts the time that has passed since the document was proposed.
func (d *Document) advance(age time.Duration) {
	for i := range d.Rollouts {
		if r := &d.Rollouts[i]; r.State == Running {
			r.ElapsedMS += uint64(age.Milliseconds())
			r.StepElapsedMS += uint64(age.Milliseconds())
		}
	}
}

// Order asks for a rollout.
type Order struct {
	Service       string  `json:"service"`
	TargetVersion string  `json:"target_version"`
	DurationS     float64 `json:"duration_s"`
}

// maxDuration bounds the duration of a rollout.
const maxDuration = 24 * time.Hour

// Validate returns what is wrong with an order, a sentence each.
func (o Order) Validate() (problems []string) {
	if o.Service == "" {
		problems = append(problems, "service is missing")
	}
	if o.TargetVersion == "" {
		problems = append(problems, "target_version is missing")
	}
	if !(o.DurationS > 0) || o.DurationS > maxDuration.Seconds() || math.IsNaN(o.DurationS) {
		problems = append(problems, fmt.Sprintf("duration_s %v is not above 0 and at most %v", o.DurationS, maxDuration.Seconds()))
	}
	return problems
}

// OrderOutcome is what becomes of an order.
type OrderOutcome uint8

// Outcomes of orders.
const (
	Begun      OrderOutcome = iota // now, or when it was sent before
	Conflict                       // another rollout of the service is running
	TooMany                        // the document is full
	Unreadable                     // the document in place can't be read
)

// Begin returns the text of the document that follows one of an age, with a rollout begun. Next is nil where nothing changes: the
// order was taken before, or is not taken. Version is that of the document that would follow.
func Begin(text []byte, age time.Duration, order Order, version uint64) (next []byte, outcome OrderOutcome) {
	d, err := Parse(text)
	if err != nil {
		return nil, Unreadable
	}
	current := d.Find(order.Service)
	begun := Rollout{Number: version, Service: order.Service, TargetVersion: order.TargetVersion, DurationS: order.DurationS, State: Running}
	switch {
	case current != nil && current.TargetVersion == order.TargetVersion && current.DurationS == order.DurationS:
		return nil, Begun // an order that is sent again can't be told from the first one
	case current != nil && current.State == Running:
		return nil, Conflict
	case current != nil && current.State == Completed && current.TargetVersion == order.TargetVersion:
		return nil, Begun // the version is in place
	case current == nil && len(d.Rollouts) >= maxRollouts:
		return nil, TooMany
	case current == nil:
		d.Rollouts = append(d.Rollouts, Rollout{Service: order.Service})
		current = d.Find(order.Service)
	case current.State == Completed:
		begun.StableVersion = current.TargetVersion
	default: // reverted: the one before it stays in place
		begun.StableVersion = current.StableVersion
	}
	d.advance(age)
	*current = begun
	return d.Encode(), Begun
}
