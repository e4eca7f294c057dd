package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// TenantsDocumentName is the name under which the document of tenants is agreed on.
const TenantsDocumentName = "tenants"

// MaxTenants bounds a document of tenants.
const MaxTenants = 1000

// ParseTenants reads a document of tenants that must be whole. It does not check what it says: see Check.
func ParseTenants(body []byte) (*TenantDocument, error) {
	if !json.Valid(body) {
		return nil, eris.New("the document of tenants is not one whole JSON value")
	}
	t := &TenantDocument{}
	if err := t.UnmarshalJSON(body); err != nil {
		return nil, eris.Errorf("the document of tenants can't be read: %v", err)
	}
	return t, nil
}

// Validate returns all that is wrong with a document of tenants, a sentence each; none = it is valid.
func (t *TenantDocument) Validate() (problems []string) {
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if len(t.Tenants) > MaxTenants {
		report("%d tenants are more than the %d that may stand", len(t.Tenants), MaxTenants)
	}
	names, routes := map[string]bool{}, map[string]string{}
	for i, n := range t.Tenants {
		name := cmp.Or(n.Name, fmt.Sprintf("number %d", i+1))
		if n.Name == "" {
			report("tenant %s has no name", name)
		}
		if strings.Contains(n.Name, "/") {
			report("tenant %s: a name with a slash is kept for routes in no tenant", name)
		}
		if names[n.Name] {
			report("tenant %s stands twice", name)
		}
		names[n.Name] = true
		if len(n.Routes) == 0 {
			report("tenant %s has no routes", name)
		}
		if n.Weight < 0 {
			report("tenant %s: the weight is below 0", name)
		}
		if n.ReservedConnections < 0 || n.MaxConnections < 0 || n.MaxBorrowed != nil && *n.MaxBorrowed < 0 {
			report("tenant %s: a number of connections is below 0", name)
		}
		if n.MaxConnections > 0 && n.ReservedConnections > n.MaxConnections {
			report("tenant %s: the floor %d is above the most %d", name, n.ReservedConnections, n.MaxConnections)
		}
		for _, r := range n.Routes {
			if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
				report("tenant %s: prefix %q does not begin and end with a slash", name, r.PathPrefix)
			}
			key := strings.ToLower(r.Hostname) + r.PathPrefix
			if other, taken := routes[key]; taken {
				report("tenants %s and %s both have %s", other, name, key)
			}
			routes[key] = name
		}
	}
	return problems
}

// Conflicts returns what a document of tenants asks of a configuration that it can't give, a sentence each.
func (t *TenantDocument) Conflicts(c *Configuration) (problems []string) {
	of := t.NewTenantTable()
	floors := map[string]int{}
	met := map[string]map[int]bool{}
	for i := range c.Routes {
		at, named := of.Lookup(&c.Routes[i])
		if !named {
			continue
		}
		for _, s := range c.Routes[i].Services() {
			if met[s] == nil {
				met[s] = map[int]bool{}
			}
			if !met[s][at] {
				met[s][at] = true
				floors[s] += t.Tenants[at].ReservedConnections
			}
		}
	}
	for _, s := range c.Services {
		if s.ConnectionLimit > 0 && floors[s.Name] > s.ConnectionLimit {
			problems = append(problems, fmt.Sprintf("service %s: floors of %d connections in sum, and each server takes %d", s.Name, floors[s.Name], s.ConnectionLimit))
		}
	}
	return problems
}

// TenantTable finds the tenants of routes.
type TenantTable struct {
	hosts map[string]map[string]int // by host and prefix
}

// NewTenantTable makes the table of a valid document.
func (t *TenantDocument) NewTenantTable() *TenantTable {
	of := &TenantTable{map[string]map[string]int{}}
	for i, n := range t.Tenants {
		for _, r := range n.Routes {
			host := strings.ToLower(r.Hostname)
			if of.hosts[host] == nil {
				of.hosts[host] = map[string]int{}
			}
			of.hosts[host][r.PathPrefix] = i
		}
	}
	return of
}

// Lookup is the tenant of a route, by its place in the document. It tells whether one names it: a route that is in none is a tenant of
// its own.
func (of *TenantTable) Lookup(r *Route) (at int, named bool) {
	prefixes := of.hosts[strings.ToLower(r.Hostname)]
	for end := len(r.PathPrefix); end > 0 && prefixes != nil; {
		end = strings.LastIndexByte(r.PathPrefix[:end], '/')
		if end < 0 {
			break
		}
		if at, named = prefixes[r.PathPrefix[:end+1]]; named {
			return at, true
		}
	}
	return 0, false
}
