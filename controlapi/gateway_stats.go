package controlapi

// GatewayTenants is the connection usage of the tenants at one gateway.
type GatewayTenants struct {
	Gateway        string            `json:"node"` // address of the gateway
	Zone           string            `json:"zone"`
	Version        uint64            `json:"version"`         // of the configuration that is active there
	TenantsVersion uint64            `json:"tenants_version"` // of the tenants document that is active there
	Connections    []ConnectionUsage `json:"holdings"`
	Waits          []WaitStats       `json:"waits"`
}

// ConnectionUsage is a tenant's use of one server's connections.
type ConnectionUsage struct {
	Tenant    string  `json:"tenant"`
	Service   string  `json:"service"`
	Instance  string  `json:"instance"`
	InUse     uint32  `json:"held"`  // current number of connections
	Borrowed  uint32  `json:"lent"`  // of these, those that exceed the tenant's share
	Limit     uint32  `json:"part"`  // of the gateway's connections to this server; 0 = no limit
	Share     float64 `json:"own"`   // the tenant's share of the limit, in connections
	WantsMore bool    `json:"wants"` // a further connection was recently denied to it and it still waits for one
}

// WaitStats describes how long a tenant's requests waited for connections in the last minute. Times are in milliseconds and cover
// only the requests that waited.
type WaitStats struct {
	Tenant   string  `json:"tenant"`
	Requests uint64  `json:"requests"`
	Waited   uint64  `json:"waited"`  // number of requests with a shard call that waited
	Waiting  uint32  `json:"waiting"` // current number of waiting requests
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"most_ms"`
}

// GatewayOutliers holds one gateway's verdicts on the servers that are not plainly healthy.
type GatewayOutliers struct {
	Gateway string           `json:"node"` // address of the gateway
	Zone    string           `json:"zone"`
	Servers []OutlierVerdict `json:"servers"`
}

// OutlierVerdict is a gateway's verdict on one server.
type OutlierVerdict struct {
	Instance     string        `json:"instance"`
	Service      string        `json:"service"`
	State        string        `json:"stance"`
	Reason       string        `json:"why"`
	SinceSeconds float64       `json:"since_s"` // time since the state was entered
	Factor       float64       `json:"factor"`  // by which it is predicted to be slower than the gateway's record of it; 1 = as fast as recorded
	Pinned       bool          `json:"pinned,omitempty"`
	Observations []Observation `json:"words,omitempty"` // on which the state is based
}

// Observation is one gateway's observation of a server.
type Observation struct {
	Observer   string  `json:"observer"` // the gateway's incarnation, in hexadecimal
	Kind       string  `json:"kind"`
	Ratio      float64 `json:"ratio,omitempty"` // ratio of its time per unit of work to that of its peers; 0 = not measured
	AgeSeconds float64 `json:"age_s"`
}
