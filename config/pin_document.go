package config

//go:generate easyjson -all pin_document.go

// PinsDocumentName is the name under which the document of pins is committed.
const PinsDocumentName = "pins"

// The states in which a server may be pinned.
const (
	PinHealthy = "in"
	PinAvoided = "avoided"
	PinEjected = "out"
)

// PinDocument lists the servers that operators have fixed in a state, regardless of what gateways observe.
type PinDocument struct {
	Pins []Pin `json:"pins"`
}

// Pin fixes one incarnation of a server in a state for a limited time, so that a forgotten pin does not stay in effect after the
// reason for it has passed.
type Pin struct {
	Instance        string `json:"instance"`
	State           string `json:"stance"` // PinHealthy, PinAvoided or PinEjected
	DurationSeconds int    `json:"for_s"`  // from the time at which a gateway receives the pin; 1 to 86400
	Reason          string `json:"why"`    // for operators
}
