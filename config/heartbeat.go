package config

//go:generate easyjson -all beat.go

// StateDraining is what a server's heartbeat says before its planned end.
const StateDraining = "draining"

// Heartbeat is what a server says of itself. Its instance stands in the call's path.
type Heartbeat struct {
	Service              string  `json:"service"`
	Address              string  `json:"address"`
	Zone                 string  `json:"zone"`
	Version              string  `json:"version"`
	CapacitySlots        int     `json:"capacity_slots"`
	State                string  `json:"state"`
	SlowStartRemainingMS float64 `json:"cold_remaining_ms"`
	Sequence             uint64  `json:"call_sequence"`
}
