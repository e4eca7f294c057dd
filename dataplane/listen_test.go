package dataplane

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

var errAddressInUse = errors.New("the address is in use")

// failingNetwork fails Listen after a number of successful calls, and counts the open listeners.
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

// countedListener decrements its network's count of open listeners when it is closed.
type countedListener struct {
	net.Listener
	network *failingNetwork
}

func (l *countedListener) Close() error {
	l.network.open--
	return nil
}

// A gateway that fails to listen on one of its addresses closes the listeners that it has already opened.
func TestFailedListenClosesListeners(t *testing.T) {
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
