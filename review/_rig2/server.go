package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server has begun to work on.
type run struct {
	id       string
	at       time.Time
	server   string
	service  string
	answered time.Time // when the answer was written; zero = not
}

// journal lists what servers have run.
type journal struct {
	mu   sync.Mutex
	runs []*run
	byID map[string][]*run
}

func (j *journal) add(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
	if j.byID == nil {
		j.byID = map[string][]*run{}
	}
	j.byID[r.id] = append(j.byID[r.id], r)
}

func (j *journal) of(id string) []*run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*run{}, j.byID[id]...)
}

// server is a stand-in for a shard server: HTTP/1.1, one request at a time on a connection.
type server struct {
	c        *cluster
	id       string
	service  string
	ip       string
	zone     string
	work     func() time.Duration
	body     func(id string) []byte
	journal  *journal
	listener net.Listener
	state    atomic.Value // "ready" or "draining"
	sequence atomic.Uint64
	stopped  chan struct{}
	connsMu  sync.Mutex
	conns    map[net.Conn]bool
	slots    chan struct{}
	// handle may take over a request that was read; it reports whether it has.
	handle func(s *server, conn net.Conn, req *http.Request, body []byte) (taken, keep bool)
}

var serverCount atomic.Int64

func (c *cluster) newServer(service string, j *journal, work time.Duration) *server {
	n := serverCount.Add(1)
	s := &server{c: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, ip: fmt.Sprintf("%s.%d.%d", c.subnet, 10+n/200, 1+n%200), zone: "za",
		work: func() time.Duration { return work }, journal: j, stopped: make(chan struct{}), slots: make(chan struct{}, 3)}
	s.body = func(id string) []byte { return []byte("answer to " + id + " by " + s.service) }
	s.state.Store("ready")
	return s
}

func (s *server) address() string { return fmt.Sprintf("%s:%d", s.ip, serverPort) }

func (s *server) start() error {
	l, err := net.Listen("tcp", s.address())
	if err != nil {
		return err
	}
	s.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	go s.beat()
	return nil
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	s.connsMu.Lock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	s.conns[conn] = true
	s.connsMu.Unlock()
	defer func() {
		s.connsMu.Lock()
		delete(s.conns, conn)
		s.connsMu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if s.handle != nil {
			if taken, keep := s.handle(s, conn, req, body); taken {
				if !keep {
					return
				}
				continue
			}
		}
		if !s.respond(conn, req) {
			return
		}
	}
}

// respond runs a request and answers it.
func (s *server) respond(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return true
	}
	s.slots <- struct{}{}
	this := &run{id: id, at: time.Now(), server: s.id, service: s.service}
	s.journal.add(this)
	time.Sleep(s.work())
	<-s.slots
	b := s.body(id)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, s.service, id, len(b), b)
	s.journal.mu.Lock()
	this.answered = time.Now()
	s.journal.mu.Unlock()
	return err == nil
}

func (s *server) beatBody() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity_slots":3,"state":%q,"cold_remaining_ms":0,"call_sequence":%d}`,
		s.service, s.address(), s.zone, s.state.Load(), s.sequence.Add(1))
}

// announce sends a beat to one controller after another until one acknowledges it.
func (s *server) announce() (acknowledged time.Time, ok bool) {
	order := rand.Perm(len(s.c.controllers))
	for _, i := range order {
		status, _, err := s.c.post(s.c.controllers[i], "/-/instances/"+s.id+"/heartbeat", nil, s.beatBody())
		if err == nil && status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

func (s *server) beat() {
	for {
		s.announce()
		select {
		case <-s.stopped:
			return
		case <-time.After(beatInterval):
		}
	}
}

// leave says draining until that is acknowledged, serves on for the limit and a little longer, signs off and ends.
func (s *server) leave() (acknowledged time.Time) {
	s.state.Store("draining")
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if at, ok := s.announce(); ok {
			return at
		}
	}
	return time.Time{}
}

func (s *server) stop() {
	select {
	case <-s.stopped:
	default:
		close(s.stopped)
		s.listener.Close()
		s.connsMu.Lock()
		for conn := range s.conns {
			conn.Close()
		}
		s.connsMu.Unlock()
	}
}
