package outlier

import "time"

type (
	// Observer is one incarnation of a gateway.
	Observer uint64
	// Instance is one incarnation of a server.
	Instance string
	// Shard names servers that can substitute for each other.
	Shard string
)

// Kind is what an observer saw of a server. The values are sent between gateways.
type Kind uint8

const (
	// ObservedHealthy means that the server responds, as fast as its peers.
	ObservedHealthy Kind = iota
	// ObservedSlow means that the server responds several times slower than its peers.
	ObservedSlow
	// ObservedUnresponsive means that responses of the server are overdue.
	ObservedUnresponsive
	// ObservedRefused means that the server's address refuses connections.
	ObservedRefused
)

// String returns the name that is sent to operators.
func (k Kind) String() string {
	return [...]string{"well", "slow", "silent", "refused"}[min(k, ObservedRefused)]
}

// Observation is what one observer last saw of one server.
type Observation struct {
	Server     Instance
	Observer   Observer
	Sequence   uint32 // of two observations of an observer the one with the higher number is newer
	Kind       Kind
	Ratio      float64       // time per unit of work, relative to the server's peers; 0 = not measured
	Responses  int           // that it is based on
	Backoff    time.Duration // set when a probe of an ejected server failed: the time until the next probe
	ObservedAt time.Duration // on the receiver's clock
	Hops       int           // how often it was forwarded
}

// MaxHops is how often an observation is forwarded. Each gateway forwards to four others, so that this reaches several hundred.
const MaxHops = 5
