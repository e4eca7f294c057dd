package comb

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// PinsNote is the name under which the document of pins is agreed on.
const PinsNote = "pins"

// Bounds of a document of pins.
const (
	mostPins    = 200
	longestPinS = 86400
)

// ReadPins reads a document of pins that must be whole. It does not check what it says: see Check.
func ReadPins(body []byte) (*Pins, error) {
	if !json.Valid(body) {
		return nil, eris.New("the document of pins is not one whole JSON value")
	}
	p := &Pins{}
	if err := p.UnmarshalJSON(body); err != nil {
		return nil, eris.Errorf("the document of pins can't be read: %v", err)
	}
	return p, nil
}

// Check returns all that is wrong with a document of pins, a sentence each; none = it is valid.
func (p *Pins) Check() (faults []string) {
	say := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if len(p.Pins) > mostPins {
		say("%d pins are more than the %d that may stand", len(p.Pins), mostPins)
	}
	seen := map[string]bool{}
	for i, pin := range p.Pins {
		switch {
		case pin.Instance == "":
			say("pin number %d names no instance", i+1)
		case seen[pin.Instance]:
			say("instance %s is pinned twice", pin.Instance)
		}
		seen[pin.Instance] = true
		if pin.Stance != "in" && pin.Stance != "avoided" && pin.Stance != "out" {
			say("instance %s: the stance %q is neither in, avoided nor out", pin.Instance, pin.Stance)
		}
		if pin.ForS < 1 || pin.ForS > longestPinS {
			say("instance %s: a pin lasts 1 to %d seconds", pin.Instance, longestPinS)
		}
	}
	return faults
}
