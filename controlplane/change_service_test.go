package controlplane

import (
	"net/http"
	"strings"
	"testing"

	"oxbowspan/consensus"
)

func TestChangeProblem(t *testing.T) {
	configuration := func(basedOn consensus.Version) change {
		return &configurationChange{consensus.ChangeRequest{Version: basedOn + 1, BasedOn: basedOn}}
	}
	document := &documentChange{request: consensus.DocumentChangeRequest{BasedOn: 4}, problems: []string{"no such service", "no such route"}}
	for _, test := range []struct {
		name    string
		change  change
		result  changeResult
		status  int // 0 = no problem
		message string
	}{
		{"committed", configuration(4), changeResult{outcome: consensus.OutcomeCommitted, current: 5}, 0, ""},
		{"version too low", configuration(4), changeResult{outcome: consensus.OutcomeVersionTooLow, current: 4}, http.StatusBadRequest, "not above 4"},
		{"conflict", configuration(4), changeResult{outcome: consensus.OutcomeConflict, current: 6}, http.StatusPreconditionFailed, "version 6 is in place"},
		{"incompatible", document, changeResult{outcome: consensus.OutcomeIncompatible, current: 4}, http.StatusBadRequest, "no such service; no such route"},
		{"base not in place yet", configuration(9), changeResult{outcome: consensus.OutcomeUnknown, current: 6}, http.StatusServiceUnavailable, "not in place yet"},
		{"forgotten", configuration(4), changeResult{outcome: consensus.OutcomeUnknown, current: 600}, http.StatusServiceUnavailable, "no longer known"},
	} {
		t.Run(test.name, func(t *testing.T) {
			problem := test.result.problem(test.change)
			if test.status == 0 {
				if problem != nil {
					t.Errorf("answered %d %s", problem.status, problem.message)
				}
				return
			}
			if problem == nil || problem.status != test.status || !strings.Contains(problem.message, test.message) {
				t.Errorf("answered %+v, want %d with %q", problem, test.status, test.message)
			}
		})
	}
}

// No version follows the highest one, so a document based on it always conflicts with the current version.
func TestDocumentBasedOnHighestVersion(t *testing.T) {
	c := &documentChange{request: consensus.DocumentChangeRequest{Name: "pins", BasedOn: ^consensus.Version(0), Digest: "d", Body: []byte("{}")}}
	v := &consensus.Value{Slot: 1}
	if next, _, outcome := c.evaluate(v); next != v || outcome != consensus.OutcomeConflict {
		t.Errorf("outcome %v, proposed %v", outcome, next)
	}
}
