package quota

type (
	// TenantID identifies a tenant at one gateway. IDs of removed tenants are reused.
	TenantID int
	// ServerID is the gateway's number of a server.
	ServerID uint32
	// Service is the name of a group of servers whose connections are shared as a whole.
	Service string
)

// TenantPolicy is a tenant's entitlement. Floor, Max and MaxBorrowed are numbers of connections to one server from all
// gateways together; each gateway applies its portion of them.
type TenantPolicy struct {
	Name   string
	Weight float64 // relative to other tenants; must be above 0
	Floor  float64 // guaranteed connections, never lent to other tenants; 0 = none
	Max    float64 // maximum number of connections; 0 = no limit
	// MaxBorrowed limits the idle connections of other tenants that the tenant may use beyond its share; negative = no
	// limit.
	MaxBorrowed float64
}
