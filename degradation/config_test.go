package degradation

import (
	"slices"
	"strings"
	"testing"
)

func TestValidateReportsProblems(t *testing.T) {
	if problems := testConfig().Validate(); len(problems) > 0 {
		t.Error(problems)
	}
	for _, c := range []struct {
		want   string
		change func(*Config)
	}{
		{"no level", func(c *Config) { c.Levels = nil }},
		{"twice", func(c *Config) { c.Levels[1].Name = "full" }},
		{"never entered", func(c *Config) { c.Levels[2].Conditions = nil }},
		{"not under the", func(c *Config) { c.Levels[1].Conditions[0].Exit = 0.5 }},
		{"has conditions", func(c *Config) { c.Levels[0].Conditions = c.Levels[1].Conditions }},
		{"serves more", func(c *Config) { c.Levels[3].Policy.ServedShares = []float64{0, 1} }},
		{"a time or a number", func(c *Config) { c.MaxUpgradesPerMinute = 0 }},
	} {
		t.Run(c.want, func(t *testing.T) {
			config := testConfig()
			config.Levels = slices.Clone(config.Levels)
			c.change(&config)
			if problems := config.Validate(); len(problems) == 0 || !strings.Contains(strings.Join(problems, ";"), c.want) {
				t.Errorf("problems: %v", problems)
			}
		})
	}
}

func TestParseSignal(t *testing.T) {
	for s := range NumSignals {
		if got, ok := ParseSignal(s.String()); !ok || got != s {
			t.Errorf("ParseSignal(%s) = %s, %t", s, got, ok)
		}
	}
	if s, ok := ParseSignal("list_age"); !ok || s != ServerListAge {
		t.Errorf("ParseSignal(list_age) = %s, %t", s, ok)
	}
	if _, ok := ParseSignal("weather"); ok {
		t.Error("an unknown name is accepted")
	}
}
