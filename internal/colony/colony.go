// Package colony plays a whole system in one process: hives and foragers as they are, servers, an operator and clients of
// our own model, on a simulated network. It is what the tests of the system stand on, and the base of its emulator. It
// checks what came back against what it knows must come back; the rules' names are those of the operators' page.
package colony

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rs/zerolog"

	"oxbowspan/comb"
	"oxbowspan/forager"
	"oxbowspan/hive"
	"oxbowspan/internal/boot"
	"oxbowspan/internal/ground"
	"oxbowspan/internal/meadow"
)

// Colony is one system and its surroundings.
type Colony struct {
	Meadow      *meadow.Meadow // nil = the machine's own network
	Dir         string         // holds the hives' disks
	Log         zerolog.Logger
	Beat        time.Duration
	Hives       []*HiveMachine
	Gather      []*ForagerMachine
	Servers     []*Server
	Ledger      *Ledger
	rand        *rand.Rand
	seeds       []string
	JudgeAlone  bool       // told to the foragers
	descriptors int        // of each process; 0 = no limit is told
	mu          sync.Mutex // over the list of hives, which grows
	first       bool
	counted     int
	net, base   int // the first byte of all addresses, and the first zone's second
}

const (
	controlPort = 8700
	frontPort   = 8720
	readyPort   = 8721
	innerPort   = 7100
	serverPort  = 8000
)

// New makes a colony with so many hives and foragers, spread over three zones. Nothing runs yet.
func New(dir string, seed uint64, hives, foragers int) *Colony {
	c := &Colony{Dir: dir, Log: zerolog.Nop(), Beat: 1200 * time.Millisecond, rand: rand.New(rand.NewPCG(seed, 1)), first: true,
		Ledger: newLedger(), counted: (hives - 1) / 2}
	c.net = 10
	c.Meadow = meadow.New(func(from, to string) time.Duration {
		if zoneOf(from) == zoneOf(to) {
			return 100 * time.Microsecond
		}
		return time.Millisecond
	})
	c.lay(hives, foragers)
	return c
}

// Local makes a colony whose processes are started by somebody else, on loopback: machines are addresses of 127/8.
func Local(dir string, hives, foragers int) *Colony {
	c := &Colony{Dir: dir, Log: zerolog.Nop(), Beat: 1200 * time.Millisecond, rand: rand.New(rand.NewPCG(rand.Uint64(), 1)), first: true,
		Ledger: newLedger(), counted: (hives - 1) / 2, net: 127, base: 1 + 3*(os.Getpid()%80)} // so that two may run at once
	c.lay(hives, foragers)
	return c
}

func (c *Colony) lay(hives, foragers int) {
	for i := range hives {
		c.Hives = append(c.Hives, &HiveMachine{c: c, IP: fmt.Sprintf("%d.%d.1.%d", c.net, c.base+i%3, i+1)})
	}
	for i := range foragers {
		c.Gather = append(c.Gather, &ForagerMachine{c: c, IP: fmt.Sprintf("%d.%d.%d.%d", c.net, c.base+i%3, 100+i/200, i%200+1)})
	}
	for _, h := range c.Hives[:min(3, hives)] {
		c.seeds = append(c.seeds, h.Control())
	}
}

// at is the network as a machine sees it.
func (c *Colony) at(ip string) ground.Network {
	if c.Meadow == nil {
		return ground.TCP{}
	}
	return c.Meadow.Host(ip)
}

// WriteBoot writes the settings files of all machines into the colony's folder and returns their names, hives first.
func (c *Colony) WriteBoot() (hives, foragers []string, err error) {
	write := func(name string, s *boot.Settings) (string, error) {
		path := filepath.Join(c.Dir, name+".toml")
		var text bytes.Buffer
		if err := toml.NewEncoder(&text).Encode(s); err != nil {
			return "", err
		}
		return path, os.WriteFile(path, text.Bytes(), 0o644)
	}
	for i, m := range c.Hives {
		path, err := write(fmt.Sprint("hive-", i+1), m.settings())
		if err != nil {
			return nil, nil, err
		}
		hives = append(hives, path)
	}
	for i, m := range c.Gather {
		path, err := write(fmt.Sprint("forager-", i+1), m.settings())
		if err != nil {
			return nil, nil, err
		}
		foragers = append(foragers, path)
	}
	return hives, foragers, nil
}

func zoneOf(ip string) string { return "zone-" + strings.Split(ip, ".")[1] }

