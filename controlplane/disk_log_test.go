package controlplane

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// Updates that the store refuses because the disk has a backlog are logged, but at a limited rate.
func TestRefusedUpdatesAreLogged(t *testing.T) {
	c := newTestController(t)
	var log bytes.Buffer
	endpoint := newAcceptorEndpoint(c.store, c.loop, c.clock, c, zerolog.New(&log))
	release := make(chan struct{})
	c.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState { <-release; return s }, func(consensus.AcceptorState, error) {})
	for range 200 {
		endpoint.handlePrepare(&rpc.Prepare{Acceptor: uint64(c.self.id), Ballot: &rpc.Ballot{Number: 1}}, func(*rpc.PrepareReply) {})
	}
	close(release)
	if lines := strings.Count(log.String(), "acceptor: update refused"); lines < 1 || lines > 2*diskLogBurst {
		t.Errorf("%d log lines for up to 200 refused updates: %s", lines, log.String())
	}
}
