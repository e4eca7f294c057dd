// Package config holds what operators configure and controllers commit: the configuration of routes and services, the
// documents of tenants and of pins beside it, and the body of a server's heartbeat. It parses and validates them, and finds
// the route of a request and the tenant of a route.
//
// The JSON forms are stored and exchanged with programs of other releases: their names and types must not change. Unknown
// fields are ignored. The package has no I/O, no clock and no goroutines.
package config

//go:generate easyjson -all configuration.go

// Configuration is one version of the routes and services. Times are in milliseconds.
type Configuration struct {
	Version  uint64    `json:"version"` // above 0, rising
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// The kinds of routes.
const (
	Retryable    = "retryable"     // requests may be sent more than once
	NonRetryable = "non_retryable" // requests must not be sent again once a server may have received them
)

// Route says where the requests of one host and path prefix go: to Service, to one of WeightedServices, or to all of
// GatheredServices, whose answers are merged.
type Route struct {
	Name             string            `json:"name"`        // in problems and explanations
	Hostname         string            `json:"hostname"`    // in any case, without a port
	PathPrefix       string            `json:"path_prefix"` // begins and ends with a slash
	RouteKind        string            `json:"route_kind"`  // Retryable or NonRetryable
	TimeoutMS        float64           `json:"timeout_ms"`  // the clients' usual time-out; above 0
	TargetMS         float64           `json:"target_ms"`   // latency target; 0 = none
	Priority         int               `json:"priority"`    // not used
	Service          string            `json:"service,omitempty"`
	WeightedServices []WeightedService `json:"weighted_services,omitempty"`
	GatheredServices []string          `json:"gathered_services,omitempty"`
	Attempts         int               `json:"attempts"`                // of each shard call at most, the first included; below 1 = 1
	TopRecords       int               `json:"top_records,omitempty"`   // of the merged answer, at most
	MinimumShare     float64           `json:"minimum_share,omitempty"` // of the gathered services that must have answered, 0 to 1; one service at least
}

// WeightedService is a service and its weight among those of its route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // 0 or above
}

// Service is a set of servers that answer alike.
type Service struct {
	Name              string `json:"name"`
	HealthPath        string `json:"health_path"`        // of the servers' health checks; "" = /health
	ConnectionLimit   int    `json:"connection_limit"`   // of each server, for all gateways together; 0 = no limit
	Protocol          string `json:"protocol"`           // not used
	TransportSecurity bool   `json:"transport_security"` // not used
}

// Limits bound what clients may send, how long they may take for it, and how long their connections may be idle. A limit of 0
// or below stands for the gateway's default.
type Limits struct {
	HeaderBytes     int     `json:"header_bytes"`      // of a request's header
	BodyBytes       int     `json:"body_bytes"`        // of a request's body
	HeaderTimeoutMS float64 `json:"header_timeout_ms"` // from the first byte of a header to its last
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`   // between two requests of a connection
}

// Services returns all services that a route names, each once.
func (r *Route) Services() []string {
	var names []string
	seen := map[string]bool{}
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	if r.Service != "" {
		add(r.Service)
	}
	for _, w := range r.WeightedServices {
		add(w.Service)
	}
	for _, name := range r.GatheredServices {
		add(name)
	}
	return names
}

// Gathered reports whether a route's answers are merged from those of several services.
func (r *Route) Gathered() bool { return len(r.GatheredServices) > 0 }
