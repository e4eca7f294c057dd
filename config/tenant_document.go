package config

//go:generate easyjson -all tenant_document.go

// TenantsDocumentName is the name under which the document of tenants is committed.
const TenantsDocumentName = "tenants"

// TenantDocument is the operators' document of how tenants share the servers' connections. Without one, connections are not
// shared out: requests are served in the order in which they come.
type TenantDocument struct {
	Tenants []Tenant `json:"tenants"`
}

// Tenant is a named set of routes. Connections are those at one server, of all gateways together, as
// Service.ConnectionLimit counts them; each gateway has its share of them.
type Tenant struct {
	Name                string        `json:"name"` // without a slash
	Routes              []TenantRoute `json:"routes"`
	Weight              float64       `json:"weight"`           // relative to the other tenants'; 0 = 1
	ReservedConnections int           `json:"floor,omitempty"`  // never lent to other tenants
	MaxConnections      int           `json:"most,omitempty"`   // 0 = no bound
	MaxBorrowed         *int          `json:"borrow,omitempty"` // of idle connections of others, beyond its own share; nil = no bound
}

// TenantRoute covers every route of a host whose prefix begins with this one. Of two tenants the one with the longer prefix
// has the route.
type TenantRoute struct {
	Hostname   string `json:"hostname"`
	PathPrefix string `json:"path_prefix"` // begins and ends with a slash
}
