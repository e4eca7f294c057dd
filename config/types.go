// Package config is the operator's configuration, as the hive stores it and as foragers follow it: its form, what makes it
// invalid, and which route a request takes. It has no I/O, no clock and no goroutine.
package config

//go:generate easyjson -all types.go

// Configuration is one version of what the operator wants. Times are in milliseconds.
type Configuration struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route says where the requests of one host and prefix go.
type Route struct {
	Name             string            `json:"name"`
	Hostname         string            `json:"hostname"`
	PathPrefix       string            `json:"path_prefix"` // begins and ends with a slash
	RouteKind        string            `json:"route_kind"`  // retryable, non_retryable
	TimeoutMS        float64           `json:"timeout_ms"`
	TargetMS         float64           `json:"target_ms"`
	Priority         int               `json:"priority"`
	Service          string            `json:"service,omitempty"`
	WeightedServices []WeightedService `json:"weighted_services,omitempty"`
	GatheredServices []string          `json:"gathered_services,omitempty"`
	Attempts         int               `json:"attempts"`
	TopRecords       int               `json:"top_records,omitempty"`
	MinimumShare     float64           `json:"minimum_share,omitempty"`
}

// WeightedService is a service and its weight among those of its route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of servers that answer equally well.
type Service struct {
	Name              string `json:"name"`
	HealthPath        string `json:"health_path"`
	ConnectionLimit   int    `json:"connection_limit"` // per server, for all callers together
	Protocol          string `json:"protocol"`
	TransportSecurity bool   `json:"transport_security"`
}

// Limits bound what clients may send, how long they may take and stay idle.
type Limits struct {
	HeaderBytes     int     `json:"header_bytes"`
	BodyBytes       int     `json:"body_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
}
