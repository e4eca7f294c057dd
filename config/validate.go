package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// The kinds of routes.
const (
	Retryable    = "retryable"
	NonRetryable = "non_retryable"
)

// Parse reads a configuration that must be whole. It does not check what it says: see Check.
func Parse(body []byte) (*Configuration, error) {
	if !json.Valid(body) {
		return nil, eris.New("the configuration is not one whole JSON value")
	}
	c := &Configuration{}
	if err := c.UnmarshalJSON(body); err != nil {
		return nil, eris.Errorf("the configuration can't be read: %v", err)
	}
	return c, nil
}

// Validate returns all that is wrong with a configuration, a sentence each; none = it is valid.
func (c *Configuration) Validate() (problems []string) {
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if c.Version == 0 {
		report("the version is 0 or missing")
	}
	known := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			report("a service has no name")
		}
		if known[s.Name] {
			report("service %q stands twice", s.Name)
		}
		known[s.Name] = true
	}
	taken := map[string]string{}
	for i, r := range c.Routes {
		name := cmp.Or(r.Name, fmt.Sprintf("number %d", i+1))
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			report("route %s: prefix %q does not begin and end with a slash", name, r.PathPrefix)
		}
		key := strings.ToLower(r.Hostname) + r.PathPrefix
		if other, ok := taken[key]; ok {
			report("routes %s and %s share host and prefix", other, name)
		}
		taken[key] = name
		if r.RouteKind != Retryable && r.RouteKind != NonRetryable {
			report("route %s: kind %q is neither %s nor %s", name, r.RouteKind, Retryable, NonRetryable)
		}
		if !(r.TimeoutMS > 0) {
			report("route %s: the time-out is not above 0", name)
		}
		if r.Service == "" && len(r.WeightedServices) == 0 && len(r.GatheredServices) == 0 {
			report("route %s names no service", name)
		}
		for _, s := range r.Services() {
			if !known[s] {
				report("route %s names service %q, which is unknown", name, s)
			}
		}
		sum := 0.0
		for _, w := range r.WeightedServices {
			if w.Weight < 0 {
				report("route %s: the weight of service %q is below 0", name, w.Service)
			}
			sum += w.Weight
		}
		if len(r.WeightedServices) > 0 && !(sum > 0) {
			report("route %s: the weights add up to 0", name)
		}
	}
	return problems
}

// Services are all that a route names, each once.
func (r *Route) Services() (names []string) {
	seen := map[string]bool{}
	add := func(s string) {
		if !seen[s] {
			seen[s] = true
			names = append(names, s)
		}
	}
	if r.Service != "" {
		add(r.Service)
	}
	for _, w := range r.WeightedServices {
		add(w.Service)
	}
	for _, s := range r.GatheredServices {
		add(s)
	}
	return names
}

// Gathered tells whether a route's answers are made of parts.
func (r *Route) Gathered() bool { return len(r.GatheredServices) > 0 }
