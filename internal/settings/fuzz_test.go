package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzSettings: any file is refused in one sentence or understood, and what has no fault can be used.
func FuzzSettings(f *testing.F) {
	f.Add("node_name = \"n\"\nip_address = \"10.1.0.1\"\ninternal_ports = [7120,7135]\nseed_addresses = [\"10.1.0.2:8729\"]\n[listen_addresses]\ncontrol_address = \"10.1.0.1:8729\"\n")
	f.Add("internal_ports = []\nseed_addresses = [\":\", \"x\"]\n[bounds]\nbudget_window_s = 1e300\n")
	f.Add("[limits")
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "boot.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Read(path)
		if err != nil {
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
				t.Fatal("beats of less than no time")
			}
		}
	})
}
