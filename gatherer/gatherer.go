// Package gatherer is a whole gatherer that a program can embed: HTTP for clients on one side, shard servers and
// discovery on the other, and between them the decisions of package brain.
//
// Load or fill in a Setup, make a Gatherer with New, and Run it until its context is done.
package gatherer

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"oxbowspan/balancer"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/internal/shardconn"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// Setup is what a gatherer is told, as its configuration file has it.
type Setup struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`    // address for clients
	Discovery string          `json:"discovery"` // address of the list service
	Seed      string          `json:"seed"`      // hex, for random numbers
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"` // the list as last held; it may be old
	Settings  json.RawMessage `json:"settings"`
	Operator  *Operator       `json:"-"` // the operator's own file; nil = none
}

// Operator is what an operator's own file says.
type Operator = operatorconfig.File

// LoadOperator reads and checks an operator's file. Its error names all faults, a line each.
func LoadOperator(path string) (*Operator, error) { return operatorconfig.Load(path) }

// Load reads a configuration file.
func Load(path string) (Setup, error) {
	var s Setup
	b, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// deployment checks a setup and reads its settings.
func (s Setup) deployment() (d balancerconfig.Deployment, err error) {
	if s.Listen == "" || s.Discovery == "" {
		return d, errors.New("an address is missing: listen and discovery are both needed")
	}
	if _, _, err := net.SplitHostPort(s.Discovery); err != nil {
		return d, fmt.Errorf("discovery: %w", err)
	}
	seed := uint64(0)
	if s.Seed != "" {
		if seed, err = strconv.ParseUint(s.Seed, 16, 64); err != nil {
			return d, fmt.Errorf("seed %.40q is not a hex number", s.Seed)
		}
	}
	if len(s.Settings) == 0 {
		return d, errors.New("settings are missing")
	}
	if d, err = balancerconfig.FromJSON(s.Settings, seed); err != nil {
		return d, err
	}
	for i := range d.Balancer.QueryTypes {
		q := &d.Balancer.QueryTypes[i]
		if q.SecondPhaseCalls > 0 {
			return d, fmt.Errorf("query type %q has a second step, which the protocol on sockets does not have", d.QueryTypes[i])
		}
		if q.Idempotency == balancer.Deduplicated { // the protocol names no place in a frame for the token, so no server could tell a repeat
			q.Idempotency = balancer.NonIdempotent
		}
	}
	if d.ConnectTimeout <= 0 {
		return d, errors.New("setting limits.dialTimeout is missing")
	}
	if o := s.reducing(); o != nil {
		if _, err := o.For(d.QueryTypes); err != nil {
			return d, err
		}
	}
	if s.fleet() != nil {
		if err := s.joins(d); err != nil {
			return d, err
		}
	}
	return d, s.merges(d)
}

// fleet is what the operator's file says of the fleet; nil = nothing.
func (s Setup) fleet() *operatorconfig.Fleet {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Fleet
}

// joins checks what the operator's file says of the fleet against the configuration.
func (s Setup) joins(d balancerconfig.Deployment) error {
	f, steward := s.Operator.Fleet, false
	for _, a := range f.Stewards {
		steward = steward || a.Name == s.Name
	}
	switch {
	case !d.AllowPeers:
		return s.Operator.FleetFault("gatherers may not talk to each other here (limits.peers of the settings is not true)")
	case steward && (f.Listen == "" || f.Path == ""):
		return s.Operator.FleetFault("this gatherer is a steward, and needs listen, its address for the fleet, and path, where its log is kept")
	}
	return nil
}

// merges checks what the operator's file lets be merged against the settings.
func (s Setup) merges(d balancerconfig.Deployment) error {
	m := s.merging()
	if m == nil {
		return nil
	}
	var errs []error
	for name, a := range m.Types {
		switch at := slices.Index(d.QueryTypes, name); {
		case at < 0:
			errs = append(errs, s.Operator.TypeFault(name, "is no query type of the settings"))
		case d.Balancer.QueryTypes[at].Idempotency != balancer.Idempotent:
			errs = append(errs, s.Operator.TypeFault(name, "is not idempotent: a merge past its limits is shed, which says that asking again is harmless"))
		case slices.Contains(a.Kinds, merge.Paged) && d.Balancer.QueryTypes[at].CompleteCoverage < 1:
			errs = append(errs, s.Operator.TypeFault(name, "counts as whole short of a part (domain.wholeAt): pages would never wait for the last segment, and no walk would end"))
		}
	}
	return operatorconfig.Join(errs...)
}

func (s Setup) merging() *operatorconfig.Merging {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Merging
}

// connections is what the operator's file says of clients' connections.
func (s Setup) connections() (c operatorconfig.Connections) {
	if s.Operator != nil && s.Operator.Connections != nil {
		c = *s.Operator.Connections
	}
	return c
}

// storing is what the operator's file says of the store; nil = there is none.
func (s Setup) storing() *operatorconfig.Store {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Store
}

// operate puts what the operator's file says in force.
func (g *Gatherer) operate(s Setup) {
	m := s.merging()
	g.proxy.merging.Store(m)
	g.limitMerges(1)
	g.held.Limit(s.Limits.ledger(s.memory()))
}

// limitMerges puts a share of the limits on merges in force.
func (g *Gatherer) limitMerges(share float64) {
	if m := g.proxy.merging.Load(); m != nil {
		part := func(n int64) int64 { return int64(float64(n) * share) }
		g.module.merges.Limit(part(m.MostBytes), part(m.MostRows), part(m.MostOpen))
	}
}

// reducing is what the operator's file says of reduced service; nil = it is never reduced.
func (s Setup) reducing() *operatorconfig.Levels {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Levels
}

// memory is what the operator's file says of memory in sum; nil = nothing.
func (s Setup) memory() *operatorconfig.Memory {
	if s.Operator == nil {
		return nil
	}
	return s.Operator.Memory
}

// Gatherer is one gatherer.
type Gatherer struct {
	mu     sync.Mutex
	setup  Setup              // in force; discovery may change
	list   *discovery.Watcher // nil = Run has not begun, or is over
	front  *front
	proxy  *transport
	module *module
	held   *memorybudget.Ledger
	d      balancerconfig.Deployment
	known  discovery.ServerList
	counts counts
}

// New checks a setup and makes a gatherer of it. It opens nothing.
func New(s Setup) (*Gatherer, error) {
	d, err := s.deployment()
	if err != nil {
		return nil, err
	}
	g := &Gatherer{setup: s, d: d, held: memorybudget.New(memorybudget.Figures{}, memoryTurned)}
	if len(s.Known) > 0 && string(s.Known) != "null" {
		var err error
		if g.known, err = discovery.Parse(s.Known, g.fits); err != nil {
			slog.Warn("known_left_out", "error", err) // the list will come from discovery
		}
	}
	_, servers := s.Limits.split()
	box := mailbox{make(chan any, mailboxSize), make(chan struct{})}
	g.module = &module{mailbox: box, d: d, clock: newClock(), brain: balancer.New(d.Balancer), budget: newDescriptors(servers), merges: &merge.Budget{},
		memory: g.held, expect: memorybudget.NewExpect(len(d.QueryTypes), firstValue),
		figures: shardconn.Config{ConnectTimeout: d.ConnectTimeout, IdleTimeout: d.IdleTimeout, StreamsPerConn: d.StreamsPerConn,
			CallsPerFrame: d.CallsPerFrame, LoadHealthChecks: d.LoadReportsByHealthCheck, LoadReports: len(d.LoadReportFields) > 0, Memory: accountOf{g.held, memorybudget.Servers}},
		searches: map[balancer.RequestID]*search{}, parts: map[balancer.ShardCallID]*part{}, wires: map[string]int{},
		servers: map[balancer.ServerID]*server{}, ids: map[string]balancer.ServerID{}, ended: make(chan struct{})}
	g.module.counts = &g.counts
	g.module.merges.Under(accountOf{g.held, memorybudget.Merges})
	g.proxy = newTransport(d, box, g.held)
	if o := s.storing(); o != nil {
		g.proxy.keyHeader = o.KeyHeader
	}
	if o := s.reducing(); o != nil {
		if g.module.levels, err = newLevels(g.module, o); err != nil {
			return nil, err
		}
		g.module.limitMerges = g.limitMerges
	}
	g.operate(s)
	g.front = newFront(g.proxy, duration(d.MaxClientTimeout), g.held)
	g.front.doors = s.connections()
	g.front.awake = cmp.Or(g.front.doors.Awake, s.Limits.awake())
	g.module.listed = func() { g.front.listed.Store(true) }
	return g, nil
}

// fits tells what a list entry must keep for the layout of the settings.
func (g *Gatherer) fits(e discovery.Server) error {
	if e.Health != discovery.Removed && (e.Cell < 0 || e.Cell >= g.d.Balancer.Cells) {
		return fmt.Errorf("block %d is out of range, 0 to %d are known", e.Cell, g.d.Balancer.Cells-1)
	}
	return nil
}

// Handler is the HTTP side alone, for a program with a server of its own. It answers searches while Run is on.
func (g *Gatherer) Handler() http.Handler { return g.front }

// Run listens, serves until ctx is done, drains and returns.
func (g *Gatherer) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", g.setup.Listen)
	if err != nil {
		return err
	}
	m := g.module
	if o := g.setup.storing(); o != nil {
		if m.remembers, err = openStore(o); err != nil {
			l.Close()
			return err
		}
		defer m.remembers.close()
		g.known = m.remembers.list(g.known, g.fits)
	}
	slog.Info("listening", "name", g.setup.Name, "addr", l.Addr().String())
	g.mu.Lock()
	m.list = discovery.Start(g.setup.Discovery, g.known.Version, duration(g.d.ConnectTimeout), g.fits, m.mailbox, !g.d.Balancer.ListOnRequest)
	g.list = m.list
	g.mu.Unlock()
	if o := g.setup.reducing(); o != nil && o.Socket != "" {
		socket, err := admin.Listen(o.Socket, func(q admin.Question) bool { return m.put(q) })
		if err != nil {
			l.Close()
			return err
		}
		defer socket.Close()
	}
	stop := make(chan struct{})
	if mem := g.setup.memory(); mem != nil && mem.Report > 0 {
		go reportMemory(g.held, mem.Report, stop)
	}
	m.takeList(balancer.ListCached, g.known)
	if m.remembers != nil {
		m.recall()
	}
	go m.run(stop)
	clients, _ := g.setup.Limits.split()
	err = g.front.serve(ctx, l, clients, duration(g.d.MaxClientTimeout))
	close(stop)
	<-m.ended
	g.mu.Lock()
	g.list = nil
	g.mu.Unlock()
	m.list.Stop()
	return err
}

