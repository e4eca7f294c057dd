package degradation

import (
	"fmt"
	"slices"
)

// Signal is an input of the level decision. A higher value is worse for every signal.
type Signal uint8

// The signals.
const (
	LostCapacity        Signal = iota // share of the usual number of servers that is missing, from 0 to 1
	LoadRatio                         // shard calls in flight divided by the in-flight limit
	LateRatio                         // share of the requests of the worst query type that were late or unanswered
	ServerListAge                     // seconds for which the discovery service has been failing
	WarmingUp                         // share of the ready servers that are in slow start
	StoreUnavailable                  // 1 = the store accepts no writes, 0 = it does
	SegmentLostCapacity               // share of a segment's usual number of servers that is missing; known only to the segment's machine
	NumSignals                        // number of signals
)

var signalNames = [NumSignals]string{"lost", "load", "late", "list_age", "cold", "store", "segment_lost"}

// String returns the signal's name in configuration files and log lines.
func (s Signal) String() string {
	if s >= NumSignals {
		return fmt.Sprintf("signal(%d)", uint8(s))
	}
	return signalNames[s]
}

// ParseSignal returns the signal with a name, and whether such a signal exists.
func ParseSignal(name string) (Signal, bool) {
	i := slices.Index(signalNames[:], name)
	return Signal(max(i, 0)), i >= 0
}

// Reading is the value of one signal, if known. An unknown reading neither enters nor holds a level.
type Reading struct {
	Value float64
	Known bool
}

// Readings holds one reading of each signal.
type Readings [NumSignals]Reading
