package config

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// PinsDocumentName is the name under which the document of pins is agreed on.
const PinsDocumentName = "pins"

// Bounds of a document of pins.
const (
	maxPins       = 200
	maxPinSeconds = 86400
)

// ParsePins reads a document of pins that must be whole. It does not check what it says: see Check.
func ParsePins(body []byte) (*PinDocument, error) {
	if !json.Valid(body) {
		return nil, eris.New("the document of pins is not one whole JSON value")
	}
	p := &PinDocument{}
	if err := p.UnmarshalJSON(body); err != nil {
		return nil, eris.Errorf("the document of pins can't be read: %v", err)
	}
	return p, nil
}

// Validate returns all that is wrong with a document of pins, a sentence each; none = it is valid.
func (p *PinDocument) Validate() (problems []string) {
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if len(p.Pins) > maxPins {
		report("%d pins are more than the %d that may stand", len(p.Pins), maxPins)
	}
	seen := map[string]bool{}
	for i, pin := range p.Pins {
		switch {
		case pin.Instance == "":
			report("pin number %d names no instance", i+1)
		case seen[pin.Instance]:
			report("instance %s is pinned twice", pin.Instance)
		}
		seen[pin.Instance] = true
		if pin.State != "in" && pin.State != "avoided" && pin.State != "out" {
			report("instance %s: the stance %q is neither in, avoided nor out", pin.Instance, pin.State)
		}
		if pin.DurationSeconds < 1 || pin.DurationSeconds > maxPinSeconds {
			report("instance %s: a pin lasts 1 to %d seconds", pin.Instance, maxPinSeconds)
		}
	}
	return problems
}
