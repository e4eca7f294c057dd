package settings

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Unknown fields of any type and in any table must be ignored.
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
	s, err := Read(writeFile(t, text))
	if err != nil {
		t.Fatal(err)
	}
	if problems := s.Check(false, true); len(problems) > 0 {
		t.Fatalf("problems in a valid file: %v", problems)
	}
	b := s.Bounds
	if b.ContactMS != 4000 || b.RecoveryS != 12.5 || b.RetryBudgetRatio != 0.2 || !b.HasRetryBudget || s.ToleratedLosses.Machines != 2 ||
		s.Limits.FileDescriptors != 4096 || s.FirstStart || !s.LossCounted || len(s.SeedControllers()) != 3 {
		t.Errorf("known fields were read as %+v", s)
	}
}

// writeFile writes a settings file and returns its path.
func writeFile(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "boot.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReadFails(t *testing.T) {
	t.Run("without a path", func(t *testing.T) {
		if _, err := Read(""); !errors.Is(err, ErrNoPath) {
			t.Errorf("got %v, want %v", err, ErrNoPath)
		}
	})
	t.Run("without the file", func(t *testing.T) {
		if _, err := Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("got %v, want %v", err, fs.ErrNotExist)
		}
	})
	t.Run("on a field of another type", func(t *testing.T) {
		path := writeFile(t, "node_name = 7\n")
		_, err := Read(path)
		var format *FormatError
		if !errors.As(err, &format) || format.Path != path || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want a FormatError of one line", err)
		}
	})
}

// Check must report exactly one problem for each invalid field.
func TestCheckReportsProblems(t *testing.T) {
	valid := func() *Settings {
		return &Settings{
			IPAddress:           "10.1.0.1",
			InternalPorts:       []int{7120, 7135},
			SeedAddresses:       []string{"10.1.0.2:8729"},
			DataDirectory:       "/data",
			HeartbeatIntervalMS: 1200,
			Listen:              Listen{Front: "10.1.0.1:80", Readiness: "10.1.0.1:81", Control: "10.1.0.1:8729"},
		}
	}
	if problems := valid().Check(true, true); len(problems) > 0 {
		t.Fatalf("problems in valid settings: %v", problems)
	}
	for _, c := range []struct {
		field      string
		invalidate func(s *Settings)
	}{
		{"ip_address", func(s *Settings) { s.IPAddress = "host" }},
		{"internal_ports", func(s *Settings) { s.InternalPorts = []int{7120, 7120} }},
		{"internal_ports", func(s *Settings) { s.InternalPorts = []int{7120, 65536} }},
		{"internal_ports", func(s *Settings) { s.InternalPorts = nil }},
		{"metrics_port", func(s *Settings) { s.MetricsPort = 65536 }},
		{"seed_addresses", func(s *Settings) { s.SeedAddresses = nil }},
		{"seed address", func(s *Settings) { s.SeedAddresses = []string{"10.1.0.2"} }},
		{"front_address", func(s *Settings) { s.Listen.Front = "" }},
		{"readiness_address", func(s *Settings) { s.Listen.Readiness = ":80" }},
		{"control_address", func(s *Settings) { s.Listen.Control = "" }},
		{"data_directory", func(s *Settings) { s.DataDirectory = "" }},
		{"beat_interval_ms", func(s *Settings) { s.HeartbeatIntervalMS = 0 }},
	} {
		t.Run(c.field, func(t *testing.T) {
			s := valid()
			c.invalidate(s)
			if problems := s.Check(true, true); len(problems) != 1 || !strings.HasPrefix(problems[0], c.field) {
				t.Errorf("got %q, want one problem that begins with %s", problems, c.field)
			}
		})
	}
}
