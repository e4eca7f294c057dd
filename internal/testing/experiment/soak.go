package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"oxbowspan/internal/controlclient"
	"oxbowspan/internal/testing/simcluster"
	"oxbowspan/rollout"
)

func init() {
	Register(Experiment{
		Name:  "soak",
		Short: "Clients on kept connections beside overlapping series of signals, restarts, changes and rollouts",
		Long: `soak starts three controllers, gateways and servers. Clients keep using their open connections until these end, also while their gateway
is told to end. Meanwhile gateways and controllers get SIGTERM, SIGKILL, SIGHUP and SIGSTOP and are started again, servers crash and
come back, configurations are replaced and rollouts begun and reverted: drawn by the seed, several at a time, one controller down at
most. It ends with a finding if a request that a sound gateway had taken is cut off, if an answer is not whole or another request's, if a
request that must not be repeated is executed twice, or if at the end what was acknowledged last can't be read from every controller or
a gateway does not serve.`,
		Run: func(ctx context.Context, e *Env) error { return e.runSoak(ctx) },
	})
}

const (
	soakControllers   = 3
	soakServers       = 3 // of each service
	soakServiceTime   = 10 * time.Millisecond
	soakSettle        = 4 * time.Second
	soakGrace         = 6500 * time.Millisecond // in which a process that was told to end must have ended
	soakConvergence   = 12 * time.Second
	soakMaxSuspension = 1500 * time.Millisecond
	soakSeries        = 3 // of disturbances, at the same time
)

// soak is the state of one run.
type soak struct {
	env     *Env
	cluster *localCluster
	client  *controlclient.Client
	done    chan struct{} // closed when clients and disturbances must stop
	running sync.WaitGroup

	mu           sync.Mutex
	finding      error
	unsound      map[int][]time.Time // when a gateway was killed or suspended, until it was sound again: begin and end in turn
	busy         map[*exec.Cmd]bool  // a disturbance of it is going on
	version      uint64              // of the configuration that was acknowledged last
	counts       map[string]int      // of disturbances and requests, for the record
	controllerMu sync.Mutex          // one controller is disturbed at a time
	changeMu     sync.Mutex          // one change of the configuration is under way at a time
}

func (e *Env) runSoak(ctx context.Context) error {
	s := &soak{env: e, done: make(chan struct{}), unsound: map[int][]time.Time{}, busy: map[*exec.Cmd]bool{}, version: 1, counts: map[string]int{}}
	var err error
	s.cluster, err = e.startCluster(localClusterOptions{
		name:          "soak",
		controllers:   soakControllers,
		gateways:      e.Scale(4, 8),
		configuration: simcluster.ExampleConfiguration(1, simcluster.FirstSharding),
		addServers: addServers(simcluster.ExampleServices, soakServers, func(c *simcluster.Cluster, service string) {
			c.AddServer(service, soakServiceTime)
		}),
	})
	if err != nil {
		return err
	}
	defer s.cluster.stop()
	var addresses []string
	for _, controller := range s.cluster.cluster.Controllers {
		addresses = append(addresses, controller.ControlAddress())
	}
	s.client = controlclient.New(addresses)
	time.Sleep(soakSettle)
	s.startClients(e.Scale(16, 48))
	s.disturb(ctx, time.Duration(e.Scale(14, 40))*time.Second)
	close(s.done)
	s.running.Wait()
	for what, count := range s.counts {
		e.Record.SetMetric(what, float64(count))
	}
	if s.finding != nil {
		return s.finding
	}
	return s.checkEnd(ctx)
}

