// Package admin is how operators look at a running gatherer and pin its level: a UNIX socket that only its owner may use, with
// one JSON text a line each way. It owns the socket; what is asked goes to the gatherer's actor, which decides.
package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Verb is what is asked.
type Verb string

// The verbs. Leave is the server's own, for a watcher that has gone.
const (
	Show    Verb = "show"
	Explain Verb = "explain"
	Pin     Verb = "pin"
	Unpin   Verb = "unpin"
	Watch   Verb = "watch"
	Unwatch Verb = "leave"
)

// MaxPinDuration is the most that a level may be pinned for: a pin left over ends by itself.
const MaxPinDuration = 24 * time.Hour

// Request is one question. Reply, where it is set, takes one answer without waiting; Stream takes states.
type Request struct {
	Verb    Verb          `json:"verb"`
	Level   string        `json:"level,omitempty"`
	Seconds float64       `json:"seconds,omitempty"`
	Reply   chan Response `json:"-"`
	Stream  chan<- []byte `json:"-"`
}

// Response is what comes back.
type Response struct {
	Error string   `json:"error,omitempty"`
	Lines []string `json:"lines,omitempty"`
	State *State   `json:"state,omitempty"`
}

// State is what operators see of a gatherer.
type State struct {
	At             time.Time   `json:"at"`
	Level          string      `json:"level"`
	Rank           int         `json:"rank"`
	LevelSeconds   float64     `json:"for"`              // seconds
	PinSecondsLeft float64     `json:"pinned,omitempty"` // seconds that are left
	Levels         []string    `json:"levels"`
	OpenRequests   int         `json:"searches"` // open
	Signals        []Signal    `json:"signals"`
	Segments       []Segment   `json:"segments,omitempty"` // those with a level of their own
	Types          []QueryType `json:"types"`
	Servers        []Server    `json:"servers"`
	Changes        []Change    `json:"changes,omitempty"`
}

// Signal is a smoothed input of the level decision.
type Signal struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Known bool    `json:"known"`
}

// Segment is a segment with a level of its own.
type Segment struct {
	Segment int    `json:"segment"`
	Level   string `json:"level"`
}

// QueryType is what a query type gets at the current level.
type QueryType struct {
	Name      string     `json:"name"`
	Share     float64    `json:"share"` // that the level serves
	Customers []Customer `json:"customers,omitempty"`
}

// Customer counts one customer's searches of a query type since the start of the process.
type Customer struct {
	Name   string `json:"name"`
	Served int64  `json:"served"`
	Shed   int64  `json:"shed"` // by the level
}

// Server is a shard server as the gatherer sees it.
type Server struct {
	Host          string  `json:"host"`
	Zone          string  `json:"zone"`
	Cell          int     `json:"cell"`
	State         string  `json:"state"`  // ready, cold, out, draining
	InFlight      int     `json:"out"`    // sub-requests that have not ended
	LatencyMillis float64 `json:"millis"` // a part of size one takes
	FailureRatio  float64 `json:"failing"`
}

