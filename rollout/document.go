package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// DocumentName is the name under which the document is committed beside the configuration.
const DocumentName = "rollouts"

// State is the state of a rollout. Operators read it.
type State string

// States of a rollout. Completed and Reverted are final.
const (
	Running   State = "running"
	Completed State = "completed" // all requests go to the target version; servers of the previous version may stop immediately
	Reverted  State = "reverted"  // no request goes to the target version
)

// Rollout is the most recent rollout of one service.
type Rollout struct {
	Number        uint64  `json:"number"` // version of the document in which the rollout began
	Service       string  `json:"service"`
	TargetVersion string  `json:"target_version"`
	StableVersion string  `json:"stable_version,omitempty"` // target version of the last completed rollout; "" = all versions, none was completed
	DurationS     float64 `json:"duration_s"`               // time within which the rollout must be completed or reverted
	State         State   `json:"state"`
	Step          int     `json:"step"`
	StepShare     float64 `json:"step_share"`      // share of the service's requests that may reach the target version in this step
	ElapsedMS     uint64  `json:"elapsed_ms"`      // time from the beginning of the rollout until the document was proposed
	StepElapsedMS uint64  `json:"step_elapsed_ms"` // time from the beginning of the step until the document was proposed
	Reason        string  `json:"reason,omitempty"`
}

// Document holds the most recent rollout of each service.
type Document struct {
	Rollouts []Rollout `json:"rollouts"`
}

// maxRollouts is the maximum number of rollouts in a document, which holds one for each service.
const maxRollouts = 512

// Parse parses a document. An empty text yields an empty document.
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

// Encode returns the document in its JSON form.
func (d *Document) Encode() []byte {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // can't happen: a document holds no value without a JSON form
	}
	return text
}

// Find returns the rollout of a service, or nil if none was ever begun.
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

// advance adds the time that has passed since the document was proposed to the elapsed times of running rollouts.
func (d *Document) advance(age time.Duration) {
	for i := range d.Rollouts {
		if r := &d.Rollouts[i]; r.State == Running {
			r.ElapsedMS += uint64(age.Milliseconds())
			r.StepElapsedMS += uint64(age.Milliseconds())
		}
	}
}

// Order is an operator's request to begin a rollout.
type Order struct {
	Service       string  `json:"service"`
	TargetVersion string  `json:"target_version"`
	DurationS     float64 `json:"duration_s"`
}

// maxDuration is the maximum duration of a rollout.
const maxDuration = 24 * time.Hour

// Validate returns the problems of an order, one sentence for each. An order without problems is valid.
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

// OrderOutcome is the outcome of an order.
type OrderOutcome uint8

// Outcomes of orders.
const (
	Begun              OrderOutcome = iota // the rollout begins, or began when the order was first submitted
	Conflict                               // another rollout of the service is running
	TooManyRollouts                        // the document holds maxRollouts rollouts
	UnreadableDocument                     // the current document can't be parsed
)

// Begin begins a rollout: it returns the text of the document that replaces the given one. age is the time since the given document was
// proposed, and version is the version of the document that replaces it. next is nil if the document does not change, because the
// order was accepted before or is rejected.
func Begin(text []byte, age time.Duration, order Order, version uint64) (next []byte, outcome OrderOutcome) {
	d, err := Parse(text)
	if err != nil {
		return nil, UnreadableDocument
	}
	current := d.Find(order.Service)
	begun := Rollout{Number: version, Service: order.Service, TargetVersion: order.TargetVersion, DurationS: order.DurationS, State: Running}
	switch {
	case current != nil && current.TargetVersion == order.TargetVersion && current.DurationS == order.DurationS:
		return nil, Begun // a repeated order can't be distinguished from the first one
	case current != nil && current.State == Running:
		return nil, Conflict
	case current != nil && current.State == Completed && current.TargetVersion == order.TargetVersion:
		return nil, Begun // the version already gets all requests
	case current == nil && len(d.Rollouts) >= maxRollouts:
		return nil, TooManyRollouts
	case current == nil:
		d.Rollouts = append(d.Rollouts, Rollout{Service: order.Service})
		current = d.Find(order.Service)
	case current.State == Completed:
		begun.StableVersion = current.TargetVersion
	default: // after a reverted rollout, the stable version is still that from before it
		begun.StableVersion = current.StableVersion
	}
	d.advance(age)
	*current = begun
	return d.Encode(), Begun
}
