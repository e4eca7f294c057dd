package settings

import (
	"fmt"
	"net/netip"
)

const maxPort = 1<<16 - 1

// checker collects the problems of settings, one sentence for each.
type checker struct{ problems []string }

// addf adds a formatted problem.
func (c *checker) addf(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// checkAddress adds a problem if the value of a field is not an IP address with a port.
func (c *checker) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addf("%s %q is not an IP address with a port", field, value)
	}
}

// Check returns the problems that prevent a gateway, a controller or both from starting, one sentence for each. Settings without
// problems are valid.
func (s *Settings) Check(gateway, controller bool) (problems []string) {
	c := &checker{}
	if _, err := netip.ParseAddr(s.IPAddress); err != nil {
		c.addf("ip_address %q is not an IP address", s.IPAddress)
	}
	if !validPortRange(s.InternalPorts) {
		c.addf("internal_ports %v are not the first and the last of at least two ports", s.InternalPorts)
	}
	if len(s.SeedAddresses) == 0 {
		c.addf("seed_addresses is empty")
	}
	for _, seed := range s.SeedAddresses {
		c.checkAddress("seed address", seed)
	}
	if gateway {
		c.checkAddress("front_address", s.Listen.Front)
		c.checkAddress("readiness_address", s.Listen.Readiness)
	}
	if controller {
		c.checkAddress("control_address", s.Listen.Control)
		if s.DataDirectory == "" {
			c.addf("data_directory is missing: a controller stores its state there")
		}
	}
	if s.MetricsPort > maxPort {
		c.addf("metrics_port %d is not a port", s.MetricsPort)
	}
	if s.HeartbeatIntervalMS <= 0 {
		c.addf("beat_interval_ms %v is not above 0", s.HeartbeatIntervalMS)
	}
	return c.problems
}

// validPortRange reports whether ports are the first and the last port of a range of at least two.
func validPortRange(ports []int) bool {
	return len(ports) == 2 && ports[0] >= 1 && ports[1] > ports[0] && ports[1] <= maxPort
}
