package gatherer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"

	"oxbowspan/balancer"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/merge"
)

// Errors that New and Reload return for an invalid Config.
var (
	ErrNoAddress        = errors.New("an address is missing: listen and discovery must both be set")
	ErrNoSettings       = errors.New("settings are missing")
	ErrNoConnectTimeout = errors.New("setting limits.dialTimeout is missing")
)

// Config is the configuration of a gatherer, in the format of its configuration file.
type Config struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`    // address to listen on for clients
	Discovery    string          `json:"discovery"` // host:port of the discovery service, which sends the server list
	Seed         string          `json:"seed"`      // seed of random choices, in hex; "" = 0
	Limits       Limits          `json:"limits"`
	KnownServers json.RawMessage `json:"known"`    // initial server list, which may be outdated; empty = none
	Settings     json.RawMessage `json:"settings"` // settings of the deployment, see package balancerconfig
	Operator     *Operator       `json:"-"`        // content of the operator's file; nil = none
}

// Operator is the parsed content of an operator's file.
type Operator = operatorconfig.File

// LoadOperator reads and validates an operator's file. The error lists all problems, one per line.
func LoadOperator(path string) (*Operator, error) { return operatorconfig.Load(path) }

// LoadConfig reads a configuration file. It does not validate the content, which New does.
func LoadConfig(path string) (Config, error) {
	var c Config
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// validate checks the configuration and returns the deployment that its settings describe.
func (c Config) validate() (d balancerconfig.Deployment, err error) {
	if c.Listen == "" || c.Discovery == "" {
		return d, ErrNoAddress
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return d, fmt.Errorf("discovery: %w", err)
	}
	seed := uint64(0)
	if c.Seed != "" {
		if seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return d, fmt.Errorf("seed %.40q is not a hex number", c.Seed)
		}
	}
	if len(c.Settings) == 0 {
		return d, ErrNoSettings
	}
	if d, err = balancerconfig.FromJSON(c.Settings, seed); err != nil {
		return d, err
	}
	for i := range d.Balancer.QueryTypes {
		q := &d.Balancer.QueryTypes[i]
		if q.SecondPhaseCalls > 0 {
			return d, fmt.Errorf("query type %q has a second phase, which the frame protocol does not support", d.QueryTypes[i])
		}
		// Frames have no field for an idempotency token, so servers cannot deduplicate retries.
		if q.Idempotency == balancer.Deduplicated {
			q.Idempotency = balancer.NonIdempotent
		}
	}
	if d.ConnectTimeout <= 0 {
		return d, ErrNoConnectTimeout
	}
	return d, c.validateOperator(d)
}

// validateOperator checks that the content of the operator's file is consistent with the deployment.
func (c Config) validateOperator(d balancerconfig.Deployment) error {
	if levels := c.levelsConfig(); levels != nil {
		if _, err := levels.ConfigFor(d.QueryTypes); err != nil {
			return err
		}
	}
	if c.fleetConfig() != nil {
		if err := c.validateFleet(d); err != nil {
			return err
		}
	}
	return c.validateMerging(d)
}

// validateFleet checks the section on the fleet. The voters of the fleet are called stewards in the operator's file and in
// messages.
func (c Config) validateFleet(d balancerconfig.Deployment) error {
	fleet, isVoter := c.Operator.Fleet, false
	for _, voter := range fleet.Voters {
		isVoter = isVoter || voter.Name == c.Name
	}
	switch {
	case !d.AllowPeers:
		return c.Operator.FleetError("gatherers may not talk to each other: limits.peers of the settings is not true")
	case isVoter && (fleet.Listen == "" || fleet.LogDirectory == ""):
		return c.Operator.FleetError(
			"this gatherer is a steward, and needs listen, its address for the fleet, and path, where its log is kept")
	}
	return nil
}

// validateMerging checks that the query types that the operator's file merges exist and permit merging.
func (c Config) validateMerging(d balancerconfig.Deployment) error {
	merging := c.mergingConfig()
	if merging == nil {
		return nil
	}
	var errs []error
	for name, allowed := range merging.Types {
		switch index := slices.Index(d.QueryTypes, name); {
		case index < 0:
			errs = append(errs, c.Operator.QueryTypeError(name, "is no query type of the settings"))
		case d.Balancer.QueryTypes[index].Idempotency != balancer.Idempotent:
			errs = append(errs, c.Operator.QueryTypeError(name,
				"is not idempotent: a merge that exceeds its limits is shed, which tells the client that a retry is safe"))
		case slices.Contains(allowed.Kinds, merge.Paged) && d.Balancer.QueryTypes[index].CompleteCoverage < 1:
			errs = append(errs, c.Operator.QueryTypeError(name, "counts as whole short of a part (domain.wholeAt is below 1): "+
				"pages would never wait for the last segment, and a paged search would not end"))
		}
	}
	return operatorconfig.JoinErrors(errs...)
}

// fleetConfig returns the section on the fleet of the operator's file, or nil if there is none.
func (c Config) fleetConfig() *operatorconfig.Fleet {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Fleet
}

// mergingConfig returns the section on merging of the operator's file, or nil if no answers are merged.
func (c Config) mergingConfig() *operatorconfig.Merging {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Merging
}

// connectionsConfig returns the section on client connections of the operator's file, or its zero value if there is none.
func (c Config) connectionsConfig() operatorconfig.Connections {
	if c.Operator == nil || c.Operator.Connections == nil {
		return operatorconfig.Connections{}
	}
	return *c.Operator.Connections
}

// storeConfig returns the section on the store of the operator's file, or nil if there is no store.
func (c Config) storeConfig() *operatorconfig.Store {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Store
}

// levelsConfig returns the section on degradation levels of the operator's file, or nil if service is never degraded.
func (c Config) levelsConfig() *operatorconfig.Levels {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Levels
}

// memoryConfig returns the section on memory of the operator's file, or nil if total memory is not limited.
func (c Config) memoryConfig() *operatorconfig.Memory {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Memory
}

// restartNeeded returns the names of the sections that differ from the old configuration and are applied only by a
// restart. Parameter degradationEnabled reports whether levels were configured when the gatherer was created.
func (c Config) restartNeeded(old Config, degradationEnabled bool) (sections []string) {
	oldStore, newStore := old.storeConfig(), c.storeConfig()
	sameStore := oldStore == newStore || oldStore != nil && newStore != nil && *oldStore == *newStore
	oldLevels, newLevels := old.levelsConfig(), c.levelsConfig()
	sameLevels := newLevels != nil == degradationEnabled &&
		(newLevels == nil || oldLevels == nil || newLevels.Socket == oldLevels.Socket)
	for _, section := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == old.Name},
		{"listen", c.Listen == old.Listen},
		{"limits", c.Limits == old.Limits},
		{"connections", c.connectionsConfig() == old.connectionsConfig()},
		{"fleet", reflect.DeepEqual(c.fleetConfig(), old.fleetConfig())},
		{"store", sameStore},
		{"levels", sameLevels},
		{"settings", sameJSON(c.Settings, old.Settings)},
	} {
		if !section.same {
			sections = append(sections, section.name)
		}
	}
	return sections
}

// sameJSON reports whether two texts are both valid JSON and encode the same value.
func sameJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
