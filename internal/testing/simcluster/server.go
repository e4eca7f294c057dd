package simcluster

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// defaultConcurrency is the number of requests that a server executes concurrently if Concurrency is 0.
const defaultConcurrency = 3

// Server simulates a server of a service. After a crash it can be started again, as a new instance at the same address.
type Server struct {
	Service string
	IP      string
	// Instance is the id of the server's current run. It changes with each Start.
	Instance string

	// The fields up to ConnectionLimit take effect with the next Start.

	ServiceTime     time.Duration // time that each request takes
	RecordCount     int           // records in each response
	Version         string        // version of its program; "": v1
	Concurrency     int           // requests executed concurrently; 0: defaultConcurrency
	ConnectionLimit int           // concurrently open connections, further ones are closed; 0: unlimited

	cluster        *Cluster
	httpServer     *http.Server
	stopHeartbeats context.CancelFunc
	background     sync.WaitGroup
	hung           atomic.Bool

	mu                  sync.Mutex // guards ServiceTime and the fields below, and Instance against handlers of an earlier run
	semaphore           chan struct{}
	draining            bool
	healthChecks        int
	lastRequestAt       time.Time
	rejectedConnections int
	onRequest           func(time.Time)
	onArrival           func(id string, at time.Time)
	injectFault         func() responseFault
}

// AddServer adds a server of a service. It does not run yet.
func (c *Cluster) AddServer(service string, serviceTime time.Duration) *Server {
	i := len(c.Servers)
	server := &Server{
		Service:     service,
		IP:          c.address(i, serverSubnet+i/nodesPerSubnet, i%nodesPerSubnet+1),
		ServiceTime: serviceTime,
		RecordCount: ExampleRecordCount,
		cluster:     c,
	}
	c.Servers = append(c.Servers, server)
	return server
}

// Address returns the "IP:port" at which the server listens.
func (s *Server) Address() string { return net.JoinHostPort(s.IP, strconv.Itoa(serverPort)) }

// Start starts a new instance, which serves requests and sends heartbeats until Crash.
func (s *Server) Start() error {
	s.mu.Lock()
	s.Instance = fmt.Sprintf("i-%08x", s.cluster.random.Uint32())
	s.semaphore = make(chan struct{}, cmp.Or(s.Concurrency, defaultConcurrency))
	s.draining = false
	s.mu.Unlock()
	if s.cluster.Network != nil {
		s.cluster.Network.PowerOn(s.IP)
	}
	listener, err := s.cluster.networkOf(s.IP).Listen(s.Address())
	if err != nil {
		return fmt.Errorf("start server of %s: %w", s.Service, err)
	}
	if s.ConnectionLimit > 0 {
		listener = &limitedListener{Listener: listener, server: s}
	}
	s.httpServer = &http.Server{Handler: http.HandlerFunc(s.serve)}
	ctx, stop := context.WithCancel(context.Background())
	s.stopHeartbeats = stop
	s.background.Go(func() { s.httpServer.Serve(listener) })
	s.background.Go(func() { s.sendHeartbeats(ctx) })
	return nil
}

// Crash ends the instance, if it runs, without a sign-off. With powerLoss its machine is off until the next Start.
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

// SetServiceTime changes the time that each request takes, also while the server runs.
func (s *Server) SetServiceTime(serviceTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ServiceTime = serviceTime
}

// SetOnRequest sets a function that is called with the arrival time of each request except health checks; nil removes it. The
// function is called with the server locked and must not call the server's methods.
func (s *Server) SetOnRequest(onRequest func(time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRequest = onRequest
}

// SetOnArrival sets a function that is called with the id and the arrival time of each request except health checks; nil removes it. The
// function is called without a lock.
func (s *Server) SetOnArrival(onArrival func(id string, at time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onArrival = onArrival
}

// SetHung makes the server accept requests without responding to any, or makes it respond again.
func (s *Server) SetHung(hung bool) { s.hung.Store(hung) }

// SetResponseFailures sets a function that reports for each request whether the response has status 500; nil removes it.
func (s *Server) SetResponseFailures(fails func() bool) {
	if fails == nil {
		s.setFaults(nil)
		return
	}
	s.setFaults(func() responseFault {
		if fails() {
			return faultStatus
		}
		return noFault
	})
}

// setFaults sets a function that returns the fault to inject into each response; nil removes it.
func (s *Server) setFaults(injectFault func() responseFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injectFault = injectFault
}

// healthCheckCount returns the number of health checks that the server has received.
func (s *Server) healthCheckCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthChecks
}

// lastRequest returns the arrival time of the last request that is not a health check.
func (s *Server) lastRequest() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRequestAt
}

// rejectedConnectionCount returns the number of connections that the server has closed because they exceeded its limit.
func (s *Server) rejectedConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedConnections
}
