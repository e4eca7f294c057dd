package colony

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
		s.c.Meadow.PowerOn(s.IP)
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
			state = config.StateDraining
		}
		s.mu.Unlock()
		text, _ := json.Marshal(config.Heartbeat{Service: s.Service, Address: s.Address(), Zone: zoneOf(s.IP), Version: "v1", CapacitySlots: 3,
			State: state, Sequence: uint64(seq)})
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
	text, _ := json.Marshal(config.Heartbeat{Service: s.Service, Address: s.Address(), Zone: zoneOf(s.IP), Version: "v1", CapacitySlots: 3,
		State: config.StateDraining, Sequence: 1 << 30})
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