// Reload takes a setup that has been read anew, at any time and as often as one likes, while Run goes on. A changed
// discovery address is watched at once, and the operator's file is in force for all searches that come from now on. What else differs is named in the log, as it needs a restart; the list and
// the seed are for a start alone. A setup that New would refuse changes nothing.
func (g *Gatherer) Reload(s Setup) error {
	if _, err := s.deployment(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	connections := s.connections() == g.setup.connections()
	was, now, fleet := g.setup.storing(), s.storing(), g.setup.fleet()
	stored := was == now || was != nil && now != nil && *was == *now
	reduced := s.reducing() != nil == (g.module.levels != nil) && (s.reducing() == nil || g.setup.reducing() == nil || s.reducing().Socket == g.setup.reducing().Socket)
	g.setup.Operator = s.Operator
	g.operate(s)
	if o := s.reducing(); o != nil && g.module.levels != nil {
		if f, err := o.For(g.d.QueryTypes); err == nil { // deployment has checked it
			g.module.put(levelsReplaced{f})
		}
	}
	moved := s.Discovery != g.setup.Discovery
	if g.setup.Discovery = s.Discovery; moved && g.list != nil {
		g.list.Move(s.Discovery)
	}
	var restart []string
	for _, f := range []struct {
		name string
		same bool
	}{{"name", s.Name == g.setup.Name}, {"listen", s.Listen == g.setup.Listen}, {"limits", s.Limits == g.setup.Limits},
		{"connections", connections}, {"fleet", reflect.DeepEqual(s.fleet(), fleet)}, {"store", stored}, {"levels", reduced},
		{"settings", sameJSON(s.Settings, g.setup.Settings)}} {
		if !f.same {
			restart = append(restart, f.name)
		}
	}
	slog.Info("reload", "discovery", s.Discovery, "moved", moved, "needs_restart", cmp.Or(strings.Join(restart, ","), "none"))
	return nil
}

// sameJSON tells whether two texts hold the same, whatever the order and the spaces.
func sameJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
