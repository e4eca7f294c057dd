package config

import (
	"cmp"
	"fmt"
	"strings"
)

// MaxTenants is the maximum number of tenants in a document.
const MaxTenants = 1000

// Validate returns all problems of a document of tenants, one sentence for each. A document without problems is valid.
func (d *TenantDocument) Validate() []string {
	var found problems
	if len(d.Tenants) > MaxTenants {
		found.addf("%d tenants are more than the %d allowed", len(d.Tenants), MaxTenants)
	}
	names := map[string]bool{}
	routes := map[string]string{} // names of tenants by host and prefix
	for i := range d.Tenants {
		t := &d.Tenants[i]
		name := cmp.Or(t.Name, fmt.Sprintf("number %d", i+1))
		if t.Name == "" {
			found.addf("tenant %s has no name", name)
		}
		if strings.Contains(t.Name, "/") {
			found.addf("tenant %s: names with a slash are reserved for routes without a tenant", name)
		}
		if names[t.Name] {
			found.addf("tenant %s is listed twice", name)
		}
		names[t.Name] = true
		t.validateConnections(name, &found)
		for _, r := range t.Routes {
			if !isPathPrefix(r.PathPrefix) {
				found.addf("tenant %s: prefix %q does not begin and end with a slash", name, r.PathPrefix)
			}
			key := hostKey(r.Hostname) + r.PathPrefix
			if other, duplicate := routes[key]; duplicate {
				found.addf("tenants %s and %s both have %s", other, name, key)
			}
			routes[key] = name
		}
	}
	return found
}

// validateConnections adds the problems of a tenant's weight and numbers of connections, and of a tenant without routes.
func (t *Tenant) validateConnections(name string, found *problems) {
	if len(t.Routes) == 0 {
		found.addf("tenant %s has no routes", name)
	}
	if t.Weight < 0 {
		found.addf("tenant %s: the weight is below 0", name)
	}
	if t.ReservedConnections < 0 || t.MaxConnections < 0 || t.MaxBorrowed != nil && *t.MaxBorrowed < 0 {
		found.addf("tenant %s: a number of connections is below 0", name)
	}
	if t.MaxConnections > 0 && t.ReservedConnections > t.MaxConnections {
		found.addf("tenant %s: the floor %d is above the most %d", name, t.ReservedConnections, t.MaxConnections)
	}
}

// Conflicts returns the conflicts of a document of tenants with a configuration, one sentence for each. A service is in conflict
// if the tenants with routes to it have more connections reserved in total than each of its servers accepts.
func (d *TenantDocument) Conflicts(c *Configuration) []string {
	reserved := d.reservedByService(c)
	var found problems
	for _, s := range c.Services {
		if s.ConnectionLimit > 0 && reserved[s.Name] > s.ConnectionLimit {
			found.addf("service %s: floors of %d connections in sum, and each server takes %d", s.Name, reserved[s.Name], s.ConnectionLimit)
		}
	}
	return found
}

// reservedByService returns the total number of connections that tenants have reserved at each server, by service. A tenant with
// several routes to a service is counted once.
func (d *TenantDocument) reservedByService(c *Configuration) map[string]int {
	type use struct {
		service string
		tenant  int
	}
	table := d.NewTenantTable()
	reserved := map[string]int{}
	counted := map[use]bool{}
	for i := range c.Routes {
		tenant, found := table.Lookup(&c.Routes[i])
		if !found {
			continue
		}
		for _, service := range c.Routes[i].Services() {
			if u := (use{service: service, tenant: tenant}); !counted[u] {
				counted[u] = true
				reserved[service] += d.Tenants[tenant].ReservedConnections
			}
		}
	}
	return reserved
}