// find keeps the first finding.
func (s *soak) find(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finding == nil {
		s.finding = fmt.Errorf(format, args...)
	}
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// wasUnsound reports whether a gateway was killed or suspended at some time since.
func (s *soak) wasUnsound(gateway int, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.unsound[gateway]
	if len(times)%2 == 1 {
		return true
	}
	return len(times) > 0 && times[len(times)-1].After(since)
}

// mark notes that a gateway becomes unsound, or sound again.
func (s *soak) mark(gateway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsound[gateway] = append(s.unsound[gateway], time.Now())
}

// disturb runs series of disturbances beside each other for a time.
func (s *soak) disturb(ctx context.Context, duration time.Duration) {
	end := time.Now().Add(duration)
	var series sync.WaitGroup
	for number := range soakSeries {
		series.Go(func() {
			random := rand.New(rand.NewPCG(s.env.Seed, uint64(number)))
			disturbances := s.disturbances(ctx)
			for time.Now().Before(end) {
				disturbances[random.IntN(len(disturbances))](random)
				time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
			}
		})
	}
	series.Wait()
}

// disturbances are what may happen; each returns once it is over.
func (s *soak) disturbances(ctx context.Context) []func(random *rand.Rand) {
	return []func(random *rand.Rand){
		s.restartGateway(syscall.SIGTERM), s.restartGateway(syscall.SIGTERM), s.restartGateway(syscall.SIGKILL),
		s.suspendGateway, s.hangUp,
		s.restartController(syscall.SIGTERM), s.restartController(syscall.SIGKILL), s.suspendController,
		s.crashServer,
		func(random *rand.Rand) { s.change(ctx, random) },
		func(random *rand.Rand) { s.change(ctx, random) },
		func(random *rand.Rand) { s.rollOut(ctx, random) },
	}
}

// claim returns a gateway that nothing else disturbs, -1 = there is none; release ends the claim.
func (s *soak) claim(random *rand.Rand) (gateway int, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gateway = random.IntN(len(s.cluster.gateways))
	process := s.cluster.gateways[gateway]
	if s.busy[process] || len(s.busy) > len(s.cluster.gateways)/2 {
		return -1, nil
	}
	s.busy[process] = true
	return gateway, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, process)
	}
}

func (s *soak) restartGateway(signal syscall.Signal) func(*rand.Rand) {
	return func(random *rand.Rand) {
		gateway, release := s.claim(random)
		if gateway < 0 {
			return
		}
		defer release()
		s.count("gateways ended by " + signal.String())
		if signal == syscall.SIGKILL {
			s.mark(gateway)
			defer s.mark(gateway)
		}
		if err := s.restart(s.cluster.gateways, gateway, gatewayProgram, signal); err != nil {
			s.find("gateway %d: %w", gateway, err)
		}
	}
}

// restart ends a process by a signal and starts it again.
func (s *soak) restart(processes []*exec.Cmd, index int, program string, signal syscall.Signal) error {
	process := processes[index]
	process.Process.Signal(signal)
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	select {
	case err := <-ended:
		if signal == syscall.SIGTERM && err != nil {
			return fmt.Errorf("it ends by %w after SIGTERM", err)
		}
	case <-time.After(soakGrace):
		return errors.New("it does not end within the grace period")
	}
	next, err := s.cluster.startProgram(program, s.cluster.settingsPaths[process])
	if err == nil {
		s.mu.Lock()
		processes[index] = next
		s.mu.Unlock()
	}
	return err
}

func (s *soak) suspendGateway(random *rand.Rand) {
	gateway, release := s.claim(random)
	if gateway < 0 {
		return
	}
	defer release()
	s.count("gateways suspended")
	s.mark(gateway)
	defer s.mark(gateway)
	suspendFor(s.cluster.gateways[gateway], time.Duration(random.Int64N(int64(soakMaxSuspension))))
}

// suspendFor stops a process and lets it continue after a time, for which it waits.
func suspendFor(process *exec.Cmd, duration time.Duration) {
	process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	process.Process.Signal(syscall.SIGCONT)
}

// hangUp tells a gateway that its settings file has changed.
func (s *soak) hangUp(random *rand.Rand) {
	if gateway, release := s.claim(random); gateway >= 0 {
		s.count("hang-ups")
		s.cluster.gateways[gateway].Process.Signal(syscall.SIGHUP)
		release()
	}
}

