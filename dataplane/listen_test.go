package dataplane

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

var errAddressInUse = errors.New("the address is in use")

// failingNetwork refuses to listen after a number of addresses, and counts the listeners that are open.
type failingNetwork struct{ allowed, open int }

func (n *failingNetwork) Listen(string) (net.Listener, error) {
	if n.allowed == 0 {
		return nil, errAddressInUse
	}
	n.allowed--
	n.open++
	return &countedListener{network: n}, nil
}

func (n *failingNetwork) Dial(string, time.Duration) (net.Conn, error) { return nil, errAddressInUse }

type countedListener struct {
	net.Listener
	network *failingNetwork
}

func (l *countedListener) Close() error {
	l.network.open--
	return nil
}

// A gateway that can't listen on one of its addresses leaves none open.
func TestFailedListenLeavesNothingOpen(t *testing.T) {
	for allowed := range 3 {
		network := &failingNetwork{allowed: allowed}
		g := New(testProcess().settings, network, zerolog.Nop())
		if err := g.Run(t.Context()); !errors.Is(err, errAddressInUse) {
			t.Errorf("with %d addresses Run returns %v", allowed, err)
		}
		if network.open != 0 {
			t.Errorf("with %d addresses %d listeners stay open", allowed, network.open)
		}
	}
}
