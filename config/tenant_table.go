package config

// TenantTable finds the tenants of routes. It is immutable, and safe for concurrent use.
type TenantTable struct {
	tenants prefixTable[int] // indexes in the document
}

// NewTenantTable returns the table of a valid document.
func (d *TenantDocument) NewTenantTable() *TenantTable {
	t := &TenantTable{tenants: prefixTable[int]{}}
	for i := range d.Tenants {
		for _, r := range d.Tenants[i].Routes {
			t.tenants.add(r.Hostname, r.PathPrefix, i)
		}
	}
	return t
}

// Lookup returns the tenant of a route, by its index in the document. A route that no tenant covers is a tenant of its own.
func (t *TenantTable) Lookup(r *Route) (tenant int, found bool) {
	return longestPrefix(t.tenants[hostKey(r.Hostname)], r.PathPrefix)
}
