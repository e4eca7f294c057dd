package gatherer

import (
	"errors"
	"slices"
	"testing"

	"oxbowspan/internal/operatorconfig"
)

func validConfig() Config {
	return Config{Name: "g-1", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Settings: []byte(testSettings)}
}

func TestConfigErrors(t *testing.T) {
	for name, test := range map[string]struct {
		edit func(*Config)
		want error
	}{
		"no listen address":    {func(c *Config) { c.Listen = "" }, ErrNoAddress},
		"no discovery address": {func(c *Config) { c.Discovery = "" }, ErrNoAddress},
		"no settings":          {func(c *Config) { c.Settings = nil }, ErrNoSettings},
	} {
		t.Run(name, func(t *testing.T) {
			config := validConfig()
			test.edit(&config)
			if _, err := New(config); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestRestartNeeded(t *testing.T) {
	operator := func(path string) *Operator {
		return &Operator{Store: &operatorconfig.Store{Directory: path}}
	}
	for name, test := range map[string]struct {
		edit func(*Config)
		want []string
	}{
		"nothing":       {func(*Config) {}, nil},
		"discovery":     {func(c *Config) { c.Discovery = "127.0.0.1:2" }, nil},
		"seed":          {func(c *Config) { c.Seed = "7" }, nil},
		"settings form": {func(c *Config) { c.Settings = append([]byte(" "), c.Settings...) }, nil},
		"settings":      {func(c *Config) { c.Settings = []byte(`{}`) }, []string{"settings"}},
		"name, limits":  {func(c *Config) { c.Name, c.Limits.Cores = "g-2", 4 }, []string{"name", "limits"}},
		"listen":        {func(c *Config) { c.Listen = "127.0.0.1:3" }, []string{"listen"}},
		"store":         {func(c *Config) { c.Operator = operator("b") }, []string{"store"}},
		"same store":    {func(c *Config) { c.Operator = operator("a") }, nil},
		"levels":        {func(c *Config) { c.Operator.Levels = &operatorconfig.Levels{} }, []string{"levels"}},
	} {
		t.Run(name, func(t *testing.T) {
			old, config := validConfig(), validConfig()
			old.Operator, config.Operator = operator("a"), operator("a")
			test.edit(&config)
			if got := config.restartNeeded(old, false); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
