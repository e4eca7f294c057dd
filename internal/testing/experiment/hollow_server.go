package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/network"
)

const (
	// heartbeatTimeout is the maximum time for connecting and for an acknowledgement.
	heartbeatTimeout = time.Second
	// heartbeatAttempts is the maximum number of attempts to send a heartbeat.
	heartbeatAttempts = 4
	// serverStateReady is the state of a server that accepts requests.
	serverStateReady = "ready"
	// controlBufferSize is the size of the buffer for reading a response.
	controlBufferSize = 512
)

// hollowServer sends heartbeats and serves no requests.
type hollowServer struct {
	fleet                  *hollowFleet
	connection             *sharedConnection
	service, address, zone string

	lock                   channelLock // guards the fields below
	id                     string      // of the incarnation
	sequence               uint64      // of the last heartbeat
	draining, unresponsive bool
	acknowledgedAt         time.Time // of the last acknowledged heartbeat
}

func newInstanceID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// run sends heartbeats until the fleet ends.
func (s *hollowServer) run() {
	tick := time.NewTicker(s.fleet.heartbeatInterval)
	defer tick.Stop()
	for {
		s.heartbeat()
		select {
		case <-tick.C:
		case <-s.fleet.ctx.Done():
			return
		}
	}
}

// heartbeat sends a heartbeat, retries with another controller if it is not acknowledged, and returns the time of the
// acknowledgement.
func (s *hollowServer) heartbeat() (at time.Time, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.unresponsive {
		return at, false
	}
	s.sequence++
	heartbeat := config.Heartbeat{
		Service:       s.service,
		Address:       s.address,
		Zone:          s.zone,
		Version:       "v1",
		CapacitySlots: 3,
		State:         serverStateReady,
		Sequence:      s.sequence,
	}
	if s.draining {
		heartbeat.State = config.StateDraining
	}
	text, err := json.Marshal(heartbeat)
	if err != nil {
		return at, false
	}
	for range heartbeatAttempts {
		if elapsed, ok := s.connection.post("/-/instances/"+s.id+"/heartbeat", text); ok {
			s.acknowledgedAt = time.Now()
			s.fleet.ackLatency.Add(elapsed)
			s.fleet.acknowledged.Add(1)
			return s.acknowledgedAt, true
		}
		if s.fleet.ctx.Err() != nil {
			return at, false
		}
		s.fleet.unacknowledged.Add(1)
	}
	return at, false
}

// drain announces that the server is draining and returns the time of the acknowledgement.
func (s *hollowServer) drain() (at time.Time, ok bool) {
	s.lock.Lock()
	s.draining = true
	s.lock.Unlock()
	return s.heartbeat()
}

// restart deregisters the server's incarnation and starts another one at its address. It reports whether both were
// acknowledged.
func (s *hollowServer) restart() bool {
	s.lock.Lock()
	_, signedOff := s.connection.post("/-/instances/"+s.id+"/sign-off", []byte("{}"))
	s.id, s.sequence, s.draining, s.unresponsive = newInstanceID(), 0, false, false
	s.lock.Unlock()
	_, acknowledged := s.heartbeat()
	return signedOff && acknowledged
}

// stopHeartbeats ends the heartbeats and returns the time of the last acknowledgement.
func (s *hollowServer) stopHeartbeats() time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.unresponsive = true
	return s.acknowledgedAt
}

// sharedConnection is a connection to a controller that several hollow servers share.
type sharedConnection struct {
	net       network.Network
	addresses []string // of the controllers

	lock   channelLock // guards the fields below
	next   int         // index of the controller, modulo their number
	conn   net.Conn    // nil = none
	reader *bufio.Reader
}

func newSharedConnection(fleet *hollowFleet, first int) *sharedConnection {
	return &sharedConnection{
		net:       fleet.net,
		addresses: fleet.controlAddresses,
		lock:      newChannelLock(),
		next:      first,
	}
}

// post sends a request and returns the elapsed time and whether it was acknowledged. If it was not, the next request goes to
// another controller.
func (c *sharedConnection) post(path string, body []byte) (elapsed time.Duration, ok bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	start := time.Now()
	status, err := c.exchange(path, body)
	ok = err == nil && status == http.StatusOK
	if !ok {
		c.close()
		c.next++
	}
	return time.Since(start), ok
}

// exchange sends a request and returns the response's status.
func (c *sharedConnection) exchange(path string, body []byte) (int, error) {
	address := c.addresses[c.next%len(c.addresses)]
	if c.conn == nil {
		conn, err := c.net.Dial(address, heartbeatTimeout)
		if err != nil {
			return 0, err
		}
		c.conn, c.reader = conn, bufio.NewReaderSize(conn, controlBufferSize)
	}
	c.conn.SetDeadline(time.Now().Add(heartbeatTimeout))
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, address, len(body))
	request.Write(body)
	if _, err := c.conn.Write(request.Bytes()); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (c *sharedConnection) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// channelLock is a lock that, unlike a sync.Mutex, may be held across waits in simulated time: a goroutine that waits for it
// is durably blocked in the sense of testing/synctest.
type channelLock chan struct{}

func newChannelLock() channelLock { return make(channelLock, 1) }

// Lock acquires the lock.
func (l channelLock) Lock() { l <- struct{}{} }

// Unlock releases the lock.
func (l channelLock) Unlock() { <-l }
