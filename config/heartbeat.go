package config

//go:generate easyjson -all heartbeat.go

// StateDraining is the state in a server's heartbeats before its planned end. Any other means that it is ready.
const StateDraining = "draining"

// Heartbeat is the body of a server's heartbeat. The server's instance id is in the request's path.
type Heartbeat struct {
	Service              string  `json:"service"`
	Address              string  `json:"address"`
	Zone                 string  `json:"zone"`
	Version              string  `json:"version"`        // of the server's program
	CapacitySlots        int     `json:"capacity_slots"` // requests that it handles at once
	State                string  `json:"state"`
	SlowStartRemainingMS float64 `json:"cold_remaining_ms"` // 0 = it is warm
	Sequence             uint64  `json:"call_sequence"`     // rising with each heartbeat of an instance
}
