package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func randomID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// arrival is a request that a server ran.
type arrival struct {
	id string
	at time.Time
}

// server is a stand-in of one server of a service.
type server struct {
	id, service, address, zone string
	work                       time.Duration
	beatsTo                    []string // control addresses
	listener                   net.Listener
	http                       *http.Server

	mu       sync.Mutex
	sequence int
	leaving  bool // it has begun to leave: health is 503, and no further heartbeats after a sign-off
	silent   bool // sends no more heartbeats
	state    string
	arrivals []arrival
	refused  int // answered 421
}

func startServer(service, ip, zone string, work time.Duration, beatsTo []string) *server {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	s := &server{id: "i-" + randomID(), service: service, address: l.Addr().String(), zone: zone, work: work, beatsTo: beatsTo, listener: l, state: "ready"}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	go s.beat()
	record.printf("server %s of %s starts at %s", s.id, s.service, s.address)
	return s
}

// ServeHTTP answers requests and health checks.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	s.mu.Unlock()
	time.Sleep(s.work)
	s.mu.Lock()
	if s.leaving {
		w.Header().Set("Connection", "close")
	}
	s.mu.Unlock()
	w.Header().Set("X-Server-Seal", "seal."+s.id+"."+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	answer := answerBody(s.id, id, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write(answer)
}

// answerBody returns the whole body of a server's answer.
func answerBody(server, id string, body []byte) []byte {
	return fmt.Appendf(nil, "%s ran %s with %d bytes\n", server, id, len(body))
}

var platformCalls = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// call posts to the controllers, the next one after a failure, and returns the address that acknowledged.
func (s *server) call(path string, body []byte, tries int) (acknowledgedBy string) {
	s.mu.Lock()
	first := s.sequence
	s.mu.Unlock()
	for i := range tries {
		to := s.beatsTo[(first+i)%len(s.beatsTo)]
		response, err := platformCalls.Post("http://"+to+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			return to
		}
	}
	return ""
}

// beat sends heartbeats until the server falls silent.
func (s *server) beat() {
	for {
		s.mu.Lock()
		if s.silent {
			s.mu.Unlock()
			return
		}
		s.sequence++
		body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity_slots":16,"state":%q,"cold_remaining_ms":0,"call_sequence":%d}`,
			s.service, s.address, s.zone, s.state, s.sequence)
		s.mu.Unlock()
		s.call("/-/instances/"+s.id+"/heartbeat", body, len(s.beatsTo))
		time.Sleep(beatInterval)
	}
}

// signOff signs off without saying draining before. The server serves on. It returns when it was acknowledged.
func (s *server) signOff() time.Time {
	s.mu.Lock()
	s.leaving, s.silent = true, true
	s.mu.Unlock()
	by := s.call("/-/instances/"+s.id+"/sign-off", nil, 3*len(s.beatsTo))
	at := time.Now()
	if by == "" {
		cannotRun("the sign-off of %s was not acknowledged", s.id)
	}
	record.printf("server %s signs off and serves on: acknowledged by %s", s.id, by)
	return at
}

func (s *server) end() {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	s.http.Close()
	record.printf("server %s ends; it ran %d requests, answered %d with 421", s.id, len(s.arrivals), s.refused)
}

func (s *server) runs() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// try is one try of a client.
type try struct {
	id       string
	gateway  int
	sent     time.Time
	answered time.Time
	status   int // 0 = the connection ended
	body     []byte
	seal     string
	failure  string
}

// clients send requests to the gateways at a rate, each on a kept connection.
type clients struct {
	mu    sync.Mutex
	tries map[string]*try
	stop  chan struct{}
	group sync.WaitGroup
	count atomic.Int64
}

func startClients(d *deployment, perSecond int, method, host, path string, body func() []byte, deadline time.Duration) *clients {
	c := &clients{tries: map[string]*try{}, stop: make(chan struct{})}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 5 * time.Second}
	sender := &http.Client{Transport: transport, Timeout: deadline}
	c.group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			t := &try{id: randomID(), gateway: i % len(d.gateways), sent: time.Now()}
			c.mu.Lock()
			c.tries[t.id] = t
			c.mu.Unlock()
			c.group.Go(func() { c.send(d, sender, t, method, host, path, body(), deadline) })
		}
	})
	record.printf("clients: %d requests a second begin, %s %s%s", perSecond, method, host, path)
	return c
}

func (c *clients) send(d *deployment, sender *http.Client, t *try, method, host, path string, body []byte, deadline time.Duration) {
	request, _ := http.NewRequest(method, "http://"+d.frontAddress(t.gateway)+path, bytes.NewReader(body))
	request.Host = host
	request.Header.Set("X-Attempt-Id", t.id)
	request.Header.Set("X-Deadline-Remaining", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := sender.Do(request)
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.answered = time.Now()
	if err != nil {
		t.failure = err.Error()
		return
	}
	t.status, t.body, t.seal = response.StatusCode, answer, response.Header.Get("X-Server-Seal")
	c.count.Add(1)
}

// writeExchanges records what was sent, answered and run, in the order in which it was sent.
func writeExchanges(d *deployment, tries map[string]*try, servers []*server) {
	runs := map[string][]string{}
	for _, s := range servers {
		for _, a := range s.runs() {
			runs[a.id] = append(runs[a.id], fmt.Sprintf("%s at %.4f", s.id, record.seconds(a.at)))
		}
	}
	for _, t := range slices.SortedFunc(maps.Values(tries), func(a, b *try) int { return a.sent.Compare(b.sent) }) {
		record.printf("exchange %s: sent to %s at %.4f; run by %v; answered %d at %.4f %s", t.id, d.gateways[t.gateway].name,
			record.seconds(t.sent), runs[t.id], t.status, record.seconds(t.answered), t.failure)
	}
}

// end waits for the last answers and returns all tries by id.
func (c *clients) end() map[string]*try {
	close(c.stop)
	c.group.Wait()
	statuses := map[int]int{}
	for _, t := range c.tries {
		statuses[t.status]++
	}
	record.printf("clients: end; answers by status (0 = none): %v", statuses)
	return c.tries
}
