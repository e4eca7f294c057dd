// Package standin provides the systems around a gatherer for tests and experiments, written from their protocols: shard
// servers, the discovery service, clients, and a dataset with known content whose rows the shard servers return. Everything
// listens and connects on loopback only. Faults are reproducible: random decisions are drawn from seeds.
//
// The package uses only the frame codec and the types that both sides exchange from the gatherer's code. Correct results are
// computed independently, so that an error in the gatherer is not repeated here.
package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"

	"oxbowspan/internal/frame"
)

const (
	// loopbackAddress is the listen address of stand-ins: any free port.
	loopbackAddress = "127.0.0.1:0"
	// defaultZone is the zone of shard servers unless another is set.
	defaultZone = "a"
	// callLogSize is the capacity of ShardServer.Received.
	callLogSize = 10_000
	// maxFrameBytes is the maximum size of a frame that a shard server reads.
	maxFrameBytes = 4 << 20
	// frameLengthBytes is the size of the length field before each frame.
	frameLengthBytes = 4
	// cancelPrefix precedes the id of a cancelled call in ShardServer.Received.
	cancelPrefix = "c "
)

// Outcomes of shard calls in responses of shard servers.
const (
	OutcomeServed  = "served"
	OutcomeFailed  = "broke"
	OutcomeSkipped = "skipped"
)

// loadReport follows the outcome in each response: the service time in milliseconds and the server's load.
const loadReport = "7 queue=1,inflight=2"

// ShardServer is a shard server on loopback. Its exported fields must be set before the first connection.
type ShardServer struct {
	Host          string
	Zone          string
	Cell          int
	StartedMillis float64 // Unix time, as the discovery service lists it; 0 = long ago
	// Handle handles a call. If it is nil, calls are served with "value of QUERY". It is called by the goroutine of the
	// connection: while it blocks, later calls on that connection wait.
	Handle func(conn *ShardConn, call ShardCall)
	// OnProtocolError, if not nil, is called for protocol violations of a gatherer.
	OnProtocolError func(problem string)
	// Received receives the ids of calls as they arrive, and "c ID" for cancelled ones. Entries are not recorded while it is
	// full.
	Received chan string

	listener   net.Listener
	mu         sync.Mutex
	conns      map[*ShardConn]struct{} // open ones
	accepted   int                     // connections so far
	callFrames int                     // received so far
}

// ShardConn is a connection of a shard server. Respond and RespondTruncated may be called concurrently.
type ShardConn struct {
	net.Conn
	Server *ShardServer

	mu sync.Mutex // serializes responses
}

// StartShardServer starts a shard server on loopback. Both functions may be nil; see the fields of ShardServer.
func StartShardServer(host string, handle func(*ShardConn, ShardCall), onProtocolError func(string)) (*ShardServer, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, err
	}
	s := &ShardServer{
		Host:            host,
		Zone:            defaultZone,
		Handle:          handle,
		OnProtocolError: onProtocolError,
		Received:        make(chan string, callLogSize),
		listener:        listener,
		conns:           map[*ShardConn]struct{}{},
	}
	go s.acceptConnections()
	return s, nil
}

func (s *ShardServer) acceptConnections() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		shardConn := &ShardConn{Conn: conn, Server: s}
		s.mu.Lock()
		s.conns[shardConn] = struct{}{}
		s.accepted++
		s.mu.Unlock()
		go shardConn.serve()
	}
}

// Addr returns the address that the server listens at.
func (s *ShardServer) Addr() string { return s.listener.Addr().String() }

// Stop closes the listener and all connections, as when the server's process exits.
func (s *ShardServer) Stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// ResetConnections resets all open connections. The server continues to listen.
func (s *ShardServer) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Reset()
	}
}

// Counts returns the number of connections accepted and of call frames received so far.
func (s *ShardServer) Counts() (connections, callFrames int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.callFrames
}

func (s *ShardServer) protocolError(format string, args ...any) {
	if s.OnProtocolError != nil {
		s.OnProtocolError(fmt.Sprintf("shard server %s: ", s.Host) + fmt.Sprintf(format, args...))
	}
}

func (s *ShardServer) record(entry string) {
	select {
	case s.Received <- entry:
	default:
	}
}

// serve handles frames until the connection ends or a frame is malformed.
func (c *ShardConn) serve() {
	defer func() {
		c.Close()
		c.Server.mu.Lock()
		delete(c.Server.conns, c)
		c.Server.mu.Unlock()
	}()
	for {
		frameType, body, ok := c.readFrame()
		if !ok {
			return
		}
		switch frameType {
		case frame.CancelFrame:
			c.Server.record(cancelPrefix + string(body))
		case frame.CallFrame:
			if !c.handleCalls(body) {
				return
			}
		default:
			c.Server.protocolError("unexpected frame type %q", frameType)
			return
		}
	}
}

// readFrame reads the next frame; ok is false if there is none or its length is not allowed.
func (c *ShardConn) readFrame() (frameType byte, body []byte, ok bool) {
	header := make([]byte, frameLengthBytes)
	if _, err := io.ReadFull(c, header); err != nil {
		return 0, nil, false
	}
	length := binary.BigEndian.Uint32(header)
	if length < 1 || length > maxFrameBytes {
		c.Server.protocolError("a frame of %d bytes", length)
		return 0, nil, false
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(c, content); err != nil {
		return 0, nil, false
	}
	return content[0], content[1:], true
}

// handleCalls handles the calls of one frame; ok is false if one is malformed.
func (c *ShardConn) handleCalls(body []byte) (ok bool) {
	c.Server.mu.Lock()
	c.Server.callFrames++
	c.Server.mu.Unlock()
	for len(body) > 0 {
		call, rest, err := parseShardCall(body)
		if err != nil {
			c.Server.protocolError("%v", err)
			return false
		}
		body = rest
		c.Server.record(call.ID)
		if c.Server.Handle != nil {
			c.Server.Handle(c, call)
		} else {
			c.Respond(call.ID, OutcomeServed, "value of "+string(call.Query))
		}
	}
	return true
}

// Respond sends the response to a call. The outcome is OutcomeServed, OutcomeFailed or OutcomeSkipped.
func (c *ShardConn) Respond(callID, outcome, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Write(newResponseFrame(callID, outcome, value))
}

// RespondTruncated sends the first bytes of a response and then resets the connection.
func (c *ShardConn) RespondTruncated(callID, value string, bytes int) {
	c.mu.Lock()
	content := newResponseFrame(callID, OutcomeServed, value)
	c.Write(content[:min(bytes, len(content))])
	c.mu.Unlock()
	c.Reset()
}

func newResponseFrame(callID, outcome, value string) []byte {
	return frame.New(frame.ResponseFrame, callID+" "+outcome+" "+loadReport+"\n"+value)
}

// Reset closes the connection with a TCP reset, as when the server's process crashes.
func (c *ShardConn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
