package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{Name: "memory", Short: "One memory budget: waves that each want more than the machine has",
		Long: `memory plays waves on a gatherer of 48 MiB, each of which wants several times that: long bodies sent slowly, long values from
many servers at once, clients that do not read long answers, and parked connections that all wake; then all together. Usual
look-ups are asked throughout. It ends with a finding if the process ever holds more than its memory, if what is accounted for
passes its limit by more than what cannot be refused, if a request gets no final answer, or if too few usual look-ups are
answered. The same waves without a section [memory] are played beside it, for comparison, and are only recorded.`, Run: runMemory})
}

const memoryMB = 48

// longValue is a part's value in the waves of long answers; with four parts an answer stays under what a body may have.
var longValue = strings.Repeat("v", 15<<10)

// memoryScenario is one gatherer under the waves.
type memoryScenario struct {
	env          *Env
	ctx          context.Context
	addr         string
	next         atomic.Uint64
	mu           sync.Mutex
	statusCounts map[string]map[int]int // answers by wave and status; 0 = none
	connections  map[net.Conn]bool      // that are held
}

func (p *memoryScenario) count(wave string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.statusCounts[wave] == nil {
		p.statusCounts[wave] = map[int]int{}
	}
	p.statusCounts[wave][status]++
}

// head and body of a search of four parts.
func (p *memoryScenario) request(text string) (head, body string) {
	s := standin.Request{ID: fmt.Sprintf("%016x", p.next.Add(1)), QueryType: "lookup", Customer: "acme", Shards: []int{0, 1, 2, 3}, Statement: text}
	b := string(s.Body())
	return fmt.Sprintf("POST /lookup HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: lookup\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 1900\r\nContent-Length: %d\r\n\r\n", s.ID, len(b)), b
}

func (p *memoryScenario) dial(received int) (net.Conn, error) {
	d := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		if received == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, received) })
	}}
	return d.Dial("tcp4", p.addr)
}

// send sends a search on a connection, its body in so many pieces, and gives the answer's status. It reads while it sends, as
// clients do: who is turned away is told so before its body is whole.
func (p *memoryScenario) send(c net.Conn, text string, pieces int, pause time.Duration) int {
	c.SetDeadline(time.Now().Add(10 * time.Second))
	head, body := p.request(text)
	answer := make(chan int, 1)
	go func() { answer <- p.readStatus(c) }()
	if _, err := io.WriteString(c, head); err != nil {
		return <-answer
	}
	tick := time.NewTicker(pause + time.Nanosecond)
	defer tick.Stop()
	for size := max(len(body)/pieces, 1); body != ""; {
		n := min(size, len(body))
		if _, err := io.WriteString(c, body[:n]); err != nil {
			break
		}
		if body = body[n:]; body != "" && pieces > 1 {
			select {
			case status := <-answer:
				return status
			case <-tick.C:
			}
		}
	}
	return <-answer
}

func (p *memoryScenario) readStatus(c net.Conn) int {
	h := clientConn{conn: c}
	return h.readStatus()
}

// runClients plays one client many times at once.
func (p *memoryScenario) runClients(n int, play func(i int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			play(i)
		}()
	}
	all.Wait()
}

func (p *memoryScenario) sendLongBodies(n int) {
	p.runClients(n, func(int) {
		c, err := p.dial(0)
		if err != nil {
			p.count("long bodies", 0)
			return
		}
		defer c.Close()
		p.count("long bodies", p.send(c, strings.Repeat("b", 60<<10), 10, 100*time.Millisecond))
	})
}

func (p *memoryScenario) requestLongResponses(n int) {
	p.runClients(n, func(int) {
		c, err := p.dial(0)
		if err != nil {
			p.count("long answers", 0)
			return
		}
		defer c.Close()
		p.count("long answers", p.send(c, "long", 1, 0))
	})
}

func (p *memoryScenario) requestWithoutReading(n int) {
	p.runClients(n, func(int) {
		c, err := p.dial(4 << 10)
		if err != nil {
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(4 * time.Second))
		head, body := p.request("long")
		io.WriteString(c, head+body)
		time.Sleep(2500 * time.Millisecond)
	})
}

func (p *memoryScenario) openIdleConnections(n int) (conns []net.Conn) {
	for try := 0; len(conns) < n && try < 3*n; try++ {
		c, err := p.dial(0)
		if err != nil {
			continue
		}
		if p.send(c, "short", 1, 0) == http.StatusOK {
			conns = append(conns, c)
			continue
		}
		c.Close() // turned away as too many are awake: a moment later there is room
		time.Sleep(5 * time.Millisecond)
	}
	return conns
}

func (p *memoryScenario) wakeIdleConnections(conns []net.Conn) {
	p.runClients(len(conns), func(i int) { p.count("all wake", p.send(conns[i], "long", 1, 0)) })
}

func runMemory(ctx context.Context, e *Env) error {
	for _, way := range []string{"counted only", "in sum"} {
		if err := e.measureMemory(ctx, way); err != nil {
			return fmt.Errorf("%s: %w", way, err)
		}
	}
	return nil
}

