package controlapi

// Event is something that the system did or saw, as one controller recorded it.
type Event struct {
	Controller string  `json:"hive"`
	Sequence   uint64  `json:"no"`
	AgeSeconds float64 `json:"age_s"` // by that controller's steady clock
	Kind       string  `json:"kind"`
	Text       string  `json:"text"`
}
