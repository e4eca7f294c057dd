package controlplane

import (
	"crypto/sha256"
	"errors"
	"strings"

	"oxbowspan/config"
	"oxbowspan/consensus"
	"oxbowspan/rollout"
	"oxbowspan/rpc"
)

// Maximum lengths of bodies.
const (
	maxConfigurationBytes = 8 << 20
	maxDocumentBytes      = 256 << 10 // limited because every Accept may contain the document

	maxDocuments       = 8       // documents beside the configuration
	valueOverheadBytes = 1 << 20 // everything else in a frame with a value
)

// A frame can contain a value with all of its bodies: otherwise a controller without a disk, or a gateway that starts, never gets it. The
// conversion of a negative constant does not compile.
const _ = uint(rpc.MaxFrameBytes - maxConfigurationBytes - maxDocuments*maxDocumentBytes - valueOverheadBytes)

// configurationChange is a new version of the configuration.
type configurationChange struct{ request consensus.ChangeRequest }

func (c *configurationChange) version() consensus.Version { return c.request.Version }
func (c *configurationChange) basedOn() consensus.Version { return c.request.BasedOn }
func (c *configurationChange) incompatibilities() string  { return "" }

func (c *configurationChange) isRecordedIn(h *consensus.History) bool {
	return h.ContainsChange(c.request)
}

func (c *configurationChange) evaluate(v *consensus.Value) (next *consensus.Value, current consensus.Version, outcome consensus.Outcome) {
	next, outcome = c.request.Evaluate(v)
	return next, v.Version, outcome
}

// configurationResource returns the resource of the configuration.
func configurationResource() resource {
	return resource{
		name:     "configuration",
		maxBytes: maxConfigurationBytes,
		notFound: "there is no configuration yet",
		parse:    parseConfiguration,
		extract: func(v *consensus.Value) ([]byte, consensus.Version, bool) {
			return v.Body, v.Version, v.Digest != ""
		},
	}
}

// parseConfiguration parses and validates a configuration.
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

// documentChange is a new version of a document other than the configuration. Its version is the one that follows its base.
type documentChange struct {
	request  consensus.DocumentChangeRequest
	problems []string // conflicts with the configuration, found by the last evaluation
}

func (c *documentChange) version() consensus.Version { return c.request.BasedOn + 1 }
func (c *documentChange) basedOn() consensus.Version { return c.request.BasedOn }
func (c *documentChange) incompatibilities() string  { return strings.Join(c.problems, "; ") }

func (c *documentChange) isRecordedIn(h *consensus.History) bool {
	return h.ContainsDocumentChange(c.request)
}

func (c *documentChange) evaluate(v *consensus.Value) (next *consensus.Value, current consensus.Version, outcome consensus.Outcome) {
	next, current, outcome = c.request.Evaluate(v)
	if outcome == consensus.OutcomeVersionTooLow { // the operator chose only the base, and no version can follow it
		outcome = consensus.OutcomeConflict
	}
	return next, current, outcome
}

// documentResource returns the resource of a document. validate returns the problems of the document by itself, conflicts its
// conflicts with the configuration of a value.
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
		extract: func(v *consensus.Value) ([]byte, consensus.Version, bool) {
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

// rolloutsResource returns the resource of the document that holds all rollouts. Operators replace it only to restore an exported
// state.
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

// tenantConflicts returns the conflicts of tenants with the configuration of v. v is the value on which the proposal is based, not the
// one that this controller has learned, which may be older.
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

// noConflicts is used for documents that don't depend on the configuration.
func noConflicts([]byte, *consensus.Value) []string { return nil }

// joinProblems joins problems into one error, or returns nil if there are none.
func joinProblems(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(problems, "; "))
}

// digest returns the SHA-256 digest of a body as a string of 32 bytes.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return string(sum[:])
}
