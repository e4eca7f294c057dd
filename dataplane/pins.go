package dataplane

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/outlier"
	"oxbowspan/rpc"
)

// pinSet is the active pin document: outlier states that operators fixed for a limited time.
type pinSet struct {
	version uint64 // 0 = none is active
	pins    map[string]pin
}

// pin fixes one server's outlier state.
type pin struct {
	state  outlier.State
	endsAt balancer.Time
}

// pinStates maps the state names of a pin document to outlier states.
var pinStates = map[string]outlier.State{"in": outlier.Healthy, "avoided": outlier.Avoided, "out": outlier.Ejected}

// applyPins makes a pin document the active one, unless the same or a newer version is active already. Each pin holds from now for its
// duration less the document's age.
func (o *outlierClient) applyPins(document *rpc.Document) {
	if document.Version <= o.pins.version {
		return
	}
	parsed, err := config.ParsePins(document.Body)
	if err != nil {
		o.process.log.Error().Err(err).Uint64("version", document.Version).Msg("outlier: invalid pin document ignored")
		return
	}
	previous := o.pins.pins
	o.pins = pinSet{version: document.Version, pins: map[string]pin{}}
	age := time.Duration(document.AgeMs) * time.Millisecond
	for _, configured := range parsed.Pins {
		remaining := time.Duration(configured.DurationSeconds)*time.Second - age
		next := pin{state: pinStates[configured.State], endsAt: o.loop.now() + ticks(remaining)}
		if old, pinned := previous[configured.Instance]; pinned && old.state == next.state && old.endsAt > 0 {
			next.endsAt = min(old.endsAt, next.endsAt) // a pin that is sent again is not prolonged
		}
		o.pins.pins[configured.Instance] = next
	}
	for instance := range previous {
		if _, pinned := o.pins.pins[instance]; !pinned {
			o.unpin(instance, o.loop.now())
		}
	}
	o.process.log.Info().Uint64("version", document.Version).Int("pins", len(parsed.Pins)).Msg("outlier: pins active")
	o.enforcePins(o.loop.now())
}

// enforcePins applies the pins to the detector and removes expired ones.
func (o *outlierClient) enforcePins(now balancer.Time) {
	for instance, p := range o.pins.pins {
		if now >= p.endsAt {
			delete(o.pins.pins, instance)
			o.unpin(instance, now)
			o.process.log.Info().Str("instance", instance).Msg("outlier: pin expired")
			continue
		}
		status := o.detector.Status(outlier.Instance(instance))
		if !status.Pinned || status.State != p.state {
			o.detector.Pin(outlier.Instance(instance), &p.state, duration(now))
		}
	}
}

// unpin removes the pin of a server from the detector.
func (o *outlierClient) unpin(instance string, now balancer.Time) {
	o.detector.Pin(outlier.Instance(instance), nil, duration(now))
}
