package controlapi

// Rollout is how a service's newest rollout stands.
type Rollout struct {
	Service       string  `json:"service"`
	State         string  `json:"state"` // running, completed or reverted
	TargetVersion string  `json:"target_version"`
	DurationS     float64 `json:"duration_s"`
	Step          int     `json:"step"`
	Share         float64 `json:"share"` // of the service's requests that may reach the target version
	Reason        string  `json:"reason,omitempty"`
}
