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

// process holds the state that the components of one gateway share: its identity, settings, network, log, status and counters.
type process struct {
	settings    *settings.Settings
	network     network.Network
	log         zerolog.Logger
	name        rendezvous.Name // the internal address, which identifies the gateway to other gateways
	incarnation uint64          // random at each start, never 0

	ready      atomic.Bool    // a configuration and servers are known
	draining   atomic.Bool    // the gateway is shutting down gracefully
	goroutines sync.WaitGroup // Run returns after all of them have ended
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

// newIncarnation returns a random number other than 0.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// idSequence generates ids for requests, shard calls and servers, starting at 1.
type idSequence struct{ last uint64 }

func (s *idSequence) next() uint64 {
	s.last++
	return s.last
}
