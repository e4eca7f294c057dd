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

// Errors of a Config.
var (
	ErrNoAddress        = errors.New("an address is missing: listen and discovery are both needed")
	ErrNoSettings       = errors.New("settings are missing")
	ErrNoConnectTimeout = errors.New("setting limits.dialTimeout is missing")
)

// Config is the configuration of a gatherer, as its configuration file has it.
type Config struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`    // address for clients
	Discovery    string          `json:"discovery"` // address of the list service
	Seed         string          `json:"seed"`      // of random choices, in hex; "" = 0
	Limits       Limits          `json:"limits"`
	KnownServers json.RawMessage `json:"known"`    // a server list to start with; it may be old
	Settings     json.RawMessage `json:"settings"` // of the deployment, see package balancerconfig
	Operator     *Operator       `json:"-"`        // the operator's file; nil = none
}

// Operator is the content of an operator's file.
type Operator = operatorconfig.File

// LoadOperator reads and validates an operator's file. Its error lists all problems, one a line.
func LoadOperator(path string) (*Operator, error) { return operatorconfig.Load(path) }

// LoadConfig reads a configuration file. New validates it.
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

// validate checks a configuration and reads its settings.
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
			return d, fmt.Errorf("query type %q has a second phase, which the protocol on sockets does not have", d.QueryTypes[i])
		}
		if q.Idempotency == balancer.Deduplicated { // frames have no field for the token, so servers cannot deduplicate
			q.Idempotency = balancer.NonIdempotent
		}
	}
	if d.ConnectTimeout <= 0 {
		return d, ErrNoConnectTimeout
	}
	return d, c.validateOperator(d)
}

// validateOperator checks the operator's file against the configuration.
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

func (c Config) validateFleet(d balancerconfig.Deployment) error {
	fleet, isSteward := c.Operator.Fleet, false
	for _, steward := range fleet.Voters {
		isSteward = isSteward || steward.Name == c.Name
	}
	switch {
	case !d.AllowPeers:
		return c.Operator.FleetError("gatherers may not talk to each other here (limits.peers of the settings is not true)")
	case isSteward && (fleet.Listen == "" || fleet.Path == ""):
		return c.Operator.FleetError(
			"this gatherer is a steward, and needs listen, its address for the fleet, and path, where its log is kept")
	}
	return nil
}

func (c Config) validateMerging(d balancerconfig.Deployment) error {
	merging := c.mergingConfig()
	if merging == nil {
		return nil
	}
	var errs []error
	for name, allowed := range merging.Types {
		switch at := slices.Index(d.QueryTypes, name); {
		case at < 0:
			errs = append(errs, c.Operator.QueryTypeError(name, "is no query type of the settings"))
		case d.Balancer.QueryTypes[at].Idempotency != balancer.Idempotent:
			errs = append(errs, c.Operator.QueryTypeError(name,
				"is not idempotent: a merge past its limits is shed, which says that asking again is harmless"))
		case slices.Contains(allowed.Kinds, merge.Paged) && d.Balancer.QueryTypes[at].CompleteCoverage < 1:
			errs = append(errs, c.Operator.QueryTypeError(name, "counts as whole short of a part (domain.wholeAt): "+
				"pages would never wait for the last segment, and no walk would end"))
		}
	}
	return operatorconfig.JoinErrors(errs...)
}

// fleetConfig returns the section on the fleet of the operator's file; nil = there is none.
func (c Config) fleetConfig() *operatorconfig.Fleet {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Fleet
}

// mergingConfig returns the section on merging of the operator's file; nil = nothing is merged.
func (c Config) mergingConfig() *operatorconfig.Merging {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Merging
}

// connectionsConfig returns the section on clients' connections of the operator's file.
func (c Config) connectionsConfig() operatorconfig.Connections {
	if c.Operator == nil || c.Operator.Connections == nil {
		return operatorconfig.Connections{}
	}
	return *c.Operator.Connections
}

// storeConfig returns the section on the store of the operator's file; nil = there is no store.
func (c Config) storeConfig() *operatorconfig.Store {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Store
}

// levelsConfig returns the section on degradation of the operator's file; nil = service is never degraded.
func (c Config) levelsConfig() *operatorconfig.Levels {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Levels
}

// memoryConfig returns the section on memory of the operator's file; nil = memory is not limited in total.
func (c Config) memoryConfig() *operatorconfig.Memory {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Memory
}

// restartNeeded returns the names of the sections in which a configuration differs from another so that only a restart
// applies it. The degradation is enabled if levels were configured at the start.
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

// sameJSON reports whether two texts are valid JSON of the same value.
func sameJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
