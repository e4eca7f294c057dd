package dataplane

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/rendezvous"
)

// process holds what the components of one gateway share: its identity, its environment and its state.
type process struct {
	settings    *settings.Settings
	network     network.Network
	log         zerolog.Logger
	name        rendezvous.Name // the internal address, by which gateways know each other
	incarnation uint64          // drawn at each start, never 0

	ready      atomic.Bool    // a configuration and servers are known
	draining   atomic.Bool    // it is shutting down gracefully
	goroutines sync.WaitGroup // Run returns when all have ended
	counters   counters
}

func newProcess(options *settings.Settings, transport network.Network, log zerolog.Logger) *process {
	return &process{
		settings:    options,
		network:     transport,
		log:         log,
		name:        rendezvous.Name(options.InternalAddress(settings.GatewayPort)),
		incarnation: newIncarnation(),
	}
}

func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// idSequence numbers requests, shard calls and servers, from 1.
type idSequence struct{ last uint64 }

func (s *idSequence) next() uint64 {
	s.last++
	return s.last
}