func (e *Env) measureMemory(ctx context.Context, way string) error {
	operator := "[connections]\ncrowd = off\nawake = 400\nhead_rate = 200\nbody_rate = 500\nanswer_rate = 4000\nsend_buffer = 16KiB\n"
	if way == "in sum" {
		operator += "[memory]\nreport = 250ms\n"
	}
	var figures runtimeMetrics
	site, err := e.StartDeployment(DeploymentOptions{Name: "memory " + way, Servers: 4, Segments: 4, MemoryMB: memoryMB, MaxDescriptors: 4000, OperatorConfig: operator, OnLogLine: figures.observeLine,
		Types: []QueryType{{"lookup", "free", time.Second, 2 * time.Second, 1, 1}},
		Handle: func(c *standin.ShardConn, part standin.ShardCall) {
			switch {
			case string(part.Query) == "long":
				time.AfterFunc(50*time.Millisecond, func() { c.Respond(part.ID, "served", longValue) })
			default:
				c.Respond(part.ID, "served", "x")
			}
		}})
	if err != nil {
		return err
	}
	defer site.Stop()
	p := &memoryScenario{env: e, ctx: ctx, addr: site.Gatherer.Addr, statusCounts: map[string]map[int]int{}}
	rest, err := ReadUsage(site.Gatherer.PID())
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var good, all atomic.Int64
	var usual sync.WaitGroup
	usual.Add(1)
	go func() { // one usual client, on a connection that it keeps
		defer usual.Done()
		h := &clientConn{closed: true, dial: func() (net.Conn, error) { return p.dial(0) }}
		pace := time.NewTicker(10 * time.Millisecond)
		defer pace.Stop()
		for {
			select {
			case <-stop:
				return
			case <-pace.C:
			}
			head, body := p.request("usual")
			if all.Add(1); h.send([]byte(head+body)) == http.StatusOK {
				good.Add(1)
			}
		}
	}()
	n := e.Scale(1, 2)
	e.Progress("memory "+way, 5)
	conns := p.openIdleConnections(700)
	e.Step()
	peak := func(wave string) {
		if u, err := ReadUsage(site.Gatherer.PID()); err == nil {
			e.Record.AddRow("Resident memory by wave", []string{"way", "wave", "now MiB", "most so far MiB"}, way, wave, fmt.Sprintf("%.1f", toMiB(u.RSS)), fmt.Sprintf("%.1f", toMiB(u.Peak)))
		}
		e.Step()
	}
	p.sendLongBodies(300 * n)
	peak("long bodies")
	p.requestLongResponses(300 * n)
	peak("long answers")
	p.requestWithoutReading(150 * n)
	peak("clients that do not read")
	p.wakeIdleConnections(conns)
	peak("all wake")
	var both sync.WaitGroup
	for _, wave := range []func(){func() { p.sendLongBodies(200 * n) }, func() { p.requestLongResponses(200 * n) }, func() { p.requestWithoutReading(100 * n) }, func() { p.wakeIdleConnections(p.openIdleConnections(100)) }} {
		both.Add(1)
		go func() { defer both.Done(); wave() }()
	}
	both.Wait()
	peak("all together")
	close(stop)
	usual.Wait()
	for _, c := range conns {
		c.Close()
	}
	u, err := ReadUsage(site.Gatherer.PID())
	if err != nil {
		return fmt.Errorf("the gatherer is gone: %w", err)
	}
	last := map[string]int64{}
	if way == "in sum" {
		last = figures.next(ctx)
	}
	none := 0
	for _, wave := range []string{"long bodies", "long answers", "all wake"} {
		by := p.statusCounts[wave]
		asked := 0
		for _, k := range by {
			asked += k
		}
		e.Record.AddRow("Answers by wave", []string{"way", "wave", "asked", "200", "503", "504", "none"}, way, wave, fmt.Sprint(asked), fmt.Sprint(by[200]), fmt.Sprint(by[503]), fmt.Sprint(by[504]), fmt.Sprint(by[0]))
		none += by[0]
	}
	e.Record.AddRow("Memory", []string{"way", "memory MiB", "at rest MiB", "most resident MiB", "accounted, most MiB", "limit MiB", "forced over it MiB", "refused", "usual kept"},
		way, fmt.Sprint(memoryMB), fmt.Sprintf("%.1f", toMiB(rest.RSS)), fmt.Sprintf("%.1f", toMiB(u.Peak)), fmt.Sprintf("%.1f", toMiB(last["peak"])), fmt.Sprintf("%.1f", toMiB(last["most"])),
		fmt.Sprintf("%.1f", toMiB(last["forced"])), fmt.Sprint(last["refused"]), fmt.Sprintf("%d of %d", good.Load(), all.Load()))
	if way != "in sum" {
		return nil
	}
	switch {
	case u.Peak > memoryMB<<20:
		return fmt.Errorf("it held %.1f MiB of %d", toMiB(u.Peak), memoryMB)
	case last["refused"] == 0:
		return fmt.Errorf("nothing was refused: the waves wanted too little")
	case none > 0:
		return fmt.Errorf("%d requests got no final answer", none)
	case float64(good.Load()) < 0.5*float64(all.Load()):
		return fmt.Errorf("%d of %d usual look-ups were answered", good.Load(), all.Load())
	}
	return nil
}
