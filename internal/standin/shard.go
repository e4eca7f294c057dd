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

// Part is what a shard server is asked for.
type Part struct {
	ID    string
	Shard int
	Wait  int64             // milliseconds that the gatherer waits
	List  map[string]string // what else its line lists
	Text  []byte
}

// Shard is a shard server.
type Shard struct {
	Host string
	Zone string
	Cell int
	Born float64 // Unix milliseconds, as the list tells; 0 = long ago
	// Do meets a part; nil = it is served with "value of TEXT". It runs in the connection's own goroutine, so that a Do
	// which waits holds up what comes behind it there.
	Do func(c *ShardConn, p Part)
	// Fault is told what no gatherer may send.
	Fault func(what string)
	// Got takes parts by id as they come, and given-up ones as "c ID". It holds 10,000; what comes then is not kept.
	Got chan string

	l      net.Listener
	mu     sync.Mutex
	conns  map[*ShardConn]struct{} // open ones; emptied as they end
	ever   int                     // connections there have been
	frames int                     // calls
}

// ShardConn is one connection to a shard server.
type ShardConn struct {
	net.Conn
	S  *Shard
	mu sync.Mutex
}

// StartShard starts a shard server on loopback.
func StartShard(host string, do func(*ShardConn, Part), fault func(string)) (*Shard, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Shard{Host: host, Zone: "a", l: l, Do: do, Fault: fault, Got: make(chan string, 10000),
		conns: map[*ShardConn]struct{}{}}
	go s.accept(l)
	return s, nil
}

func (s *Shard) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		sc := &ShardConn{Conn: c, S: s}
		s.mu.Lock()
		s.conns[sc] = struct{}{}
		s.ever++
		s.mu.Unlock()
		go sc.run()
	}
}

// Addr is where it listens.
func (s *Shard) Addr() string { return s.l.Addr().String() }

// Stop ends it as a process that dies: nobody listens, and open connections break.
func (s *Shard) Stop() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Break resets all open connections, and goes on listening.
func (s *Shard) Break() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Reset()
	}
}

// Counts tells how many connections there were and how many calls came.
func (s *Shard) Counts() (conns, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ever, s.frames
}

func (s *Shard) fault(form string, args ...any) {
	if s.Fault != nil {
		s.Fault(fmt.Sprintf("shard server %s: ", s.Host) + fmt.Sprintf(form, args...))
	}
}

func (s *Shard) note(what string) {
	select {
	case s.Got <- what:
	default:
	}
}

// mostFrame bounds what a stand-in reads at once.
const mostFrame = 4 << 20

func (c *ShardConn) run() {
	defer func() {
		c.Close()
		c.S.mu.Lock()
		delete(c.S.conns, c)
		c.S.mu.Unlock()
	}()
	for {
		head := make([]byte, 4)
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head)
		if n < 1 || n > mostFrame {
			c.S.fault("a frame of %d bytes", n)
			return
		}
		buf := make([]byte, n)
		if _, err := io.ReadFull(c, buf); err != nil {
			return
		}
		switch rest := buf[1:]; buf[0] {
		case frame.GiveUp:
			c.S.note("c " + string(rest))
		case frame.Call:
			c.S.mu.Lock()
			c.S.frames++
			c.S.mu.Unlock()
			for len(rest) > 0 {
				p, after, err := readPart(rest)
				if err != nil {
					c.S.fault("%v", err)
					return
				}
				rest = after
				c.S.note(p.ID)
				if c.S.Do != nil {
					c.S.Do(c, p)
				} else {
					c.Answer(p.ID, "served", "value of "+string(p.Text))
				}
			}
		default:
			c.S.fault("a gatherer sent letter %q", buf[0])
			return
		}
	}
}

// readPart reads a part's line, ID SHARD LIST LENGTH, and its text.
func readPart(b []byte) (p Part, rest []byte, err error) {
	line, after, _ := bytes.Cut(b, []byte{'\n'})
	words := strings.Fields(string(line))
	if len(words) != 4 {
		return p, nil, fmt.Errorf("a part's line is %q", line)
	}
	p = Part{ID: words[0], List: map[string]string{}}
	if p.Shard, err = strconv.Atoi(words[1]); err != nil {
		return p, nil, fmt.Errorf("a part's line is %q", line)
	}
	for _, item := range strings.Split(words[2], ",") {
		name, value, ok := strings.Cut(item, "=")
		if _, twice := p.List[name]; !ok || twice {
			return p, nil, fmt.Errorf("a part's list is %q", words[2])
		}
		p.List[name] = value
	}
	if p.Wait, err = strconv.ParseInt(p.List["d"], 10, 64); err != nil {
		return p, nil, fmt.Errorf("a part's list %q has no time limit", words[2])
	}
	delete(p.List, "d")
	n, err := strconv.Atoi(words[3])
	if err != nil || n < 0 || n > len(after) {
		return p, nil, fmt.Errorf("a part's line is %q before %d bytes", line, len(after))
	}
	p.Text = after[:n]
	return p, after[n:], nil
}

// Answer answers a part: served, broke or skipped.
func (c *ShardConn) Answer(part, end, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Write(frame.Whole(frame.Answer, part+" "+end+" 7 queue=1,inflight=2\n"+value))
}

// AnswerCut writes only so many bytes of an answer and then resets the connection.
func (c *ShardConn) AnswerCut(part, value string, n int) {
	c.mu.Lock()
	b := frame.Whole(frame.Answer, part+" served 7 queue=1,inflight=2\n"+value)
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
