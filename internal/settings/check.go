package settings

import (
	"fmt"
	"net/netip"
)

const maxPort = 1<<16 - 1

// checker collects problems.
type checker struct{ problems []string }

func (c *checker) add(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add("%s %q is not an IP address with a port", field, value)
	}
}

// Check returns the problems that keep a gateway, a controller or both from starting, a sentence each.
func (s *Settings) Check(gateway, controller bool) (problems []string) {
	c := &checker{}
	if _, err := netip.ParseAddr(s.IPAddress); err != nil {
		c.add("ip_address %q is not an IP address", s.IPAddress)
	}
	if !validPortRange(s.InternalPorts) {
		c.add("internal_ports %v are not the first and the last of at least two ports", s.InternalPorts)
	}
	if len(s.SeedAddresses) == 0 {
		c.add("seed_addresses is empty")
	}
	for _, seed := range s.SeedAddresses {
		c.address("seed address", seed)
	}
	if gateway {
		c.address("front_address", s.Listen.Front)
		c.address("readiness_address", s.Listen.Readiness)
	}
	if controller {
		c.address("control_address", s.Listen.Control)
		if s.DataDirectory == "" {
			c.add("data_directory is missing: a controller stores its state there")
		}
	}
	if s.MetricsPort > maxPort {
		c.add("metrics_port %d is not a port", s.MetricsPort)
	}
	if s.HeartbeatIntervalMS <= 0 {
		c.add("beat_interval_ms %v is not above 0", s.HeartbeatIntervalMS)
	}
	return c.problems
}

func validPortRange(ports []int) bool {
	return len(ports) == 2 && ports[0] >= 1 && ports[1] > ports[0] && ports[1] <= maxPort
}