func (c *Colony) settings(ip string) *boot.Settings {
	s := &boot.Settings{NodeName: ip, IPAddress: ip, Zone: zoneOf(ip), Region: "r", InternalPorts: []int{innerPort, innerPort + 9},
		SeedAddresses: c.seeds, FirstStart: c.first, BeatIntervalMS: float64(c.Beat / time.Millisecond),
		Zones: map[string]string{}}
	for i := range 3 {
		s.Zones[fmt.Sprint("zone-", c.base+i)] = "r"
	}
	s.JudgeAlone = c.JudgeAlone
	s.Tolerated.Machines, s.Limits.FileDescriptors = c.counted, c.descriptors
	s.Bounds.GracePeriodS, s.Bounds.BudgetWindowS, s.Bounds.BudgetExtraTries, s.Bounds.RetryBudgetRatio = 6, 10, 54, 0.2
	s.Bounds.HasRetryBudget = true
	return s
}

// life is one run of a machine's process, if there is one.
type life struct {
	stop context.CancelFunc
	done chan struct{}
}

func (l *life) begin(run func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	l.stop, l.done = stop, make(chan struct{})
	go func(done chan struct{}) { run(ctx); close(done) }(l.done)
}

func (l *life) end() {
	l.stop()
	<-l.done
}

// HiveMachine is a machine of the core.
type HiveMachine struct {
	c   *Colony
	IP  string
	Now *hive.Hive // nil = it does not run
	life
}

// Control is where servers and the operator call it.
func (m *HiveMachine) Control() string { return net.JoinHostPort(m.IP, strconv.Itoa(controlPort)) }

func (m *HiveMachine) disk() string { return filepath.Join(m.c.Dir, m.IP) }

func (m *HiveMachine) settings() *boot.Settings {
	s := m.c.settings(m.IP)
	s.Listen.Control, s.DataDirectory = m.Control(), m.disk()
	return s
}

// Start starts the process.
func (m *HiveMachine) Start() error {
	m.c.Meadow.Light(m.IP)
	h, err := hive.New(m.settings(), m.c.Meadow.Host(m.IP), m.c.Log.With().Str("node", m.IP).Logger())
	if err != nil {
		return err
	}
	m.Now = h
	m.begin(h.Run)
	return nil
}

// AddHive adds a machine of the core, at an address of its own. Later ones name the seeds that are there then.
func (c *Colony) AddHive() *HiveMachine {
	m := &HiveMachine{c: c, IP: fmt.Sprintf("%d.%d.1.%d", c.net, c.base+len(c.Hives)%3, len(c.Hives)+1)}
	c.mu.Lock()
	c.Hives = append(c.Hives, m)
	c.mu.Unlock()
	return m
}

// Seeds turns over the seeds that later starts are told.
func (c *Colony) Seeds(of ...*HiveMachine) {
	c.seeds = nil
	for _, m := range of {
		c.seeds = append(c.seeds, m.Control())
	}
}

// Wipe empties the disk of a machine that does not run.
func (m *HiveMachine) Wipe() { os.RemoveAll(m.disk()) }

// ForagerMachine is a machine that takes clients.
type ForagerMachine struct {
	c   *Colony
	IP  string
	Now *forager.Forager
	life
}

// Front is where clients reach it.
func (m *ForagerMachine) Front() string { return net.JoinHostPort(m.IP, strconv.Itoa(frontPort)) }

func (m *ForagerMachine) settings() *boot.Settings {
	s := m.c.settings(m.IP)
	s.Listen.Front, s.Listen.Readiness = m.Front(), net.JoinHostPort(m.IP, strconv.Itoa(readyPort))
	return s
}

// Start starts the process.
func (m *ForagerMachine) Start() {
	m.c.Meadow.Light(m.IP)
	f := forager.New(m.settings(), m.c.Meadow.Host(m.IP), m.c.Log.With().Str("node", m.IP).Logger())
	m.Now = f
	m.begin(f.Run)
}

// Kill kills the process; with power, the machine goes dark. A disk stays.
func (m *HiveMachine) Kill(power bool) {
	if m.Now != nil {
		m.c.Meadow.Kill(m.IP, power)
		m.Now.Kill()
		<-m.done // before its end in order is asked for: a kill has none
		m.Leave()
	}
}

// Leave ends the process in order.
func (m *HiveMachine) Leave() {
	if m.Now != nil {
		m.end()
		m.Now = nil
	}
}

