package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// A settings file may hold fields, parts of rules and bounds that this program does not know, of any kind: they are ignored, and what
// it does know is read as before.
func TestUnknownSettingsAreIgnored(t *testing.T) {
	text := `node_name = "n"
role = "r"
machine_class = "control"
ip_address = "10.1.0.1"
internal_ports = [7120,7135]
seed_addresses = ["10.1.0.2:8729","10.2.0.2:8729","10.3.0.2:8729"]
first_start = false
loss_counted = true
rule_parts = ["known","never-heard-of"]
later = { any = [1, "two", 3.5] }
beat_interval_ms = 1200
data_directory = "/data"
[zones]
a = "r"
[listen_addresses]
control_address = "10.1.0.1:8729"
another_address = "10.1.0.1:8730"
[limits]
disk_mb = 128
link_mbps = 22.5
file_descriptors = 4096
[tolerated_losses]
machines = 2
zones = 0
regions = 0
planets = 0
[bounds]
contact_ms = 4000
retry_budget_ratio = 0.2
recovery_s = 12.5
strictly = true
loosely = false
something_s = 1
something_share = 0.25
`
	path := filepath.Join(t.TempDir(), "boot.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if problems := s.Check(false, true); len(problems) > 0 {
		t.Fatalf("faults are found: %v", problems)
	}
	b := s.Bounds
	if b.ContactMS != 4000 || b.RecoveryS != 12.5 || b.RetryBudgetRatio != 0.2 || !b.HasRetryBudget || s.ToleratedLosses.Machines != 2 ||
		s.Limits.FileDescriptors != 4096 || s.FirstStart || !s.LossCounted || len(s.SeedControllers()) != 3 {
		t.Errorf("read as %+v", s)
	}
}
