// Package settings reads the settings file that the platform writes for a process before it starts it, in TOML. It owns the file's format and
// the checks of its values. Unknown fields are ignored.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// PathVariable names the environment variable that holds the file's path.
const PathVariable = "OXBOWSPAN_BOOT"

// Settings are the contents of the file. Fields that end in MS are in milliseconds, those that end in S in seconds, those that end in MB in
// units of 2^20 bytes. Fields marked as not used are parsed and have no effect.
type Settings struct {
	NodeName            string            `toml:"node_name"`  // in log lines
	Role                string            `toml:"role"`       // not used
	IPAddress           string            `toml:"ip_address"` // of the internal ports
	Zone                string            `toml:"zone"`
	Region              string            `toml:"region"`
	InternalPorts       []int             `toml:"internal_ports"`   // the first and the last of a range
	SeedAddresses       []string          `toml:"seed_addresses"`   // control addresses of controllers
	LocalDetectionOnly  bool              `toml:"judge_alone"`      // ignore other gateways' observations of servers; set in comparisons only
	FirstStart          bool              `toml:"first_start"`      // the cluster starts for the first time, so that missing state is no loss
	LossCounted         bool              `toml:"loss_counted"`     // not used
	DataDirectory       string            `toml:"data_directory"`   // of a controller, for its state file
	HeartbeatIntervalMS float64           `toml:"beat_interval_ms"` // between two heartbeats of a server, above 0
	Zones               map[string]string `toml:"zones"`            // regions by zone
	MetricsPort         int               `toml:"metrics_port"`     // of a gateway; 0 = DefaultMetricsPort, below 0 = none
	Listen              Listen            `toml:"listen_addresses"`
	Limits              Limits            `toml:"limits"`
	ToleratedLosses     ToleratedLosses   `toml:"tolerated_losses"`
	Bounds              Bounds            `toml:"bounds"`
}

// Listen has the addresses, as IP address and port, on which a process listens beside its internal ports.
type Listen struct {
	Front     string `toml:"front_address"`     // of a gateway, for clients
	Readiness string `toml:"readiness_address"` // of a gateway, for the platform's health checks
	Control   string `toml:"control_address"`   // of a controller, for servers and operators
}

// Limits are the process's resources; 0 = no limit.
type Limits struct {
	ProcessorShare  float64 `toml:"processor_share"`  // not used
	Cores           float64 `toml:"cores"`            // not used
	MemoryMB        float64 `toml:"memory_mb"`        // a share of it is the garbage collector's limit
	FileDescriptors int     `toml:"file_descriptors"` // a gateway gives clients half of them
	DiskMB          float64 `toml:"disk_mb"`          // not used
}

// ToleratedLosses are the failures that the control plane must survive at once.
type ToleratedLosses struct {
	Machines int `toml:"machines"` // n of these take 2n+1 acceptors
	Zones    int `toml:"zones"`    // n of these take 2n+1 acceptors, spread so that no n zones hold half of them
	Regions  int `toml:"regions"`  // as Zones
}

// Bounds are the service levels that the platform requires. 0 = not set.
type Bounds struct {
	ContactMS        float64 `toml:"contact_ms"`         // not used
	DrainLimitMS     float64 `toml:"drain_limit_ms"`     // not used
	GracePeriodS     float64 `toml:"grace_period_s"`     // from SIGTERM to SIGKILL
	ConfigApplyMS    float64 `toml:"config_apply_ms"`    // from a commit until all gateways must use the version
	RetryBudgetRatio float64 `toml:"retry_budget_ratio"` // retries for each request
	BudgetWindowS    float64 `toml:"budget_window_s"`    // over which the ratio holds
	BudgetExtraTries float64 `toml:"budget_extra_tries"` // retries in a window beyond the ratio
	AddressReuseS    float64 `toml:"address_reuse_s"`    // not used
	AcknowledgeMS    float64 `toml:"acknowledge_ms"`     // not used
	RecoveryS        float64 `toml:"recovery_s"`         // not used
	CatchUpS         float64 `toml:"catch_up_s"`         // not used
	ExposureShare    float64 `toml:"exposure_share"`     // of the requests during a rollout that a bad version may get; 0 = 0.1
	HasRetryBudget   bool    `toml:"-"`                  // retry_budget_ratio is set
}

// ErrNoPath is returned by [Read] without a path.
var ErrNoPath = errors.New("no settings file: set --boot or " + PathVariable)

// ResolvePath returns the path of the settings file: the flag's value, or else that of the environment variable [PathVariable].
func ResolvePath(flag string) string {
	if flag != "" {
		return flag
	}
	return os.Getenv(PathVariable)
}

// Read reads a settings file. It does not check the values: see [Settings.Check]. Its error is [ErrNoPath], that of reading the
// file, or a [*FormatError]; its text is a single line.
func Read(path string) (*Settings, error) {
	if path == "" {
		return nil, ErrNoPath
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings file: %w", err)
	}
	s := &Settings{}
	meta, err := toml.Decode(string(text), s)
	if err != nil {
		return nil, &FormatError{Path: path, Err: err}
	}
	s.Bounds.HasRetryBudget = meta.IsDefined("bounds", "retry_budget_ratio")
	return s, nil
}

// FormatError reports a settings file that is not valid TOML, or has a field of another type.
type FormatError struct {
	Path string
	Err  error
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("parse settings file %s: %s", e.Path, strings.ReplaceAll(e.Err.Error(), "\n", " "))
}

func (e *FormatError) Unwrap() error { return e.Err }

// Offsets of the programs' internal ports from the first.
const (
	ControllerPort = iota
	GatewayPort
)

// InternalAddress returns this machine's address, with the internal port at an offset. The settings must have been checked.
func (s *Settings) InternalAddress(offset int) string {
	return s.internalAddressOf(s.IPAddress, offset)
}

func (s *Settings) internalAddressOf(ip string, offset int) string {
	address, _ := netip.ParseAddr(ip)
	return netip.AddrPortFrom(address, uint16(s.InternalPorts[0]+offset)).String()
}

// DefaultMetricsPort is the port on which a gateway serves its metrics.
const DefaultMetricsPort = 9464

// MetricsAddress returns the address at which metrics are served, "" = none. The settings must have been checked.
func (s *Settings) MetricsAddress() string {
	if s.MetricsPort < 0 {
		return ""
	}
	address, _ := netip.ParseAddr(s.IPAddress)
	return netip.AddrPortFrom(address, uint16(cmp.Or(s.MetricsPort, DefaultMetricsPort))).String()
}

// SeedControllers returns the internal addresses of the seeds' controllers.
func (s *Settings) SeedControllers() (addresses []string) {
	for _, seed := range s.SeedAddresses {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, s.internalAddressOf(address.Addr().String(), ControllerPort))
		}
	}
	return addresses
}

// HeartbeatInterval returns the time between two heartbeats of a server.
func (s *Settings) HeartbeatInterval() time.Duration { return Milliseconds(s.HeartbeatIntervalMS) }

// Milliseconds converts a number of milliseconds.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a number of seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
