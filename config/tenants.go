package config

//go:generate easyjson -all tenants.go

// TenantDocument is the operators' document of who shares the servers' connections. It stands beside the configuration, agreed by the
// same ballots under versions of its own. Without one nothing is shared out: whoever comes first is served.
type TenantDocument struct {
	Tenants []Tenant `json:"tenants"`
}

// Tenant is a named set of routes. Connections are those at one server, of all gatherers together, as connection_limit counts
// them; each gatherer holds its part of them.
type Tenant struct {
	Name                string        `json:"name"`
	Routes              []TenantRoute `json:"routes"`
	Weight              float64       `json:"weight"`           // its part beside the others'; 0 = 1
	ReservedConnections int           `json:"floor,omitempty"`  // never lent to others
	MaxConnections      int           `json:"most,omitempty"`   // 0 = no bound
	MaxBorrowed         *int          `json:"borrow,omitempty"` // of what others leave idle, beyond its own part; none = all of it
}

// TenantRoute takes in every route of a host whose prefix begins with this one. Of two tenants the longer prefix has it.
type TenantRoute struct {
	Hostname   string `json:"hostname"`
	PathPrefix string `json:"path_prefix"`
}
