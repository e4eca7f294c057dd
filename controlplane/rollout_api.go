package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/config"
	"oxbowspan/consensus"
	"oxbowspan/controlapi"
	"oxbowspan/rollout"
)

// maxOrderBytes is the maximum length of the body of an order.
const maxOrderBytes = 16 << 10

// rolloutAPI is the HTTP API to begin, revert and read rollouts.
type rolloutAPI struct {
	loop     *eventLoop
	rollouts *rolloutManager
	values   *valueReader
	proposer *proposer
	log      zerolog.Logger
}

// begin handles an order to begin a rollout. An order that was committed before is acknowledged again.
func (a *rolloutAPI) begin(w http.ResponseWriter, r *http.Request) {
	order, problem := readOrder(w, r)
	if problem != nil {
		writeError(w, problem)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	problem, err := a.submit(ctx, order)
	log := a.log.With().Str("service", order.Service).Str("target_version", order.TargetVersion).Logger()
	switch {
	case err != nil:
		log.Warn().Err(err).Msg("rollout: order not decided")
		writeError(w, errNotDecided)
	case problem != nil:
		log.Info().Str("problem", problem.message).Msg("rollout: order rejected")
		writeError(w, problem)
	default:
		log.Info().Float64("duration_s", order.DurationS).Msg("rollout: order committed")
		writeBody(w, []byte("{}"))
	}
}

// readOrder reads and validates an order.
func readOrder(w http.ResponseWriter, r *http.Request) (order rollout.Order, problem *apiError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return order, &apiError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the order is longer than %d bytes", maxOrderBytes)}
	case err != nil:
		return order, &apiError{http.StatusRequestTimeout, "the order did not arrive completely: send it again"}
	}
	if err := json.Unmarshal(body, &order); err != nil {
		return order, &apiError{http.StatusBadRequest, "the order is not JSON of service, target_version and duration_s"}
	}
	if problems := order.Validate(); len(problems) > 0 {
		return order, &apiError{http.StatusBadRequest, strings.Join(problems, "; ")}
	}
	return order, nil
}

// submit proposes an order until its outcome is decided. problem is the reason why it is rejected. The only error is errNoQuorum; the
// order may still be decided after it.
func (a *rolloutAPI) submit(ctx context.Context, order rollout.Order) (problem *apiError, err error) {
	known, ok := query(a.loop, func() documentAge {
		return documentAge{version: a.rollouts.version, age: a.rollouts.age()}
	})
	if !ok {
		return nil, errNoQuorum
	}
	_, err = a.proposer.propose(ctx, func(v *consensus.Value) (next *consensus.Value) {
		next, problem = evaluateOrder(v, order, known)
		return next
	})
	return problem, err
}

// revert reverts a service's running rollout. A rollout that is already reverted is acknowledged again.
func (a *rolloutAPI) revert(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	var problem *apiError
	_, err := a.proposer.propose(ctx, func(v *consensus.Value) (next *consensus.Value) {
		next, problem = evaluateRevert(v, service)
		return next
	})
	switch {
	case err != nil:
		writeError(w, errNotDecided)
	case problem != nil:
		writeError(w, problem)
	default:
		a.log.Info().Str("service", service).Msg("rollout: reverted by an operator")
		writeBody(w, []byte("{}"))
	}
}

// evaluateRevert returns the value to propose when v is the newest value, and the reason if the rollout can't be reverted.
func evaluateRevert(v *consensus.Value, service string) (next *consensus.Value, problem *apiError) {
	text := v.Document(rollout.DocumentName).Body
	d, err := rollout.Parse(text)
	if err != nil {
		return v, &apiError{http.StatusInternalServerError, err.Error()}
	}
	switch r := d.Find(service); {
	case r == nil:
		return v, &apiError{http.StatusNotFound, "no rollout of this service was begun"}
	case r.State == rollout.Completed:
		return v, &apiError{http.StatusConflict, "the rollout is completed: begin one to the version before"}
	case r.State == rollout.Reverted:
		return v, nil
	default:
		reverted := rollout.Transition{State: rollout.Reverted, Step: r.Step, Reason: "by an operator"}
		body := rollout.Apply(text, 0, *r, reverted)
		return v.WithDocument(rollout.DocumentName, digest(body), body), nil
	}
}

// documentAge is the time for which a controller has known a version of the document of rollouts.
type documentAge struct {
	version consensus.Version
	age     time.Duration
}

// evaluateOrder returns the value to propose when v is the newest value, and the reason if the order is rejected.
func evaluateOrder(v *consensus.Value, order rollout.Order, known documentAge) (next *consensus.Value, problem *apiError) {
	if v.Digest == "" {
		return v, &apiError{http.StatusServiceUnavailable, "there is no configuration yet"}
	}
	if !hasService(v.Body, order.Service) {
		return v, &apiError{http.StatusUnprocessableEntity, fmt.Sprintf("the configuration has no service %q", order.Service)}
	}
	d := v.Document(rollout.DocumentName)
	age := time.Duration(0)
	if d.Version == known.version {
		age = known.age
	}
	text, outcome := rollout.Begin(d.Body, age, order, uint64(d.Version)+1)
	switch {
	case outcome == rollout.Conflict:
		return v, &apiError{http.StatusConflict, fmt.Sprintf("another rollout of %q is running", order.Service)}
	case outcome != rollout.Begun:
		return v, &apiError{http.StatusServiceUnavailable, "no further rollout can be taken"}
	case text == nil:
		return v, nil
	}
	return v.WithDocument(rollout.DocumentName, digest(text), text), nil
}

// hasService reports whether a configuration contains a service.
func hasService(body []byte, name string) bool {
	c, err := config.Parse(body)
	if err != nil {
		return false
	}
	for _, s := range c.Services {
		if s.Name == name {
			return true
		}
	}
	return false
}

// read answers with the state of a service's rollout at the time of the request.
func (a *rolloutAPI) read(w http.ResponseWriter, r *http.Request) {
	d, problem := a.document(r)
	if problem != nil {
		writeError(w, problem)
		return
	}
	found := d.Find(r.PathValue("service"))
	if found == nil {
		writeError(w, &apiError{http.StatusNotFound, "no rollout of this service was begun"})
		return
	}
	writeJSON(w, describeRollout(found))
}

// list answers with the state of all rollouts at the time of the request.
func (a *rolloutAPI) list(w http.ResponseWriter, r *http.Request) {
	d, problem := a.document(r)
	if problem != nil {
		writeError(w, problem)
		return
	}
	out := []controlapi.Rollout{}
	for i := range d.Rollouts {
		out = append(out, describeRollout(&d.Rollouts[i]))
	}
	writeJSON(w, out)
}

// document reads the newest document of rollouts.
func (a *rolloutAPI) document(r *http.Request) (*rollout.Document, *apiError) {
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	v, err := a.values.read(ctx)
	if err != nil {
		return nil, errNotVerified
	}
	d, err := rollout.Parse(v.Document(rollout.DocumentName).Body)
	if err != nil {
		return nil, &apiError{http.StatusInternalServerError, err.Error()}
	}
	return d, nil
}

func describeRollout(r *rollout.Rollout) controlapi.Rollout {
	return controlapi.Rollout{
		Service:       r.Service,
		State:         string(r.State),
		TargetVersion: r.TargetVersion,
		DurationS:     r.DurationS,
		Step:          r.Step,
		Share:         r.Share(true),
		Reason:        r.Reason,
	}
}
