package settings

import (
	"strings"
	"testing"
)

// FuzzSettings checks that any file is either rejected with an error of one line or read, and that valid settings can be used.
func FuzzSettings(f *testing.F) {
	f.Add("node_name = \"n\"\nip_address = \"10.1.0.1\"\ninternal_ports = [7120,7135]\nseed_addresses = [\"10.1.0.2:8729\"]\n[listen_addresses]\ncontrol_address = \"10.1.0.1:8729\"\n")
	f.Add("internal_ports = []\nseed_addresses = [\":\", \"x\"]\n[bounds]\nbudget_window_s = 1e300\n")
	f.Add("[limits")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Read(writeFile(t, text))
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("the error has several lines: %q", err)
			}
			return
		}
		for _, gateway := range []bool{true, false} {
			if len(s.Check(gateway, !gateway)) > 0 {
				continue
			}
			s.SeedControllers()
			s.InternalAddress(ControllerPort)
			s.InternalAddress(GatewayPort)
			if s.HeartbeatInterval() < 0 {
				t.Fatalf("the heartbeat interval %v is negative", s.HeartbeatInterval())
			}
		}
	})
}
