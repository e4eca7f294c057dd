package config

//go:generate easyjson -all tenant_document.go

// TenantsDocumentName is the name under which the document of tenants is committed.
const TenantsDocumentName = "tenants"

// TenantDocument defines how tenants share the connections to servers. Without a document connections are not divided, and
// requests are served in the order of their arrival.
type TenantDocument struct {
	Tenants []Tenant `json:"tenants"`
}

// Tenant is a named set of routes. Numbers of connections apply to each server and to all gateways together, like
// Service.ConnectionLimit; each gateway has a share of them.
type Tenant struct {
	Name                string        `json:"name"` // contains no slash
	Routes              []TenantRoute `json:"routes"`
	Weight              float64       `json:"weight"`           // relative to the weights of other tenants; 0 = 1
	ReservedConnections int           `json:"floor,omitempty"`  // never lent to other tenants
	MaxConnections      int           `json:"most,omitempty"`   // 0 = no limit
	MaxBorrowed         *int          `json:"borrow,omitempty"` // maximum number of other tenants' idle connections in use beyond the tenant's own share; nil = no limit
}

// TenantRoute covers every route of a host whose prefix begins with PathPrefix. A route that several tenants cover belongs to the
// tenant with the longest prefix.
type TenantRoute struct {
	Hostname   string `json:"hostname"`
	PathPrefix string `json:"path_prefix"` // begins and ends with a slash
}
