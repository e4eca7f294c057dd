package config

// Limits of a document of pins.
const (
	maxPins       = 200
	maxPinSeconds = 86400 // a day
)

// Validate returns all problems of a document of pins, one sentence for each. A document without problems is valid.
func (d *PinDocument) Validate() []string {
	var found problems
	if len(d.Pins) > maxPins {
		found.addf("%d pins are more than the %d allowed", len(d.Pins), maxPins)
	}
	seen := map[string]bool{}
	for i, pin := range d.Pins {
		switch {
		case pin.Instance == "":
			found.addf("pin number %d names no instance", i+1)
		case seen[pin.Instance]:
			found.addf("instance %s is pinned twice", pin.Instance)
		}
		seen[pin.Instance] = true
		if pin.State != PinHealthy && pin.State != PinAvoided && pin.State != PinEjected {
			found.addf("instance %s: the state %q is neither %s, %s nor %s", pin.Instance, pin.State, PinHealthy, PinAvoided, PinEjected)
		}
		if pin.DurationSeconds < 1 || pin.DurationSeconds > maxPinSeconds {
			found.addf("instance %s: a pin lasts 1 to %d seconds", pin.Instance, maxPinSeconds)
		}
	}
	return found
}
