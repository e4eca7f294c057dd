// Package settings reads the settings file in TOML format that the platform writes for a process before starting it. It defines the file's
// format and validates its values. Unknown fields are ignored.
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

// PathVariable is the name of the environment variable that contains the path of the settings file.
const PathVariable = "OXBOWSPAN_BOOT"

// Settings are the contents of the settings file. Fields whose names end in MS are in milliseconds, in S in seconds, and in MB in units of
// 2^20 bytes. Fields marked as not used are parsed but have no effect.
type Settings struct {
	NodeName            string            `toml:"node_name"`  // identifies the process in log lines
	Role                string            `toml:"role"`       // not used
	IPAddress           string            `toml:"ip_address"` // address on which the internal ports and the metrics are served
	Zone                string            `toml:"zone"`
	Region              string            `toml:"region"`
	InternalPorts       []int             `toml:"internal_ports"`   // the first and the last port of a range
	SeedAddresses       []string          `toml:"seed_addresses"`   // control addresses of controllers
	LocalDetectionOnly  bool              `toml:"judge_alone"`      // ignores other gateways' observations of servers; used for comparisons only
	FirstStart          bool              `toml:"first_start"`      // the cluster starts for the first time, so missing state is not a loss
	LossCounted         bool              `toml:"loss_counted"`     // not used
	DataDirectory       string            `toml:"data_directory"`   // for a controller, the directory of its state file
	HeartbeatIntervalMS float64           `toml:"beat_interval_ms"` // interval between two heartbeats of a server; above 0
	Zones               map[string]string `toml:"zones"`            // region of each zone
	MetricsPort         int               `toml:"metrics_port"`     // for a gateway; 0 = DefaultMetricsPort, below 0 = metrics are not served
	Listen              Listen            `toml:"listen_addresses"`
	Limits              Limits            `toml:"limits"`
	ToleratedLosses     ToleratedLosses   `toml:"tolerated_losses"`
	Bounds              Bounds            `toml:"bounds"`
}

// Listen holds the addresses, as IP address and port, on which a process listens in addition to its internal ports.
type Listen struct {
	Front     string `toml:"front_address"`     // for a gateway, serves clients
	Readiness string `toml:"readiness_address"` // for a gateway, serves the platform's health checks
	Control   string `toml:"control_address"`   // for a controller, serves servers and operators
}

// Limits are the limits of the process's resources; 0 = no limit.
type Limits struct {
	ProcessorShare  float64 `toml:"processor_share"`  // not used
	Cores           float64 `toml:"cores"`            // not used
	MemoryMB        float64 `toml:"memory_mb"`        // a fraction of it is the garbage collector's memory limit
	FileDescriptors int     `toml:"file_descriptors"` // a gateway uses half of them for client connections
	DiskMB          float64 `toml:"disk_mb"`          // not used
}

// ToleratedLosses are the numbers of simultaneous failures that the control plane must survive.
type ToleratedLosses struct {
	Machines int `toml:"machines"` // n machines require 2n+1 acceptors
	Zones    int `toml:"zones"`    // n zones require 2n+1 acceptors, distributed such that no n zones contain half of them
	Regions  int `toml:"regions"`  // same as for zones
}

// Bounds are the service levels that the platform requires; 0 = not set.
type Bounds struct {
	ContactMS        float64 `toml:"contact_ms"`         // not used
	DrainLimitMS     float64 `toml:"drain_limit_ms"`     // not used
	GracePeriodS     float64 `toml:"grace_period_s"`     // time between SIGTERM and SIGKILL
	ConfigApplyMS    float64 `toml:"config_apply_ms"`    // time after a commit within which all gateways must use the version
	RetryBudgetRatio float64 `toml:"retry_budget_ratio"` // retries allowed for each request
	BudgetWindowS    float64 `toml:"budget_window_s"`    // time window to which the ratio applies
	BudgetExtraTries float64 `toml:"budget_extra_tries"` // retries allowed in a window in addition to the ratio
	AddressReuseS    float64 `toml:"address_reuse_s"`    // not used
	AcknowledgeMS    float64 `toml:"acknowledge_ms"`     // not used
	RecoveryS        float64 `toml:"recovery_s"`         // not used
	CatchUpS         float64 `toml:"catch_up_s"`         // not used
	ExposureShare    float64 `toml:"exposure_share"`     // share of the requests during a rollout that a bad version may receive; 0 = 0.1
	HasRetryBudget   bool    `toml:"-"`                  // the file contains retry_budget_ratio
}

// ErrNoPath is returned by [Read] for an empty path.
var ErrNoPath = errors.New("no settings file: set --boot or " + PathVariable)

// ResolvePath returns the path of the settings file: the value of the flag or, if that is empty, of the environment variable
// [PathVariable].
func ResolvePath(flag string) string {
	if flag != "" {
		return flag
	}
	return os.Getenv(PathVariable)
}

// Read reads a settings file without validating its values; see [Settings.Check]. Its error is [ErrNoPath], an error of reading the
// file, or a [*FormatError]. The text of an error is a single line.
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

// FormatError is the error for a settings file that is not valid TOML or has a field of the wrong type.
type FormatError struct {
	Path string
	Err  error
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("parse settings file %s: %s", e.Path, strings.ReplaceAll(e.Err.Error(), "\n", " "))
}

func (e *FormatError) Unwrap() error { return e.Err }

// Offsets of the programs' internal ports from the first internal port.
const (
	ControllerPort = iota
	GatewayPort
)

// InternalAddress returns this machine's address with the internal port at an offset. The settings must be valid.
func (s *Settings) InternalAddress(offset int) string {
	return s.internalAddressOf(s.IPAddress, offset)
}

// internalAddressOf returns the address of an IP address with the internal port at an offset.
func (s *Settings) internalAddressOf(ip string, offset int) string {
	address, _ := netip.ParseAddr(ip)
	return netip.AddrPortFrom(address, uint16(s.InternalPorts[0]+offset)).String()
}

// DefaultMetricsPort is the port on which a gateway serves its metrics if MetricsPort is 0.
const DefaultMetricsPort = 9464

// MetricsAddress returns the address on which metrics are served, or "" if they are not served. The settings must be valid.
func (s *Settings) MetricsAddress() string {
	if s.MetricsPort < 0 {
		return ""
	}
	address, _ := netip.ParseAddr(s.IPAddress)
	return netip.AddrPortFrom(address, uint16(cmp.Or(s.MetricsPort, DefaultMetricsPort))).String()
}

// SeedControllers returns the internal addresses of the controllers in SeedAddresses. Invalid addresses are skipped.
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

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
