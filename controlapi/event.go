package controlapi

// Event is a change of the system's state that a controller recorded.
type Event struct {
	Controller string  `json:"hive"`  // address of the controller that recorded the event
	Sequence   uint64  `json:"no"`    // increases with each event of one incarnation of the controller
	AgeSeconds float64 `json:"age_s"` // measured with that controller's monotonic clock
	Kind       string  `json:"kind"`
	Text       string  `json:"text"`
}