// Kill kills the process; with power, the machine goes dark. A disk stays.
func (m *ForagerMachine) Kill(power bool) {
	if m.Now != nil {
		m.c.Meadow.Kill(m.IP, power)
		m.Now.Kill()
		<-m.done // before its end in order is asked for: a kill has none
		m.Leave()
	}
}

// Leave ends the process in order.
func (m *ForagerMachine) Leave() {
	if m.Now != nil {
		m.end()
		m.Now = nil
	}
}

// Start starts everything there is for the first time.
func (c *Colony) Start() error {
	for _, h := range c.Hives {
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, f := range c.Gather {
		f.Start()
	}
	c.first = false
	return nil
}

// Stop ends everything.
func (c *Colony) Stop() {
	for _, s := range c.Servers {
		s.Crash(false)
	}
	for _, f := range c.Gather {
		f.Kill(false)
	}
	for _, h := range c.Hives {
		h.Kill(false)
	}
}

// Ledger counts what servers ran, by request, and what came to them beyond the first of each.
type Ledger struct {
	mu     sync.Mutex
	runs   map[string]int // by the request's id and the service
	came   map[string]int // the same, turned away ones too
	wanted map[string][]time.Time
	again  map[string][]time.Time
}

func newLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, came: map[string]int{}, wanted: map[string][]time.Time{}, again: map[string][]time.Time{}}
}

func (l *Ledger) run(service, id string) {
	l.mu.Lock()
	l.runs[id+" "+service]++
	l.mu.Unlock()
}

func (l *Ledger) arrived(service, id string) {
	l.mu.Lock()
	if l.came[id+" "+service]++; l.came[id+" "+service] > 1 {
		l.again[service] = append(l.again[service], time.Now())
	}
	l.mu.Unlock()
}

// Want notes that a client sends a request on a route to services.
func (l *Ledger) Want(services ...string) {
	l.mu.Lock()
	for _, s := range services {
		l.wanted[s] = append(l.wanted[s], time.Now())
	}
	l.mu.Unlock()
}

// BudgetUse is the most of the budget of further tries that any service saw used in any window, 1 = all of it: what came beyond
// the first of each request, over ratio times the requests in that window and the free tries.
func (l *Ledger) BudgetUse(window time.Duration, ratio, free float64) (most float64, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, again := range l.again {
		for i, end := range again {
			n, requests := 0.0, 0.0
			for _, t := range again[:i+1] {
				if end.Sub(t) < window {
					n++
				}
			}
			for _, t := range l.wanted[name] {
				if d := end.Sub(t); d >= 0 && d < window {
					requests++
				}
			}
			if use := n / (ratio*requests + free); use > most {
				most, service = use, name
			}
		}
	}
	return most, service
}

// Runs is how often a service ran a request.
func (l *Ledger) Runs(service, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id+" "+service]
}

// Records is what any server of a service answers to a request: it depends on nothing else.
func Records(service, id string, n int) []byte {
	h := fnv.New64a()
	h.Write([]byte(service + "/" + id))
	r := rand.New(rand.NewPCG(h.Sum64(), 7))
	b := make([]byte, 0, 16*n)
	for range n {
		b = binary.BigEndian.AppendUint64(b, r.Uint64N(50)) // few values, so that some are equal
		b = binary.BigEndian.AppendUint64(b, r.Uint64())
	}
	return b
}

// Server is a server of a service, for one life at a time.
type Server struct {
	c        *Colony
	Service  string
	IP       string
	Work     time.Duration
	Records  int
	Instance string
	Garble   func() string // nil, or what befalls an answer: "", "break", "status", "other"
	web      *http.Server
	quit     context.CancelFunc
	beating  sync.WaitGroup
	slots    chan struct{}
	draining bool
	Probed   int             // how often its health was asked for
	LastAt   time.Time       // when a request last came
	Slots    int             // requests that it works on at once; 0 = 3
	Limit    int             // connections that it takes together, 0 = any number; it ends those beyond
	Refused  int             // so many
	hung     atomic.Bool     // it takes requests and answers none
	Arrivals func(time.Time) // nil, or told of each request; set before Start
	mu       sync.Mutex
}

// AddServer adds a server that does not run yet.
func (c *Colony) AddServer(service string, work time.Duration) *Server {
	i := len(c.Servers)
	s := &Server{c: c, Service: service, IP: fmt.Sprintf("%d.%d.%d.%d", c.net, c.base+i%3, 3+i/200, i%200+1), Work: work, Records: 20}
	c.Servers = append(c.Servers, s)
	return s
}

// Address is where it serves.
func (s *Server) Address() string { return net.JoinHostPort(s.IP, strconv.Itoa(serverPort)) }

