package controlplane

import (
	"crypto/sha256"
	"errors"
	"strings"

	"oxbowspan/config"
	"oxbowspan/consensus"
	"oxbowspan/rollout"
)

// Largest accepted bodies.
const (
	maxConfigurationBytes = 8 << 20
	maxDocumentBytes      = 256 << 10 // every Accept may carry it
)

// configurationChange is a new version of the configuration.
type configurationChange struct{ request consensus.ChangeRequest }

func (c *configurationChange) version() consensus.Version { return c.request.Version }
func (c *configurationChange) basedOn() consensus.Version { return c.request.BasedOn }
func (c *configurationChange) incompatibilities() string  { return "" }

func (c *configurationChange) isIn(h *consensus.History) bool { return h.ContainsChange(c.request) }

func (c *configurationChange) evaluate(v *consensus.Value) (next *consensus.Value, current consensus.Version, outcome consensus.Outcome) {
	next, outcome = c.request.Evaluate(v)
	return next, v.Version, outcome
}

// configurationResource is the configuration.
func configurationResource() resource {
	return resource{
		name:     "configuration",
		maxBytes: maxConfigurationBytes,
		notFound: "there is no configuration yet",
		parse:    parseConfiguration,
		from: func(v *consensus.Value) ([]byte, consensus.Version, bool) {
			return v.Body, v.Version, v.Digest != ""
		},
	}
}

func parseConfiguration(body []byte, basedOn consensus.Version) (change, error) {
	c, err := config.Parse(body)
	if err != nil {
		return nil, err
	}
	if err := joinProblems(c.Validate()); err != nil {
		return nil, err
	}
	request := consensus.ChangeRequest{Version: consensus.Version(c.Version), BasedOn: basedOn, Digest: digest(body), Body: body}
	return &configurationChange{request}, nil
}

// documentChange is a new version of a document beside the configuration. Its version is the one after its base.
type documentChange struct {
	request  consensus.DocumentChangeRequest
	problems []string // of the last evaluation beside a configuration
}

func (c *documentChange) version() consensus.Version { return c.request.BasedOn + 1 }
func (c *documentChange) basedOn() consensus.Version { return c.request.BasedOn }
func (c *documentChange) incompatibilities() string  { return strings.Join(c.problems, "; ") }

func (c *documentChange) isIn(h *consensus.History) bool {
	return h.ContainsDocumentChange(c.request)
}

func (c *documentChange) evaluate(v *consensus.Value) (next *consensus.Value, current consensus.Version, outcome consensus.Outcome) {
	next, current, outcome = c.request.Evaluate(v)
	if outcome == consensus.OutcomeVersionTooLow { // the operator chose the base only: none can follow it
		outcome = consensus.OutcomeConflict
	}
	return next, current, outcome
}

// documentResource is a document. Validate returns what is wrong with it by itself, conflicts what is wrong with it beside the
// configuration of a value.
func documentResource(name string, validate func(body []byte) []string, conflicts func(body []byte, v *consensus.Value) []string) resource {
	return resource{
		name:         name,
		maxBytes:     maxDocumentBytes,
		notFound:     "there is none yet",
		sendsVersion: true,
		parse: func(body []byte, basedOn consensus.Version) (change, error) {
			if err := joinProblems(validate(body)); err != nil {
				return nil, err
			}
			c := &documentChange{request: consensus.DocumentChangeRequest{Name: name, BasedOn: basedOn, Digest: digest(body), Body: body}}
			c.request.Compatible = func(v *consensus.Value) bool {
				c.problems = conflicts(body, v)
				return len(c.problems) == 0
			}
			return c, nil
		},
		from: func(v *consensus.Value) ([]byte, consensus.Version, bool) {
			d := v.Document(name)
			return d.Body, d.Version, d.Version != 0
		},
	}
}

func tenantsResource() resource {
	return documentResource(config.TenantsDocumentName, validateTenants, tenantConflicts)
}

func pinsResource() resource {
	return documentResource(config.PinsDocumentName, validatePins, noConflicts)
}

// rolloutsResource is the document of rollouts as a whole. It is replaced only to restore an exported state.
func rolloutsResource() resource {
	return documentResource(rollout.DocumentName, validateRollouts, noConflicts)
}

func validateRollouts(body []byte) []string {
	if _, err := rollout.Parse(body); err != nil {
		return []string{err.Error()}
	}
	return nil
}

func validateTenants(body []byte) []string {
	t, err := config.ParseTenants(body)
	if err != nil {
		return []string{err.Error()}
	}
	return t.Validate()
}

// tenantConflicts compares tenants with the configuration of the value that a proposal found, not of one that this controller
// remembers.
func tenantConflicts(body []byte, v *consensus.Value) []string {
	if v.Digest == "" {
		return nil
	}
	t, err := config.ParseTenants(body)
	if err != nil {
		return []string{err.Error()}
	}
	c, err := config.Parse(v.Body)
	if err != nil {
		return nil
	}
	return t.Conflicts(c)
}

func validatePins(body []byte) []string {
	p, err := config.ParsePins(body)
	if err != nil {
		return []string{err.Error()}
	}
	return p.Validate()
}

// noConflicts is for documents that are independent of the configuration.
func noConflicts([]byte, *consensus.Value) []string { return nil }

// joinProblems makes one error of several; nil = there are none.
func joinProblems(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(problems, "; "))
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return string(sum[:])
}
