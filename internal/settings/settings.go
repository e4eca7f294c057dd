// Package settings reads what the platform tells a process when it starts: the settings file, in TOML, whose path stands in
// the environment. It owns the file's form and what makes it unusable; unknown fields are ignored.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
)

// PathVariable names the environment variable that holds the file's path.
const PathVariable = "OXBOWSPAN_BOOT"

// Settings are what a process is told. Fields ending in MS are milliseconds, in S seconds.
type Settings struct {
	NodeName            string            `toml:"node_name"`
	Role                string            `toml:"role"`
	IPAddress           string            `toml:"ip_address"`
	Zone                string            `toml:"zone"`
	Region              string            `toml:"region"`
	InternalPorts       []int             `toml:"internal_ports"` // the first and the last
	SeedAddresses       []string          `toml:"seed_addresses"`
	LocalDetectionOnly  bool              `toml:"judge_alone"` // this gatherer's own records decide alone; not the platform's: for comparing
	FirstStart          bool              `toml:"first_start"`
	LossCounted         bool              `toml:"loss_counted"`
	DataDirectory       string            `toml:"data_directory"`
	HeartbeatIntervalMS float64           `toml:"beat_interval_ms"`
	Zones               map[string]string `toml:"zones"`
	Listen              struct {
		Front     string `toml:"front_address"`
		Readiness string `toml:"readiness_address"`
		Control   string `toml:"control_address"`
	} `toml:"listen_addresses"`
	Limits struct {
		ProcessorShare  float64 `toml:"processor_share"`
		Cores           float64 `toml:"cores"`
		MemoryMB        float64 `toml:"memory_mb"`
		FileDescriptors int     `toml:"file_descriptors"`
		DiskMB          float64 `toml:"disk_mb"`
	} `toml:"limits"`
	ToleratedLosses struct {
		Machines int `toml:"machines"`
	} `toml:"tolerated_losses"`
	Bounds struct {
		ContactMS        float64 `toml:"contact_ms"`
		DrainLimitMS     float64 `toml:"drain_limit_ms"`
		GracePeriodS     float64 `toml:"grace_period_s"`
		ConfigApplyMS    float64 `toml:"config_apply_ms"`
		RetryBudgetRatio float64 `toml:"retry_budget_ratio"`
		BudgetWindowS    float64 `toml:"budget_window_s"`
		BudgetExtraTries float64 `toml:"budget_extra_tries"`
		AddressReuseS    float64 `toml:"address_reuse_s"`
		AcknowledgeMS    float64 `toml:"acknowledge_ms"`
		RecoveryS        float64 `toml:"recovery_s"`
		CatchUpS         float64 `toml:"catch_up_s"`
		HasRetryBudget   bool    `toml:"-"`
	} `toml:"bounds"`
}

// ResolvePath is where the settings are: the flag's value, or what the environment says.
func ResolvePath(flag string) string {
	if flag != "" {
		return flag
	}
	return os.Getenv(PathVariable)
}

// Read reads a settings file. Its error is one sentence.
func Read(path string) (*Settings, error) {
	if path == "" {
		return nil, eris.Errorf("no settings file: give --boot or set %s", PathVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Errorf("the settings file can't be read: %v", err)
	}
	s := &Settings{}
	meta, err := toml.Decode(string(text), s)
	if err != nil {
		return nil, eris.Errorf("the settings file %s is not as it should be: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	s.Bounds.HasRetryBudget = meta.IsDefined("bounds", "retry_budget_ratio")
	return s, nil
}

// Check returns all that keeps a process of one kind from starting, a sentence each.
func (s *Settings) Check(gateway, controller bool) (problems []string) {
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if _, err := netip.ParseAddr(s.IPAddress); err != nil {
		report("ip_address %q is not an IP address", s.IPAddress)
	}
	if len(s.InternalPorts) != 2 || s.InternalPorts[0] < 1 || s.InternalPorts[1] < s.InternalPorts[0]+1 || s.InternalPorts[1] > 65535 {
		report("internal_ports %v are not the first and the last of two ports or more", s.InternalPorts)
	}
	if len(s.SeedAddresses) == 0 {
		report("seed_addresses is empty")
	}
	address := func(name, a string) {
		if _, err := netip.ParseAddrPort(a); err != nil {
			report("%s %q is not an address with a port", name, a)
		}
	}
	for _, a := range s.SeedAddresses {
		address("a seed address", a)
	}
	if gateway {
		address("front_address", s.Listen.Front)
		address("readiness_address", s.Listen.Readiness)
	}
	if controller {
		address("control_address", s.Listen.Control)
		if s.DataDirectory == "" {
			report("data_directory is missing: the control plane keeps its state on a disk")
		}
	}
	if s.HeartbeatIntervalMS <= 0 {
		report("beat_interval_ms %v is not above 0", s.HeartbeatIntervalMS)
	}
	return problems
}

// ControllerPort and GatewayPort are the offsets of the internal ports that the two programs use.
const (
	ControllerPort = iota
	GatewayPort
)

// InternalAddress is this machine's address for one of the internal ports.
func (s *Settings) InternalAddress(offset int) string {
	return s.internalAddressOf(s.IPAddress, offset)
}

func (s *Settings) internalAddressOf(ip string, offset int) string {
	a, _ := netip.ParseAddr(ip)
	return netip.AddrPortFrom(a, uint16(s.InternalPorts[0]+offset)).String()
}

// SeedControllers are the internal addresses of the seeds' hives.
func (s *Settings) SeedControllers() (out []string) {
	for _, a := range s.SeedAddresses {
		if ap, err := netip.ParseAddrPort(a); err == nil {
			out = append(out, s.internalAddressOf(ap.Addr().String(), ControllerPort))
		}
	}
	return out
}

// HeartbeatInterval is how often servers call.
func (s *Settings) HeartbeatInterval() time.Duration { return Milliseconds(s.HeartbeatIntervalMS) }

// Milliseconds is so many as a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds is so many as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