func (s *soak) restartController(signal syscall.Signal) func(*rand.Rand) {
	return func(random *rand.Rand) {
		s.controllerMu.Lock()
		defer s.controllerMu.Unlock()
		s.count("controllers ended by " + signal.String())
		index := random.IntN(soakControllers)
		if err := s.restart(s.cluster.controllers, index, controllerProgram, signal); err != nil {
			s.find("controller %d: %w", index, err)
		}
		time.Sleep(soakSettle) // it catches up before another one may be lost
	}
}

func (s *soak) suspendController(random *rand.Rand) {
	s.controllerMu.Lock()
	defer s.controllerMu.Unlock()
	s.count("controllers suspended")
	suspendFor(s.cluster.controllers[random.IntN(soakControllers)], time.Duration(random.Int64N(int64(soakMaxSuspension))))
	time.Sleep(soakSettle / 2)
}

// crashServer crashes one server of a service that other servers hold too, and starts it again.
func (s *soak) crashServer(random *rand.Rand) {
	s.controllerMu.Lock() // one at a time
	defer s.controllerMu.Unlock()
	servers := s.cluster.cluster.Servers
	server := servers[random.IntN(len(servers))]
	s.count("servers crashed")
	server.Crash(false)
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	if err := server.Start(); err != nil {
		s.find("start server: %w", err)
	}
}

// change replaces the configuration.
func (s *soak) change(ctx context.Context, random *rand.Rand) {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	sharding := simcluster.FirstSharding
	if random.IntN(2) == 0 {
		sharding = simcluster.SecondSharding
	}
	s.mu.Lock()
	current := s.version
	s.mu.Unlock()
	next := current + 1 + random.Uint64N(3)
	committed, err := s.client.ReplaceConfiguration(ctx, current, simcluster.ExampleConfiguration(next, sharding))
	for attempt := 0; err != nil && attempt < 10; attempt++ { // without a clear answer the same is sent again
		var refused *controlclient.StatusError
		if errors.As(err, &refused) && refused.Status/100 == 4 {
			s.find("version %d on %d: %w", next, current, err)
			return
		}
		time.Sleep(200 * time.Millisecond)
		committed, err = s.client.ReplaceConfiguration(ctx, current, simcluster.ExampleConfiguration(next, sharding))
	}
	if err != nil {
		s.find("version %d on %d is not acknowledged: %w", next, current, err)
		return
	}
	s.count("versions committed")
	s.mu.Lock()
	s.version = committed
	s.mu.Unlock()
}

// rollOut begins a rollout to a version that no server has, and may revert it.
func (s *soak) rollOut(ctx context.Context, random *rand.Rand) {
	service := simcluster.ExampleServices[random.IntN(len(simcluster.ExampleServices))]
	order := rollout.Order{Service: service, TargetVersion: fmt.Sprint("v", random.Uint32()), DurationS: 2 + 4*random.Float64()}
	if err := s.client.BeginRollout(ctx, order); err == nil {
		s.count("rollouts begun")
	}
	if random.IntN(2) == 0 {
		s.client.RevertRollout(ctx, service)
	}
}

// checkEnd checks, once all runs again, that what was acknowledged last is there, and that every gateway serves.
func (s *soak) checkEnd(ctx context.Context) error {
	deadline := time.Now().Add(soakConvergence)
	for i, controller := range s.cluster.cluster.Controllers {
		alone := controlclient.New([]string{controller.ControlAddress()})
		for {
			read, _, err := alone.Configuration(ctx)
			if err == nil && read.Version == s.version {
				break
			}
			if err == nil || time.Now().After(deadline) {
				return fmt.Errorf("controller %d tells %v, %v where version %d was acknowledged last", i, read, err, s.version)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for i := range s.cluster.gateways {
		for {
			id := fmt.Sprint("end-", i)
			c := s.cluster.cluster
			if c.SendRequest(c.Gateways[i], http.MethodGet, exampleHost, rolloutSinglePath, id, time.Second).Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %d does not serve %v after the last disturbance", i, soakConvergence)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
