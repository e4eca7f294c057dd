package controlapi

// Rollout is the state of a service's newest rollout.
type Rollout struct {
	Service       string  `json:"service"`
	State         string  `json:"state"` // running, completed or reverted
	TargetVersion string  `json:"target_version"`
	DurationS     float64 `json:"duration_s"`
	Step          int     `json:"step"`
	Share         float64 `json:"share"` // fraction of the service's requests that may be sent to the target version
	Reason        string  `json:"reason,omitempty"`
}
