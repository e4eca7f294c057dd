package config

//go:generate easyjson -all pin_document.go

// PinsDocumentName is the name under which the document of pins is committed.
const PinsDocumentName = "pins"

// The states at which a server may be pinned.
const (
	PinHealthy = "in"
	PinAvoided = "avoided"
	PinEjected = "out"
)

// PinDocument is the operators' document of servers that are kept at a state, whatever gateways observe of them.
type PinDocument struct {
	Pins []Pin `json:"pins"`
}

// Pin keeps one incarnation of a server at a state. It ends by itself: a pin that is forgotten must not outlive its reason.
type Pin struct {
	Instance        string `json:"instance"`
	State           string `json:"stance"` // PinHealthy, PinAvoided or PinEjected
	DurationSeconds int    `json:"for_s"`  // from when a gateway receives it, 1 to 86400
	Reason          string `json:"why"`    // for operators
}
