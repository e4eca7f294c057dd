package quota

type (
	// TenantID numbers the tenants at one gateway. IDs of tenants that are gone are reused.
	TenantID int
	// ServerID numbers the servers, as the gateway does.
	ServerID uint32
	// Service names a group of servers that is shared as one.
	Service string
)

// TenantPolicy is what a tenant is entitled to. Floor, Max and MaxBorrowed count connections at one server, over all gateways; a
// gateway applies its portion of them.
type TenantPolicy struct {
	Name   string
	Weight float64 // relative to other tenants; above 0
	Floor  float64 // guaranteed, and never lent to other tenants; 0 = none
	Max    float64 // 0 = no limit
	// MaxBorrowed limits the connections beyond the tenant's share that it may take of those that others leave idle;
	// negative = no limit.
	MaxBorrowed float64
}
