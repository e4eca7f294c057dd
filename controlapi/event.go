package controlapi

// Event is a change of the system's state, as one controller recorded it.
type Event struct {
	Controller string  `json:"hive"`  // its address
	Sequence   uint64  `json:"no"`    // rising with each event of one incarnation of the controller
	AgeSeconds float64 `json:"age_s"` // by that controller's steady clock
	Kind       string  `json:"kind"`
	Text       string  `json:"text"`
}
