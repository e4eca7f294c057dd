package config

//go:generate easyjson -all pins.go

// PinDocument is the operators' document of servers that are held at a stance, whatever is seen of them.
type PinDocument struct {
	Pins []Pin `json:"pins"`
}

// Pin holds one life of a server. It ends by itself: a pin that is forgotten must not outlive its reason.
type Pin struct {
	Instance        string `json:"instance"`
	State           string `json:"stance"` // in, avoided, out
	DurationSeconds int    `json:"for_s"`  // from when a gatherer takes it up, 1 to 86400
	Reason          string `json:"why"`
}
