package settings

import (
	"slices"
	"testing"
)

func TestChangedFieldsNamesThemAsInTheFile(t *testing.T) {
	from := &Settings{Zone: "a", SeedAddresses: []string{"10.0.0.1:80"}, Zones: map[string]string{"a": "r"}}
	to := &Settings{Zone: "a", SeedAddresses: []string{"10.0.0.2:80"}, Zones: map[string]string{"a": "r"}}
	to.Bounds.GracePeriodS, to.Bounds.HasRetryBudget, to.Limits.MemoryMB = 4, true, 100
	if got, want := ChangedFields(from, to), []string{"seed_addresses", "limits.memory_mb", "bounds.grace_period_s"}; !slices.Equal(got, want) {
		t.Errorf("changed fields %q, want %q", got, want)
	}
	if got := ChangedFields(to, to); len(got) != 0 {
		t.Errorf("changed fields of equal settings: %q", got)
	}
}
