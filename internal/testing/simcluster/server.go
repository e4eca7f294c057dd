package simcluster

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/config"
)

// ExpectedRecords is what any server of a service answers to a request: it depends on nothing else.
func ExpectedRecords(service, id string, count int) []byte {
	h := fnv.New64a()
	h.Write([]byte(service + "/" + id))
	r := rand.New(rand.NewPCG(h.Sum64(), 7))
	b := make([]byte, 0, 16*count)
	for range count {
		b = binary.BigEndian.AppendUint64(b, r.Uint64N(50)) // few values, so that some are equal
		b = binary.BigEndian.AppendUint64(b, r.Uint64())
	}
	return b
}

// Server is a server of a service, for one life at a time.
type Server struct {
	cluster             *Cluster
	Service             string
	IP                  string
	ServiceTime         time.Duration
	RecordCount         int
	Instance            string
	ResponseFault       func() string // nil, or what befalls an answer: "", "break", "status", "other"
	httpServer          *http.Server
	stopHeartbeats      context.CancelFunc
	background          sync.WaitGroup
	semaphore           chan struct{}
	draining            bool
	HealthChecks        int             // how often its health was asked for
	LastRequestAt       time.Time       // when a request last came
	Concurrency         int             // requests that it works on at once; 0 = 3
	ConnectionLimit     int             // connections that it takes together, 0 = any number; it ends those beyond
	RejectedConnections int             // so many
	hung                atomic.Bool     // it takes requests and answers none
	OnRequest           func(time.Time) // nil, or told of each request; set before Start
	mu                  sync.Mutex
}

// AddServer adds a server that does not run yet.
func (c *Cluster) AddServer(service string, serviceTime time.Duration) *Server {
	i := len(c.Servers)
	s := &Server{cluster: c, Service: service, IP: fmt.Sprintf("%d.%d.%d.%d", c.firstOctet, c.firstZone+i%3, 3+i/200, i%200+1), ServiceTime: serviceTime, RecordCount: 20}
	c.Servers = append(c.Servers, s)
	return s
}

// Address is where it serves.
func (s *Server) Address() string { return net.JoinHostPort(s.IP, strconv.Itoa(serverPort)) }

// Start begins a new life.
func (s *Server) Start() error {
	s.mu.Lock()
	s.Instance = fmt.Sprintf("i-%08x", s.cluster.random.Uint32())
	s.semaphore, s.draining = make(chan struct{}, cmp.Or(s.Concurrency, 3)), false
	s.mu.Unlock()
	if s.cluster.Network != nil {
		s.cluster.Network.PowerOn(s.IP)
	}
	l, err := s.cluster.networkOf(s.IP).Listen(s.Address())
	if err != nil {
		return err
	}
	if s.ConnectionLimit > 0 {
		l = &limitedListener{Listener: l, server: s}
	}
	s.httpServer = &http.Server{Handler: http.HandlerFunc(s.serve)}
	ctx, stop := context.WithCancel(context.Background())
	s.stopHeartbeats = stop
	s.background.Add(2)
	go func() { defer s.background.Done(); s.httpServer.Serve(l) }()
	go func() { defer s.background.Done(); s.sendHeartbeats(ctx) }()
	return nil
}

// limitedListener ends connections beyond a server's limit as soon as they come.
type limitedListener struct {
	net.Listener
	server *Server
	open   int // under the server's lock
}

type countedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.server.mu.Lock()
		rejected := l.open >= l.server.ConnectionLimit
		if rejected {
			l.server.RejectedConnections++
		} else {
			l.open++
		}
		l.server.mu.Unlock()
		if !rejected {
			return &countedConn{Conn: c, listener: l}, nil
		}
		c.Close()
	}
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.server.mu.Lock()
		c.listener.open--
		c.listener.server.mu.Unlock()
	})
	return c.Conn.Close()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	instance, semaphore := s.Instance, s.semaphore // of this life
	if r.URL.Path != "/health" {
		s.LastRequestAt = time.Now()
		if s.OnRequest != nil {
			s.OnRequest(s.LastRequestAt)
		}
		s.cluster.RequestLog.recordArrival(s.Service, requestID)
	}
	s.mu.Unlock()
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != instance {
		w.Header().Set("X-Instance-Id", instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case semaphore <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-semaphore }()
	if r.URL.Path == "/health" {
		s.mu.Lock()
		draining := s.draining
		s.HealthChecks++
		s.mu.Unlock()
		w.Header().Set("X-Instance-Id", instance)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if s.hung.Load() {
		<-r.Context().Done()
		return
	}
	s.cluster.RequestLog.recordExecution(s.Service, requestID)
	s.mu.Lock()
	serviceTime := s.ServiceTime
	s.mu.Unlock()
	time.Sleep(serviceTime)
	body := ExpectedRecords(s.Service, requestID, s.RecordCount)
	w.Header().Set("X-Attempt-Id", requestID)
	w.Header().Set("X-Server-Seal", instance+"."+s.Service+"."+requestID)
	fault := ""
	if s.ResponseFault != nil {
		fault = s.ResponseFault()
	}
	switch fault {
	case "break":
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case "status":
		w.WriteHeader(http.StatusInternalServerError)
	case "other":
		w.Header().Set("X-Attempt-Id", "another")
	}
	w.Write(body)
}

// sendHeartbeats calls the hives about as often as servers do.
func (s *Server) sendHeartbeats(ctx context.Context) {
	client := s.cluster.httpClient(s.IP)
	defer client.CloseIdleConnections()
	for seq := 1; ctx.Err() == nil; seq++ {
		s.mu.Lock()
		state := "ready"
		if s.draining {
			state = config.StateDraining
		}
		s.mu.Unlock()
		body, _ := json.Marshal(config.Heartbeat{Service: s.Service, Address: s.Address(), Zone: zoneOf(s.IP), Version: "v1", CapacitySlots: 3,
			State: state, Sequence: uint64(seq)})
		for range 4 {
			if s.cluster.post(ctx, client, s.anyController(), "/-/instances/"+s.Instance+"/heartbeat", string(body)) == http.StatusOK {
				break
			}
		}
		select {
		case <-time.After(s.cluster.HeartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// SetServiceTime changes how long a server works on a request.
func (s *Server) SetServiceTime(serviceTime time.Duration) {
	s.mu.Lock()
	s.ServiceTime = serviceTime
	s.mu.Unlock()
}

// SetOnRequest has a server tell of each request; nil = no more.
func (s *Server) SetOnRequest(onRequest func(time.Time)) {
	s.mu.Lock()
	s.OnRequest = onRequest
	s.mu.Unlock()
}

// SetHung has a server take requests and answer none, or no more.
func (s *Server) SetHung(hung bool) { s.hung.Store(hung) }

// Drain has a server say that it leaves. It returns when a hive has acknowledged it, the zero time = none did.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	client := s.cluster.httpClient(s.IP)
	defer client.CloseIdleConnections()
	body, _ := json.Marshal(config.Heartbeat{Service: s.Service, Address: s.Address(), Zone: zoneOf(s.IP), Version: "v1", CapacitySlots: 3,
		State: config.StateDraining, Sequence: 1 << 30})
	for range 4 {
		if s.cluster.post(context.Background(), client, s.anyController(), "/-/instances/"+s.Instance+"/heartbeat", string(body)) == http.StatusOK {
			return time.Now()
		}
	}
	return time.Time{}
}

func (s *Server) anyController() string {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.cluster.Controllers[rand.IntN(len(s.cluster.Controllers))].ControlAddress()
}

// Crash ends its life without a word; dark, its machine answers nothing any more.
func (s *Server) Crash(powerLoss bool) {
	if s.httpServer == nil {
		return
	}
	if s.cluster.Network != nil {
		s.cluster.Network.Kill(s.IP, powerLoss)
	}
	s.stopHeartbeats()
	s.httpServer.Close()
	s.background.Wait()
	s.httpServer = nil
}
