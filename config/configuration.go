// Package config defines what operators configure and controllers commit: the configuration of routes and services, and the
// documents of tenants and of pins. It also defines the body of a server's heartbeat. It parses and validates them, and looks
// up the route of a request and the tenant of a route.
//
// The JSON forms are stored and exchanged with programs of other releases, so their names and types must not change. Unknown
// fields are ignored. The package performs no I/O, reads no clock and starts no goroutines.
package config

//go:generate easyjson -all configuration.go

// Configuration is one version of the routes and services. Times are in milliseconds.
type Configuration struct {
	Version  uint64    `json:"version"` // above 0, increases with each configuration
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// The kinds of routes.
const (
	Retryable    = "retryable"     // requests may be sent more than once
	NonRetryable = "non_retryable" // requests must not be sent again once a server may have received them
)

// Route determines where the requests for a host and a path prefix are sent: to Service, to one of WeightedServices, or to all
// of GatheredServices, whose responses are merged.
type Route struct {
	Name             string            `json:"name"`        // identifies the route in validation problems and explanations
	Hostname         string            `json:"hostname"`    // case-insensitive, without a port
	PathPrefix       string            `json:"path_prefix"` // begins and ends with a slash
	RouteKind        string            `json:"route_kind"`  // Retryable or NonRetryable
	TimeoutMS        float64           `json:"timeout_ms"`  // timeout that clients usually have; above 0
	TargetMS         float64           `json:"target_ms"`   // latency target; 0 = none
	Priority         int               `json:"priority"`    // not used
	Service          string            `json:"service,omitempty"`
	WeightedServices []WeightedService `json:"weighted_services,omitempty"`
	GatheredServices []string          `json:"gathered_services,omitempty"`
	Attempts         int               `json:"attempts"`                // maximum number of attempts for each shard call, including the first; below 1 = 1
	TopRecords       int               `json:"top_records,omitempty"`   // maximum number of records in the merged response
	MinimumShare     float64           `json:"minimum_share,omitempty"` // share of the gathered services that must have responded, 0 to 1; at least one service
}

// WeightedService is a service of a route and its weight relative to the route's other weighted services.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // 0 or above
}

// Service is a set of interchangeable servers.
type Service struct {
	Name              string `json:"name"`
	HealthPath        string `json:"health_path"`        // path of the servers' health checks; "" = /health
	ConnectionLimit   int    `json:"connection_limit"`   // maximum number of connections to each server from all gateways; 0 = no limit
	Protocol          string `json:"protocol"`           // not used
	TransportSecurity bool   `json:"transport_security"` // not used
}

// Limits are the limits on the size of clients' requests, on the time to receive their headers, and on the time that connections
// may be idle. A limit of 0 or below selects the gateway's default.
type Limits struct {
	HeaderBytes     int     `json:"header_bytes"`      // maximum size of a request's header
	BodyBytes       int     `json:"body_bytes"`        // maximum size of a request's body
	HeaderTimeoutMS float64 `json:"header_timeout_ms"` // maximum time between the first and the last byte of a header
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`   // maximum time between two requests on a connection
}

// Services returns all services of a route without duplicates.
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

// Gathered reports whether responses of the route are merged from those of several services.
func (r *Route) Gathered() bool { return len(r.GatheredServices) > 0 }
