package experiment

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

// The bounds of a leaving server, as in the settings of the cluster, and how long it serves after its departure was acknowledged.
const (
	soakDrainLimit    = 3 * time.Second // after which it must receive no request
	soakContactTime   = 4 * time.Second // without a fault, after which a machine is held to the drain limit
	soakMinServeOn    = 4 * time.Second
	soakMaxServeOn    = 15 * time.Second
	soakMaxReleased   = 3                       // servers that leave one after the other
	soakMaxReleaseGap = time.Second             // between two of them
	soakMaxKillDelay  = 1500 * time.Millisecond // from the last one until all controllers are killed
	soakMaxCoreOutage = 600 * time.Millisecond  // until they are started again
	soakCalmTime      = 2 * time.Second         // without a fault of a controller, once the machines are held to the drain limit again
)

// faultTimes tells when the machines of a kind were last affected by a fault.
type faultTimes struct {
	active int       // faults in progress
	last   time.Time // when a fault last began or ended
}

// begin records that a fault begins. The returned function records its end.
func (s *soak) begin(f *faultTimes) (end func()) {
	s.recordFault(f, 1)
	return func() { s.recordFault(f, -1) }
}

func (s *soak) recordFault(f *faultTimes, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.active += change
	f.last = time.Now()
}

// calmSince reports whether no fault was in progress at any time since the given one.
func (f *faultTimes) calmSince(at time.Time) bool { return f.active == 0 && f.last.Before(at) }

// sentRequest is a request of a client.
type sentRequest struct {
	gateway int
	at      time.Time
}

func (s *soak) recordSent(id string, gateway int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = sentRequest{gateway, at}
}

// reserveServer draws a server whose service has no other server that leaves or is down, and reserves it until release is called. It
// returns nil if there is none.
func (s *soak) reserveServer(random *rand.Rand) (server *simcluster.Server, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := s.cluster.cluster.Servers
	server = servers[random.IntN(len(servers))]
	if s.leaving[server.Service] {
		return nil, nil
	}
	s.leaving[server.Service] = true
	return server, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.leaving, server.Service)
	}
}

// departure is how a server leaves.
type departure struct {
	signOff bool          // it signs off without having said that it drains
	serveOn time.Duration // from the acknowledgement until it ends
}

func drawDeparture(random *rand.Rand) departure {
	return departure{
		signOff: random.IntN(3) > 0,
		serveOn: soakMinServeOn + time.Duration(random.Int64N(int64(soakMaxServeOn-soakMinServeOn))),
	}
}

// release makes a few servers leave, one after the other. In most releases all controllers are killed shortly after the last has left,
// without another fault of a controller in between. It returns when all servers have been replaced.
func (s *soak) release(random *rand.Rand) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	if random.IntN(3) == 0 {
		s.startLeaving(&leaving, random)
		return
	}
	s.controllerMu.Lock()
	defer s.controllerMu.Unlock()
	s.startLeaving(&leaving, random)
	time.Sleep(time.Duration(random.Int64N(int64(soakMaxKillDelay))))
	s.killControllers(random)
}

// startLeaving makes a few servers leave, one after the other, and returns when the last one has begun to.
func (s *soak) startLeaving(leaving *sync.WaitGroup, random *rand.Rand) {
	for i := range 1 + random.IntN(soakMaxReleased) {
		if i > 0 {
			time.Sleep(time.Duration(random.Int64N(int64(soakMaxReleaseGap))))
		}
		server, free := s.reserveServer(random)
		if server == nil {
			continue
		}
		d := drawDeparture(random)
		leaving.Go(func() {
			defer free()
			s.leave(server, d)
		})
	}
}

// leave makes a server leave by a drain or by a sign-off alone. It serves on for some seconds after the acknowledgement. Another server
// takes its place at the end.
func (s *soak) leave(server *simcluster.Server, d departure) {
	depart, how := server.Drain, "servers drained"
	if d.signOff {
		depart, how = server.SignOff, "servers signed off"
	}
	acknowledgedAt := depart()
	if acknowledgedAt.IsZero() {
		s.count("departures not acknowledged")
	} else {
		s.count(how)
		instance := server.Instance
		server.SetOnArrival(func(id string, at time.Time) { s.checkArrival(id, instance, at, acknowledgedAt) })
		time.Sleep(time.Until(acknowledgedAt.Add(d.serveOn)))
		server.SetOnArrival(nil)
	}
	server.Crash(false)
	if err := server.Start(); err != nil {
		s.setFinding("start server: %w", err)
	}
}

// checkArrival checks the arrival of a request at a server whose departure was acknowledged.
func (s *soak) checkArrival(id, instance string, at, acknowledgedAt time.Time) {
	late := at.Sub(acknowledgedAt)
	if late <= soakDrainLimit {
		return
	}
	s.mu.Lock()
	sent, known := s.sent[id]
	contactFrom := sent.at.Add(-soakContactTime)
	held := known && s.coreFaults.calmSince(contactFrom) && s.gatewayFaults[sent.gateway].calmSince(contactFrom)
	s.mu.Unlock()
	if !held {
		s.count("late requests beside faults")
		return
	}
	s.setFinding("%s reaches server %s through gateway %d %v after its departure was acknowledged", id, instance, sent.gateway, late)
}

// killControllers kills all controllers at once and starts them again. The caller must hold controllerMu.
func (s *soak) killControllers(random *rand.Rand) {
	s.count("kills of all controllers")
	end := s.begin(&s.coreFaults)
	for _, process := range s.cluster.controllers {
		process.Process.Signal(syscall.SIGKILL)
	}
	for _, process := range s.cluster.controllers {
		process.Wait()
	}
	time.Sleep(time.Duration(random.Int64N(int64(soakMaxCoreOutage))))
	for i, process := range s.cluster.controllers {
		next, err := s.cluster.startProgram(controllerProgram, s.cluster.settingsPath(process))
		if err != nil {
			s.setFinding("controller %d: %w", i, err)
			continue
		}
		s.cluster.controllers[i] = next
	}
	end()
	time.Sleep(soakContactTime + soakCalmTime)
}
