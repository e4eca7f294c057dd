package comb

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// TenantsNote is the name under which the document of tenants is agreed on.
const TenantsNote = "tenants"

// MostTenants bounds a document of tenants.
const MostTenants = 1000

// ReadTenants reads a document of tenants that must be whole. It does not check what it says: see Check.
func ReadTenants(body []byte) (*Tenants, error) {
	if !json.Valid(body) {
		return nil, eris.New("the document of tenants is not one whole JSON value")
	}
	t := &Tenants{}
	if err := t.UnmarshalJSON(body); err != nil {
		return nil, eris.Errorf("the document of tenants can't be read: %v", err)
	}
	return t, nil
}

// Check returns all that is wrong with a document of tenants, a sentence each; none = it is valid.
func (t *Tenants) Check() (faults []string) {
	say := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if len(t.Tenants) > MostTenants {
		say("%d tenants are more than the %d that may stand", len(t.Tenants), MostTenants)
	}
	names, routes := map[string]bool{}, map[string]string{}
	for i, n := range t.Tenants {
		name := cmp.Or(n.Name, fmt.Sprintf("number %d", i+1))
		if n.Name == "" {
			say("tenant %s has no name", name)
		}
		if strings.Contains(n.Name, "/") {
			say("tenant %s: a name with a slash is kept for routes in no tenant", name)
		}
		if names[n.Name] {
			say("tenant %s stands twice", name)
		}
		names[n.Name] = true
		if len(n.Routes) == 0 {
			say("tenant %s has no routes", name)
		}
		if n.Weight < 0 {
			say("tenant %s: the weight is below 0", name)
		}
		if n.Floor < 0 || n.Most < 0 || n.Borrow != nil && *n.Borrow < 0 {
			say("tenant %s: a number of connections is below 0", name)
		}
		if n.Most > 0 && n.Floor > n.Most {
			say("tenant %s: the floor %d is above the most %d", name, n.Floor, n.Most)
		}
		for _, r := range n.Routes {
			if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
				say("tenant %s: prefix %q does not begin and end with a slash", name, r.PathPrefix)
			}
			key := strings.ToLower(r.Hostname) + r.PathPrefix
			if other, taken := routes[key]; taken {
				say("tenants %s and %s both have %s", other, name, key)
			}
			routes[key] = name
		}
	}
	return faults
}

// Against returns what a document of tenants asks of a configuration that it can't give, a sentence each.
func (t *Tenants) Against(c *Configuration) (faults []string) {
	of := t.Table()
	floors := map[string]int{}
	met := map[string]map[int]bool{}
	for i := range c.Routes {
		at, named := of.Of(&c.Routes[i])
		if !named {
			continue
		}
		for _, s := range c.Routes[i].Services() {
			if met[s] == nil {
				met[s] = map[int]bool{}
			}
			if !met[s][at] {
				met[s][at] = true
				floors[s] += t.Tenants[at].Floor
			}
		}
	}
	for _, s := range c.Services {
		if s.ConnectionLimit > 0 && floors[s.Name] > s.ConnectionLimit {
			faults = append(faults, fmt.Sprintf("service %s: floors of %d connections in sum, and each server takes %d", s.Name, floors[s.Name], s.ConnectionLimit))
		}
	}
	return faults
}

// Tenancy finds the tenants of routes.
type Tenancy struct {
	hosts map[string]map[string]int // by host and prefix
}

// Table makes the table of a valid document.
func (t *Tenants) Table() *Tenancy {
	of := &Tenancy{map[string]map[string]int{}}
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

// Of is the tenant of a route, by its place in the document. It tells whether one names it: a route that is in none is a tenant of
// its own.
func (of *Tenancy) Of(r *Route) (at int, named bool) {
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
