// Package standin plays the outside systems that a gatherer speaks to, from their protocols: shard servers, the list
// service, clients, and a ledger with known data whose rows the shard servers give. All of it listens and calls on
// loopback alone. Faults are scripted: a stand-in does nothing by chance that its seed does not fix.
//
// It is for tests and for oxbowlab. What it knows of the protocols it has from their pages, not from the program's own
// code, save the frames' codec.
package standin

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"oxbowspan/internal/frame"
)

// ShardCall is what a shard server is asked for.
type ShardCall struct {
	ID            string
	Shard         int
	TimeoutMillis int64             // milliseconds that the gatherer waits
	Attributes    map[string]string // what else its line lists
	Query         []byte
}

// ShardServer is a shard server.
type ShardServer struct {
	Host          string
	Zone          string
	Cell          int
	StartedMillis float64 // Unix milliseconds, as the list tells; 0 = long ago
	// Handle meets a part; nil = it is served with "value of TEXT". It runs in the connection's own goroutine, so that a Do
	// which waits holds up what comes behind it there.
	Handle func(c *ShardConn, p ShardCall)
	// OnProtocolError is told what no gatherer may send.
	OnProtocolError func(what string)
	// Received takes parts by id as they come, and given-up ones as "c ID". It holds 10,000; what comes then is not kept.
	Received chan string

	listener   net.Listener
	mu         sync.Mutex
	conns      map[*ShardConn]struct{} // open ones; emptied as they end
	accepted   int                     // connections there have been
	callFrames int                     // calls
}

// ShardConn is one connection to a shard server.
type ShardConn struct {
	net.Conn
	Server *ShardServer
	mu     sync.Mutex
}

// StartShardServer starts a shard server on loopback.
func StartShardServer(host string, do func(*ShardConn, ShardCall), fault func(string)) (*ShardServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ShardServer{Host: host, Zone: "a", listener: l, Handle: do, OnProtocolError: fault, Received: make(chan string, 10000),
		conns: map[*ShardConn]struct{}{}}
	go s.accept(l)
	return s, nil
}

func (s *ShardServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		sc := &ShardConn{Conn: c, Server: s}
		s.mu.Lock()
		s.conns[sc] = struct{}{}
		s.accepted++
		s.mu.Unlock()
		go sc.serve()
	}
}

// Addr is where it listens.
func (s *ShardServer) Addr() string { return s.listener.Addr().String() }

// Stop ends it as a process that dies: nobody listens, and open connections break.
func (s *ShardServer) Stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// ResetConnections resets all open connections, and goes on listening.
func (s *ShardServer) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Reset()
	}
}

// Counts tells how many connections there were and how many calls came.
func (s *ShardServer) Counts() (conns, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.callFrames
}

func (s *ShardServer) protocolError(form string, args ...any) {
	if s.OnProtocolError != nil {
		s.OnProtocolError(fmt.Sprintf("shard server %s: ", s.Host) + fmt.Sprintf(form, args...))
	}
}

func (s *ShardServer) record(what string) {
	select {
	case s.Received <- what:
	default:
	}
}

// maxFrameBytes bounds what a stand-in reads at once.
const maxFrameBytes = 4 << 20

func (c *ShardConn) serve() {
	defer func() {
		c.Close()
		c.Server.mu.Lock()
		delete(c.Server.conns, c)
		c.Server.mu.Unlock()
	}()
	for {
		head := make([]byte, 4)
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head)
		if n < 1 || n > maxFrameBytes {
			c.Server.protocolError("a frame of %d bytes", n)
			return
		}
		buf := make([]byte, n)
		if _, err := io.ReadFull(c, buf); err != nil {
			return
		}
		switch rest := buf[1:]; buf[0] {
		case frame.CancelFrame:
			c.Server.record("c " + string(rest))
		case frame.CallFrame:
			c.Server.mu.Lock()
			c.Server.callFrames++
			c.Server.mu.Unlock()
			for len(rest) > 0 {
				p, after, err := parseShardCall(rest)
				if err != nil {
					c.Server.protocolError("%v", err)
					return
				}
				rest = after
				c.Server.record(p.ID)
				if c.Server.Handle != nil {
					c.Server.Handle(c, p)
				} else {
					c.Respond(p.ID, "served", "value of "+string(p.Query))
				}
			}
		default:
			c.Server.protocolError("a gatherer sent letter %q", buf[0])
			return
		}
	}
}

// parseShardCall reads a part's line, ID SHARD LIST LENGTH, and its text.
func parseShardCall(b []byte) (p ShardCall, rest []byte, err error) {
	line, after, _ := bytes.Cut(b, []byte{'\n'})
	words := strings.Fields(string(line))
	if len(words) != 4 {
		return p, nil, fmt.Errorf("a part's line is %q", line)
	}
	p = ShardCall{ID: words[0], Attributes: map[string]string{}}
	if p.Shard, err = strconv.Atoi(words[1]); err != nil {
		return p, nil, fmt.Errorf("a part's line is %q", line)
	}
	for _, item := range strings.Split(words[2], ",") {
		name, value, ok := strings.Cut(item, "=")
		if _, twice := p.Attributes[name]; !ok || twice {
			return p, nil, fmt.Errorf("a part's list is %q", words[2])
		}
		p.Attributes[name] = value
	}
	if p.TimeoutMillis, err = strconv.ParseInt(p.Attributes["d"], 10, 64); err != nil {
		return p, nil, fmt.Errorf("a part's list %q has no time limit", words[2])
	}
	delete(p.Attributes, "d")
	n, err := strconv.Atoi(words[3])
	if err != nil || n < 0 || n > len(after) {
		return p, nil, fmt.Errorf("a part's line is %q before %d bytes", line, len(after))
	}
	p.Query = after[:n]
	return p, after[n:], nil
}

// Respond answers a part: served, broke or skipped.
func (c *ShardConn) Respond(part, end, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Write(frame.New(frame.AnswerFrame, part+" "+end+" 7 queue=1,inflight=2\n"+value))
}

// RespondTruncated writes only so many bytes of an answer and then resets the connection.
func (c *ShardConn) RespondTruncated(part, value string, n int) {
	c.mu.Lock()
	b := frame.New(frame.AnswerFrame, part+" served 7 queue=1,inflight=2\n"+value)
	c.Write(b[:min(n, len(b))])
	c.mu.Unlock()
	c.Reset()
}

// Reset breaks the connection as a dying process does.
func (c *ShardConn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