// Start begins a new life.
func (s *Server) Start() error {
	s.mu.Lock()
	s.Instance = fmt.Sprintf("i-%08x", s.c.rand.Uint32())
	s.slots, s.draining = make(chan struct{}, cmp.Or(s.Slots, 3)), false
	s.mu.Unlock()
	if s.c.Meadow != nil {
		s.c.Meadow.Light(s.IP)
	}
	l, err := s.c.at(s.IP).Listen(s.Address())
	if err != nil {
		return err
	}
	if s.Limit > 0 {
		l = &limited{Listener: l, s: s}
	}
	s.web = &http.Server{Handler: http.HandlerFunc(s.serve)}
	ctx, quit := context.WithCancel(context.Background())
	s.quit = quit
	s.beating.Add(2)
	go func() { defer s.beating.Done(); s.web.Serve(l) }()
	go func() { defer s.beating.Done(); s.beat(ctx) }()
	return nil
}

// limited ends connections beyond a server's limit as soon as they come.
type limited struct {
	net.Listener
	s    *Server
	open int // under the server's lock
}

type counted struct {
	net.Conn
	l    *limited
	once sync.Once
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.s.mu.Lock()
		over := l.open >= l.s.Limit
		if over {
			l.s.Refused++
		} else {
			l.open++
		}
		l.s.mu.Unlock()
		if !over {
			return &counted{Conn: c, l: l}, nil
		}
		c.Close()
	}
}

func (c *counted) Close() error {
	c.once.Do(func() {
		c.l.s.mu.Lock()
		c.l.open--
		c.l.s.mu.Unlock()
	})
	return c.Conn.Close()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	instance, slots := s.Instance, s.slots // of this life
	if r.URL.Path != "/health" {
		s.LastAt = time.Now()
		if s.Arrivals != nil {
			s.Arrivals(s.LastAt)
		}
		s.c.Ledger.arrived(s.Service, id)
	}
	s.mu.Unlock()
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != instance {
		w.Header().Set("X-Instance-Id", instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-slots }()
	if r.URL.Path == "/health" {
		s.mu.Lock()
		draining := s.draining
		s.Probed++
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
	s.c.Ledger.run(s.Service, id)
	s.mu.Lock()
	work := s.Work
	s.mu.Unlock()
	time.Sleep(work)
	body := Records(s.Service, id, s.Records)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Seal", instance+"."+s.Service+"."+id)
	what := ""
	if s.Garble != nil {
		what = s.Garble()
	}
	switch what {
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

// beat calls the hives about as often as servers do.
func (s *Server) beat(ctx context.Context) {
	client := s.c.client(s.IP)
	defer client.CloseIdleConnections()
	for seq := 1; ctx.Err() == nil; seq++ {
		s.mu.Lock()
		state := "ready"
		if s.draining {
			state = comb.StateDraining
		}
		s.mu.Unlock()
		text, _ := json.Marshal(comb.Heartbeat{Service: s.Service, Address: s.Address(), Zone: zoneOf(s.IP), Version: "v1", CapacitySlots: 3,
			State: state, CallSequence: uint64(seq)})
		for range 4 {
			if s.c.post(ctx, client, s.anyHive(), "/-/instances/"+s.Instance+"/heartbeat", string(text)) == http.StatusOK {
				break
			}
		}
		select {
		case <-time.After(s.c.Beat):
		case <-ctx.Done():
		}
	}
}

// Take changes how long a server works on a request.
func (s *Server) Take(work time.Duration) {
	s.mu.Lock()
	s.Work = work
	s.mu.Unlock()
}

// Watch has a server tell of each request; nil = no more.
func (s *Server) Watch(arrival func(time.Time)) {
	s.mu.Lock()
	s.Arrivals = arrival
	s.mu.Unlock()
}

// Hang has a server take requests and answer none, or no more.
func (s *Server) Hang(is bool) { s.hung.Store(is) }

// Drain has a server say that it leaves. It returns when a hive has acknowledged it, the zero time = none did.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	client := s.c.client(s.IP)
	defer client.CloseIdleConnections()
	text, _ := json.Marshal(comb.Heartbeat{Service: s.Service, Address: s.Address(), Zone: zoneOf(s.IP), Version: "v1", CapacitySlots: 3,
		State: comb.StateDraining, CallSequence: 1 << 30})
	for range 4 {
		if s.c.post(context.Background(), client, s.anyHive(), "/-/instances/"+s.Instance+"/heartbeat", string(text)) == http.StatusOK {
			return time.Now()
		}
	}
	return time.Time{}
}

func (s *Server) anyHive() string {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.c.Hives[rand.IntN(len(s.c.Hives))].Control()
}

// Crash ends its life without a word; dark, its machine answers nothing any more.
func (s *Server) Crash(dark bool) {
	if s.web == nil {
		return
	}
	if s.c.Meadow != nil {
		s.c.Meadow.Kill(s.IP, dark)
	}
	s.quit()
	s.web.Close()
	s.beating.Wait()
	s.web = nil
}

// client makes HTTP calls from a machine. Each call is given up after a second.
func (c *Colony) client(ip string) *http.Client {
	host := c.at(ip)
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, addr string) (net.Conn, error) { return host.Dial(addr, time.Second) }}}
}

