package config

// TenantTable looks up the tenants of routes. It is immutable and safe for concurrent use.
type TenantTable struct {
	tenants prefixTable[int] // indexes of tenants in the document
}

// NewTenantTable returns the tenant table of a valid document.
func (d *TenantDocument) NewTenantTable() *TenantTable {
	t := &TenantTable{tenants: prefixTable[int]{}}
	for i := range d.Tenants {
		for _, r := range d.Tenants[i].Routes {
			t.tenants.add(r.Hostname, r.PathPrefix, i)
		}
	}
	return t
}

// Lookup returns the index in the document of the tenant to which a route belongs. found is false for a route that no tenant
// covers; such a route is treated as a tenant of its own.
func (t *TenantTable) Lookup(r *Route) (tenant int, found bool) {
	return longestPrefix(t.tenants[hostKey(r.Hostname)], r.PathPrefix)
}
