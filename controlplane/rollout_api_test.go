package controlplane

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/rollout"
)

// valueWithService returns a value whose configuration contains a service.
func valueWithService(name string) *consensus.Value {
	body := []byte(fmt.Sprintf(`{"version":1,"services":[{"name":%q}]}`, name))
	return (&consensus.Value{}).WithConfiguration(1, 0, digest(body), body)
}

// An order that is sent repeatedly begins one rollout. Another order for the service is rejected until that rollout has ended.
func TestEvaluateOrder(t *testing.T) {
	order := rollout.Order{Service: "s", TargetVersion: "v2", DurationS: 12}
	other := rollout.Order{Service: "s", TargetVersion: "v3", DurationS: 12}
	status := func(problem *apiError) int {
		if problem == nil {
			return http.StatusOK
		}
		return problem.status
	}
	if _, problem := evaluateOrder(&consensus.Value{}, order, documentAge{}); status(problem) != http.StatusServiceUnavailable {
		t.Errorf("an order without a configuration: %v", problem)
	}
	v := valueWithService("s")
	if _, problem := evaluateOrder(v, rollout.Order{Service: "t", TargetVersion: "v2", DurationS: 1}, documentAge{}); status(problem) != http.StatusUnprocessableEntity {
		t.Errorf("an order for an unknown service: %v", problem)
	}
	begun, problem := evaluateOrder(v, order, documentAge{})
	if problem != nil || begun == v {
		t.Fatalf("the order is rejected: %v", problem)
	}
	if again, problem := evaluateOrder(begun, order, documentAge{}); problem != nil || again != begun {
		t.Errorf("the repeated order changes the value, or is rejected: %v", problem)
	}
	if _, problem := evaluateOrder(begun, other, documentAge{}); status(problem) != http.StatusConflict {
		t.Errorf("an order for another version during the rollout: %v", problem)
	}
	reverted, problem := evaluateRevert(begun, "s")
	if problem != nil || reverted == begun {
		t.Fatalf("the rollout is not reverted: %v", problem)
	}
	if again, problem := evaluateRevert(reverted, "s"); problem != nil || again != reverted {
		t.Errorf("the repeated revert changes the value, or is rejected: %v", problem)
	}
	if again, problem := evaluateOrder(reverted, order, documentAge{}); problem != nil || again != reverted {
		t.Errorf("a late copy of the order begins a new rollout, or is rejected: %v", problem)
	}
	if next, problem := evaluateOrder(reverted, other, documentAge{}); problem != nil || next == reverted {
		t.Errorf("the order after the revert is rejected: %v", problem)
	}
	if _, problem := evaluateRevert(v, "s"); status(problem) != http.StatusNotFound {
		t.Errorf("a revert without a rollout: %v", problem)
	}
}

// A new version of the document keeps the elapsed time of a running rollout.
func TestOrderKeepsElapsedTime(t *testing.T) {
	v, _ := evaluateOrder(valueWithService("s"), rollout.Order{Service: "s", TargetVersion: "v2", DurationS: 12}, documentAge{})
	d, err := rollout.Parse(v.Document(rollout.DocumentName).Body)
	if err != nil {
		t.Fatal(err)
	}
	next := rollout.Apply(v.Document(rollout.DocumentName).Body, 3*time.Second, *d.Find("s"), rollout.Transition{State: rollout.Running, Step: 1})
	d, err = rollout.Parse(next)
	if err != nil {
		t.Fatal(err)
	}
	if r := d.Find("s"); r.ElapsedMS != 3000 || r.StepElapsedMS != 0 || r.Step != 1 {
		t.Errorf("rollout after a transition at 3 s: %+v", r)
	}
}