func (c *Colony) post(ctx context.Context, client *http.Client, to, path, body string, headers ...string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Replace sends a configuration to one hive. 0 = no clear answer.
func (c *Colony) Replace(to *HiveMachine, basedOn uint64, body []byte) int {
	client := c.client("10.0.9.9")
	defer client.CloseIdleConnections()
	return c.post(context.Background(), client, to.Control(), "/-/configuration/replace", string(body),
		"X-Based-On-Version", strconv.FormatUint(basedOn, 10))
}

// ReplaceNote sends a document that stands beside the configuration to one hive. 0 = no clear answer.
func (c *Colony) ReplaceNote(to *HiveMachine, name string, basedOn uint64, body []byte) int {
	client := c.client("10.0.9.9")
	defer client.CloseIdleConnections()
	return c.post(context.Background(), client, to.Control(), "/-/"+name+"/replace", string(body),
		"X-Based-On-Version", strconv.FormatUint(basedOn, 10))
}

// Read asks one hive for a resource. nil = no answer.
func (c *Colony) Read(from *HiveMachine, path string) []byte {
	client := c.client("10.0.9.9")
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + from.Control() + path)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return body
}

// ReadConfig asks one hive for the newest configuration. nil = no answer.
func (c *Colony) ReadConfig(from *HiveMachine) []byte { return c.Read(from, "/-/configuration/read") }

// Answer is what a client got.
type Answer struct {
	Status  int // 0 = none
	Header  http.Header
	Body    []byte
	Elapsed time.Duration
}

// Ask sends one request to a forager.
func (c *Colony) Ask(to *ForagerMachine, method, host, path, id string, patience time.Duration) Answer {
	h := c.at("10.0.9.8")
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, addr string) (net.Conn, error) { return h.Dial(addr, time.Second) }}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(method, "http://"+to.Front()+path, nil)
	if err != nil {
		return Answer{}
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(patience.Milliseconds(), 10))
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Elapsed: time.Since(began)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Elapsed: time.Since(began)}
	}
	return Answer{resp.StatusCode, resp.Header, body, time.Since(began)}
}

// CheckGathered tells what is wrong with a success to a gathered request, "" = nothing. Sets are the sets of services that
// configurations named, least the least share of parts.
func CheckGathered(a Answer, id string, sets [][]string, records, top int, least float64) string {
	var services []string
	for _, seal := range strings.Split(a.Header.Get("X-Part-Seals"), ",") {
		fields := strings.Split(strings.TrimSpace(seal), ".")
		if len(fields) != 3 || fields[2] != id {
			return fmt.Sprintf("MIXED: the stamp %q is not one for request %s", seal, id)
		}
		if slices.Contains(services, fields[1]) {
			return "MIXED: two stamps of service " + fields[1]
		}
		services = append(services, fields[1])
	}
	missing, err := strconv.Atoi(a.Header.Get("X-Missing-Parts"))
	if err != nil {
		return "MIXED: X-Missing-Parts is not a number"
	}
	fits := slices.ContainsFunc(sets, func(set []string) bool {
		return len(set) == len(services)+missing && float64(len(services)) >= least*float64(len(set)) &&
			!slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) })
	})
	if !fits {
		return fmt.Sprintf("MIXED: parts of %v with %d missing are no set of one configuration", services, missing)
	}
	var all []string
	for _, s := range services {
		part := Records(s, id, records)
		for len(part) >= 16 {
			all, part = append(all, string(part[:16])), part[16:]
		}
	}
	slices.SortFunc(all, func(a, b string) int { return strings.Compare(b, a) })
	if string(a.Body) != strings.Join(all[:min(top, len(all))], "") {
		return "MIXED: the body is not the greatest records of the named parts"
	}
	return ""
}