// Change is one change of the level.
type Change struct {
	At     time.Time `json:"at"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	Reason string    `json:"why"`
}

// Socket listens for operators.
type Socket struct {
	listener net.Listener
	submit   func(Request) bool
	mu       sync.Mutex
	conns    map[net.Conn]struct{} // emptied as they end
	tasks    sync.WaitGroup
}

// maxConns bounds how many operators are listened to at once.
const maxConns = 16

// Listen opens the socket. ask hands a question to the gatherer; false = it is gone.
func Listen(path string, ask func(Request) bool) (*Socket, error) {
	if s, err := os.Lstat(path); err == nil {
		if s.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("admin socket %s: something else is there", path)
		}
		if c, err := net.Dial("unix", path); err == nil {
			c.Close()
			return nil, fmt.Errorf("admin socket %s: another process listens there", path)
		}
		os.Remove(path) // left by a process that was killed
	}
	was := syscall.Umask(0o177) // so that there is no moment in which others may use it
	l, err := net.Listen("unix", path)
	syscall.Umask(was)
	if err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", path, err)
	}
	s := &Socket{listener: l, submit: ask, conns: map[net.Conn]struct{}{}}
	s.tasks.Add(1)
	go s.accept()
	return s, nil
}

// Close ends the socket and all who are on it.
func (s *Socket) Close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Socket) accept() {
	defer s.tasks.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(100 * time.Millisecond) // no descriptor is left
			continue
		}
		s.mu.Lock()
		if len(s.conns) >= maxConns {
			s.mu.Unlock()
			c.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.tasks.Add(1)
		s.mu.Unlock()
		go s.serve(c)
	}
}

// Times that an operator's tool may take.
const (
	readTimeout  = time.Minute
	writeTimeout = 5 * time.Second
)

func (s *Socket) serve(c net.Conn) {
	defer s.tasks.Done()
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	lines := bufio.NewScanner(c)
	for c.SetReadDeadline(time.Now().Add(readTimeout)); lines.Scan(); c.SetReadDeadline(time.Now().Add(readTimeout)) {
		var q Request
		a := Response{}
		err := json.Unmarshal(lines.Bytes(), &q)
		switch {
		case err != nil:
			a.Error = "a question is one JSON text a line"
		case q.Verb == Watch:
			s.stream(c)
			return
		case q.Verb == Show, q.Verb == Explain, q.Verb == Pin, q.Verb == Unpin:
			q.Reply = make(chan Response, 1)
			if !s.submit(q) {
				return
			}
			select {
			case a = <-q.Reply:
			case <-time.After(writeTimeout):
				a.Error = "the gatherer does not answer"
			}
		default:
			a.Error = fmt.Sprintf("%.40q is not known: show, explain, pin, unpin and watch are", q.Verb)
		}
		b, err := json.Marshal(a)
		if err != nil || s.write(c, b) != nil {
			return
		}
	}
}

func (s *Socket) write(c net.Conn, b []byte) error {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(append(b, '\n'))
	return err
}

// stream sends states until the watcher leaves.
func (s *Socket) stream(c net.Conn) {
	states := make(chan []byte, 4)
	if !s.submit(Request{Verb: Watch, Stream: states}) {
		return
	}
	defer s.submit(Request{Verb: Unwatch, Stream: states})
	left := make(chan struct{})
	go func() {
		defer close(left)
		c.SetReadDeadline(time.Time{})
		c.Read(make([]byte, 1)) // a watcher says nothing: this ends as it leaves
	}()
	defer func() { c.Close(); <-left }()
	for {
		select {
		case b := <-states:
			if s.write(c, b) != nil {
				return
			}
		case <-left:
			return
		}
	}
}

// Source gives one state after another.
type Source interface{ Next() (State, error) }

// Client is an operator's tool.
type Client struct {
	conn  net.Conn
	lines *bufio.Reader
}

// Dial connects to a gatherer's socket.
func Dial(path string) (*Client, error) {
	c, err := net.Dial("unix", path)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReaderSize(c, 64<<10)}, nil
}

// Close ends it.
func (c *Client) Close() { c.conn.Close() }

// Do asks one question.
func (c *Client) Do(q Request) (a Response, err error) {
	b, err := json.Marshal(q)
	if err != nil {
		return a, err
	}
	c.conn.SetDeadline(time.Now().Add(2 * writeTimeout))
	if _, err := c.conn.Write(append(b, '\n')); err != nil {
		return a, err
	}
	line, err := c.lines.ReadBytes('\n')
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(line, &a); err != nil {
		return a, err
	}
	if a.Error != "" {
		return a, errors.New(a.Error)
	}
	return a, nil
}

// Watch begins a stream of states; Next gives them.
func (c *Client) Watch() error {
	b, _ := json.Marshal(Request{Verb: Watch})
	_, err := c.conn.Write(append(b, '\n'))
	return err
}

// Next is the next state of a stream.
func (c *Client) Next() (s State, err error) {
	c.conn.SetDeadline(time.Now().Add(readTimeout))
	line, err := c.lines.ReadBytes('\n')
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(line, &s)
}

// Recorder writes the signals of what passes through it: a JSON text a line.
type Recorder struct {
	Source
	Out io.Writer
}

// Record is a line of a record.
type Record struct {
	At      time.Time          `json:"at"`
	Signals map[string]float64 `json:"signals"` // those that were known
}

// Next implements Source.
func (r Recorder) Next() (State, error) {
	s, err := r.Source.Next()
	if err != nil {
		return s, err
	}
	line := Record{At: s.At, Signals: map[string]float64{}}
	for _, x := range s.Signals {
		if x.Known {
			line.Signals[x.Name] = x.Value
		}
	}
	b, err := json.Marshal(line)
	if err == nil {
		_, err = r.Out.Write(append(b, '\n'))
	}
	return s, err
}
