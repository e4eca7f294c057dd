package config

import (
	"cmp"
	"fmt"
)

// Validate returns all problems of a configuration, one sentence for each. A configuration without problems is valid.
func (c *Configuration) Validate() []string {
	var found problems
	if c.Version == 0 {
		found.addf("the version is 0 or missing")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			found.addf("a service has no name")
		}
		if services[s.Name] {
			found.addf("service %q is listed twice", s.Name)
		}
		services[s.Name] = true
	}
	routes := map[string]string{} // names of routes by host and prefix
	for i := range c.Routes {
		r := &c.Routes[i]
		name := cmp.Or(r.Name, fmt.Sprintf("number %d", i+1))
		if !isPathPrefix(r.PathPrefix) {
			found.addf("route %s: prefix %q does not begin and end with a slash", name, r.PathPrefix)
		}
		key := hostKey(r.Hostname) + r.PathPrefix
		if other, ok := routes[key]; ok {
			found.addf("routes %s and %s have the same host and prefix", other, name)
		}
		routes[key] = name
		r.validate(name, services, &found)
	}
	return found
}

// validate adds the problems of a single route. services is the set of services that exist.
func (r *Route) validate(name string, services map[string]bool, found *problems) {
	if r.RouteKind != Retryable && r.RouteKind != NonRetryable {
		found.addf("route %s: kind %q is neither %s nor %s", name, r.RouteKind, Retryable, NonRetryable)
	}
	if !(r.TimeoutMS > 0) { // also true for NaN
		found.addf("route %s: the timeout is not above 0", name)
	}
	if r.Service == "" && len(r.WeightedServices) == 0 && len(r.GatheredServices) == 0 {
		found.addf("route %s names no service", name)
	}
	for _, service := range r.Services() {
		if !services[service] {
			found.addf("route %s names the unknown service %q", name, service)
		}
	}
	sum := 0.0
	for _, w := range r.WeightedServices {
		if w.Weight < 0 {
			found.addf("route %s: the weight of service %q is below 0", name, w.Service)
		}
		sum += w.Weight
	}
	if len(r.WeightedServices) > 0 && !(sum > 0) {
		found.addf("route %s: the weights add up to 0", name)
	}
}
