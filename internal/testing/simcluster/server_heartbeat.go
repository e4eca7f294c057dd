package simcluster

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"oxbowspan/config"
)

const (
	heartbeatAttempts = 4 // each at a random controller
	reportedCapacity  = 3
	reportedVersion   = "v1"
	stateReady        = "ready"

	// drainSequence is greater than the sequence number of any periodic heartbeat, so that no such heartbeat revokes a drain.
	drainSequence = 1 << 30
)

// sendHeartbeats sends periodic heartbeats until the context ends.
func (s *Server) sendHeartbeats(ctx context.Context) {
	client := s.cluster.httpClient(s.IP, controlCallTimeout)
	defer client.CloseIdleConnections()
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		s.announce(ctx, client, s.state(), sequence)
		select {
		case <-time.After(s.cluster.HeartbeatInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Server) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return config.StateDraining
	}
	return stateReady
}

// Drain announces that the server is draining. The server continues to serve requests. Drain returns the time at which a
// controller acknowledged the announcement, or the zero time if none did.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	client := s.cluster.httpClient(s.IP, controlCallTimeout)
	defer client.CloseIdleConnections()
	if !s.announce(context.Background(), client, config.StateDraining, drainSequence) {
		return time.Time{}
	}
	return time.Now()
}

// SignOff signs the server off, as its last call to a controller. The server continues to serve requests. SignOff returns the time at which
// a controller acknowledged the sign-off, or the zero time if none did.
func (s *Server) SignOff() time.Time {
	s.stopHeartbeats()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	client := s.cluster.httpClient(s.IP, controlCallTimeout)
	defer client.CloseIdleConnections()
	for range heartbeatAttempts {
		address := s.cluster.randomController().ControlAddress()
		if post(context.Background(), client, address, signOffPath(s.Instance), nil, nil) == http.StatusOK {
			return time.Now()
		}
	}
	return time.Time{}
}

// announce sends a heartbeat to random controllers until one acknowledges it or heartbeatAttempts attempts have failed. It
// reports whether the heartbeat was acknowledged.
func (s *Server) announce(ctx context.Context, client *http.Client, state string, sequence uint64) bool {
	body := s.heartbeat(state, sequence)
	for range heartbeatAttempts {
		address := s.cluster.randomController().ControlAddress()
		if post(ctx, client, address, heartbeatPath(s.Instance), body, nil) == http.StatusOK {
			return true
		}
	}
	return false
}

// heartbeat returns the body of a heartbeat.
func (s *Server) heartbeat(state string, sequence uint64) []byte {
	body, _ := json.Marshal(config.Heartbeat{ // a struct of plain values always marshals
		Service:       s.Service,
		Address:       s.Address(),
		Zone:          zoneOf(s.IP),
		Version:       cmp.Or(s.Version, reportedVersion),
		CapacitySlots: reportedCapacity,
		State:         state,
		Sequence:      sequence,
	})
	return body
}

func heartbeatPath(instance string) string { return instancePath(instance, "heartbeat") }

func signOffPath(instance string) string { return instancePath(instance, "sign-off") }

func instancePath(instance, call string) string { return "/-/instances/" + instance + "/" + call }

// randomController returns a random controller, whether it runs or not.
func (c *Cluster) randomController() *ControllerNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Controllers[rand.IntN(len(c.Controllers))]
}
