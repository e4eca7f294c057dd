package outlier

import "time"

type (
	// Observer identifies one incarnation of a gateway.
	Observer uint64
	// Instance identifies one incarnation of a server.
	Instance string
	// Shard identifies a set of servers that are interchangeable.
	Shard string
)

// Kind classifies an observation. The values are part of the protocol between gateways.
type Kind uint8

const (
	// ObservedHealthy means that the server responds about as fast as its peers.
	ObservedHealthy Kind = iota
	// ObservedSlow means that the server takes several times as long per unit of work as its peers.
	ObservedSlow
	// ObservedUnresponsive means that responses of the server are overdue.
	ObservedUnresponsive
	// ObservedRefused means that the server's address refuses connections.
	ObservedRefused
)

// String returns the name that operators read.
func (k Kind) String() string {
	return [...]string{"well", "slow", "silent", "refused"}[min(k, ObservedRefused)]
}

// Observation is the latest observation of one server by one observer.
type Observation struct {
	Server     Instance
	Observer   Observer
	Sequence   uint32 // increases with each observation of the observer
	Kind       Kind
	Ratio      float64       // time per unit of work relative to the server's peers; 0 = not measured
	Responses  int           // number of responses on which the observation is based
	Backoff    time.Duration // if a probe of an ejected server failed, the delay until the next probe; otherwise 0
	ObservedAt time.Duration // time of the observation on the receiver's clock
	Hops       int           // number of times that the observation was forwarded
}

// MaxHops is the maximum number of times that an observation is forwarded. Each gateway forwards to four others, so five hops reach
// several hundred gateways.
const MaxHops = 5
