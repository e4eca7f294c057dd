package config

//go:generate easyjson -all heartbeat.go

// StateDraining is the state that a server's heartbeats carry before a planned shutdown. Any other state means that the server is
// ready.
const StateDraining = "draining"

// Heartbeat is the body of a server's heartbeat request. The path of the request contains the server's instance id.
type Heartbeat struct {
	Service              string  `json:"service"`
	Address              string  `json:"address"`
	Zone                 string  `json:"zone"`
	Version              string  `json:"version"`        // version of the server's program
	CapacitySlots        int     `json:"capacity_slots"` // number of requests that the server handles concurrently
	State                string  `json:"state"`
	SlowStartRemainingMS float64 `json:"cold_remaining_ms"` // remaining time of slow start; 0 = slow start is over
	Sequence             uint64  `json:"call_sequence"`     // increases with each heartbeat of an instance
}
