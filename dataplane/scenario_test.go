package dataplane

import (
	"bufio"
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"oxbowspan/config"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// The whole data plane of one gatherer between clients and servers that keep to no protocol: what servers, connections and
// clients do is drawn beforehand, and what came back and what ran is checked afterwards against the rules.

// serverStep is what a server does with one request.
type serverStep struct {
	Kind             string
	Delay            time.Duration
	Before           string // stands in the place of the answer, before it
	Cut              int    // of 100 parts of the answer's bytes, so many are sent; 100 = all
	Pause            time.Duration
	PauseAt          int    // of 100 parts
	After            string // comes behind the answer
	Keep             string // header lines about the connection
	AnswerBeforeBody bool   // answered before the body is read
	IdleEnd          time.Duration
}

// clientStep is one request of a client.
type clientStep struct {
	Path       string
	Body       int
	Pipelined  bool // goes out together with the next
	GiveUp     time.Duration
	TruncateAt int // above 0, the client ends after so many of 100 parts of what goes out together
	Pause      time.Duration
	Deadline   time.Duration
}

// writeStep is what becomes of one write to a server.
type writeStep struct {
	Fails bool
	At    int // so many bytes get through before it fails; below 0, all but so many
	Slow  time.Duration
}

type scenario struct {
	Servers   int // of each service
	Script    []serverStep
	Writes    []writeStep
	Dials     []time.Duration
	Clients   [][]clientStep
	KillAfter time.Duration // the gatherer's process is killed then and begins again; 0 = never
}

var serverStepGenerator = rapid.Custom(func(t *rapid.T) serverStep {
	few := func(label string, most int) bool { return rapid.IntRange(0, most).Draw(t, label) == 0 }
	s := serverStep{Kind: "whole", Cut: 100, Delay: time.Duration(rapid.IntRange(0, 30).Draw(t, "work")) * time.Millisecond}
	if !few("calm", 2) {
		s.Kind = rapid.SampledFrom([]string{"whole", "chunked", "503 marked", "503 marked", "503 marked", "429 marked", "400 marked", "421", "500", "503", "408", "429", "404", "no seal", "other",
			"no id", "000", "silent", "ends unrun", "ends run"}).Draw(t, "kind")
	}
	if few("before", 4) {
		s.Before = rapid.SampledFrom([]string{"100", "103", "103 length", "102 own", "503 unnamed", "408 unnamed", "other", "garbage", "late other"}).Draw(t, "what before")
	}
	if few("after", 3) {
		s.After = rapid.SampledFrom([]string{"copy", "copy late", "copy next", "copy next", "copy next", "copy next but one", "garbage", "line end", "other next"}).Draw(t, "what after")
	}
	if few("cut", 6) {
		s.Cut = rapid.IntRange(0, 99).Draw(t, "cut at")
	}
	if few("pause", 4) {
		s.Pause = time.Duration(rapid.SampledFrom([]int{1, 40, 700}).Draw(t, "paused")) * time.Millisecond
		s.PauseAt = rapid.IntRange(0, 100).Draw(t, "pause at")
	}
	if few("keep", 6) {
		s.Keep = rapid.SampledFrom([]string{"Connection: close\r\n", "Keep-Alive: timeout=1\r\n", "Keep-Alive: timeout=0\r\n"}).Draw(t, "kept")
	}
	s.AnswerBeforeBody = few("early", 3)
	if few("idle end", 4) {
		s.IdleEnd = time.Duration(rapid.IntRange(0, 20).Draw(t, "idle end after")) * time.Millisecond
	}
	return s
})

var clientStepGenerator = rapid.Custom(func(t *rapid.T) clientStep {
	c := clientStep{Path: rapid.SampledFrom([]string{"/once/x", "/once/y", "/one/x", "/one/head", "/all/x", "/all/head"}).Draw(t, "path"),
		Deadline: time.Duration(rapid.SampledFrom([]int{50, 300, 900}).Draw(t, "patience")) * time.Millisecond,
		Pause:    time.Duration(rapid.SampledFrom([]int{0, 0, 3, 20, 150}).Draw(t, "client's pause")) * time.Millisecond}
	if strings.HasPrefix(c.Path, "/once/") {
		c.Body = rapid.SampledFrom([]int{0, 10, 9000, 60000}).Draw(t, "body")
	}
	c.Pipelined = rapid.IntRange(0, 3).Draw(t, "pipelined") == 0
	if rapid.IntRange(0, 9).Draw(t, "gives up") == 0 {
		c.GiveUp = time.Duration(rapid.IntRange(1, 60).Draw(t, "after")) * time.Millisecond
	}
	if rapid.IntRange(0, 11).Draw(t, "torn") == 0 {
		c.TruncateAt = rapid.IntRange(1, 99).Draw(t, "torn at")
	}
	return c
})

var writeStepGenerator = rapid.Custom(func(t *rapid.T) writeStep {
	w := writeStep{}
	if rapid.IntRange(0, 5).Draw(t, "write fails") == 0 {
		w.Fails, w.At = true, rapid.SampledFrom([]int{0, 1, 40, 300, 9000, 20000, -1, -5}).Draw(t, "fails at")
	}
	if rapid.IntRange(0, 5).Draw(t, "slow") == 0 {
		w.Slow = time.Duration(rapid.SampledFrom([]int{1, 30, 400}).Draw(t, "slow for")) * time.Millisecond
	}
	return w
})

var scenarioGenerator = rapid.Custom(func(t *rapid.T) scenario {
	p := scenario{Servers: rapid.SampledFrom([]int{1, 1, 2}).Draw(t, "servers"), Script: rapid.SliceOfN(serverStepGenerator, 1, 12).Draw(t, "script"),
		Writes: rapid.SliceOfN(writeStepGenerator, 1, 8).Draw(t, "writes")}
	for range rapid.IntRange(1, 3).Draw(t, "dials") {
		p.Dials = append(p.Dials, time.Duration(rapid.SampledFrom([]int{0, 0, 0, 20, 120}).Draw(t, "dial takes"))*time.Millisecond)
	}
	for range rapid.IntRange(1, 3).Draw(t, "clients") {
		p.Clients = append(p.Clients, rapid.SliceOfN(clientStepGenerator, 1, 8).Draw(t, "requests"))
	}
	if rapid.IntRange(0, 4).Draw(t, "killed") == 0 {
		p.KillAfter = time.Duration(rapid.IntRange(1, 200).Draw(t, "killed at")) * time.Millisecond
	}
	return p
})

// TestResponsesReachTheirCallers plays what is drawn and checks the rules MIXED, UNASKED, TWICE and REFUSED.
func TestResponsesReachTheirCallers(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := scenarioGenerator.Draw(rt, "play")
		w := runScenario(t, p)
		if w.violation != "" {
			rt.Fatal(w.violation)
		}
		served += w.served
	})
	if !t.Failed() && served == 0 {
		t.Error("no request was served in any play")
	}
}

// TestUnsentRequestIsRetriedOnNextConnection: of two requests that may not be repeated the second finds its connection
// dead. Where not a byte of it was taken it is served all the same; where one was, it is not sent again, and nothing is promised.
func TestUnsentRequestIsRetriedOnNextConnection(t *testing.T) {
	for bytes, want := range map[int]int{0: http.StatusOK, 1: http.StatusGatewayTimeout} {
		step := clientStep{Path: "/once/x", Deadline: 300 * time.Millisecond, Pause: 10 * time.Millisecond}
		w := runScenario(t, scenario{Servers: 1, Script: []serverStep{{Kind: "whole", Cut: 100}}, Writes: []writeStep{{}, {Fails: true, At: bytes}, {}},
			Dials: []time.Duration{0}, Clients: [][]clientStep{{step, step}}})
		if got := w.answers["0-1"]; w.violation != "" || w.answers["0-0"] != http.StatusOK || got != want {
			t.Errorf("%d bytes taken: answered %d, want %d; %s", bytes, got, want, w.violation)
		}
	}
}

// testbed is one play's surroundings and records.
type testbed struct {
	mu         sync.Mutex
	network    *simnet.Network
	scenario   scenario
	steps      int
	writes     int
	dials      int
	sent       map[string]sentRequest // by id
	runs       map[string]int         // by service and id
	answers    map[string]int         // statuses, by id
	answeredAt map[string]time.Time
	served     int
	violation  string
}

type sentRequest struct {
	method, path string
	body         []byte
}

func (w *testbed) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func runScenario(t *testing.T, p scenario) *testbed {
	w := &testbed{scenario: p, sent: map[string]sentRequest{}, runs: map[string]int{}, answers: map[string]int{}, answeredAt: map[string]time.Time{}}
	synctest.Test(t, func(t *testing.T) { w.run(t) })
	return w
}

const (
	gatewayHost  = "10.0.0.1"
	frontAddress = gatewayHost + ":8000"
)

var services = []string{"once", "one", "a0", "a1"}

func (w *testbed) run(t *testing.T) {
	w.network = simnet.New(func(string, string) time.Duration { return 100 * time.Microsecond })
	var listeners []net.Listener
	var reports []*rpc.ServerReport
	for i := range services {
		for n := range w.scenario.Servers {
			ip := fmt.Sprintf("10.0.%d.%d", i+1, n+1)
			l, err := w.network.Host(ip).Listen(ip + ":80")
			if err != nil {
				t.Fatal(err)
			}
			listeners = append(listeners, l)
			go w.acceptServer(l, services[i])
			reports = append(reports, &rpc.ServerReport{Instance: "i-" + ip, Service: services[i], Address: ip + ":80", Zone: "z", State: uint32(registry.Ready), Sequence: 1})
		}
	}
	quit := w.start(t, reports)
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		if w.scenario.KillAfter > 0 {
			time.Sleep(w.scenario.KillAfter)
			quit()
			w.mu.Lock()
			for id := range w.sent { // what its life before was asked is over
				if w.answeredAt[id].IsZero() {
					w.answeredAt[id] = time.Now()
				}
			}
			w.mu.Unlock()
			quit = w.start(t, reports)
		}
	}()
	var clients sync.WaitGroup
	for i, steps := range w.scenario.Clients {
		clients.Go(func() { w.runClient(fmt.Sprint(i), steps) })
	}
	clients.Wait()
	<-killed
	time.Sleep(1500 * time.Millisecond) // what is late comes
	quit()
	for _, l := range listeners {
		l.Close()
		host, _, _ := net.SplitHostPort(l.Addr().String())
		w.network.Kill(host, false)
	}
	time.Sleep(3 * time.Second) // servers that were silent end
	w.checkExecutions()
}

// start begins a gatherer's life, and returns what ends it as a kill does.
func (w *testbed) start(t *testing.T, reports []*rpc.ServerReport) (quit func()) {
	set := &settings.Settings{IPAddress: gatewayHost, Zone: "z", InternalPorts: []int{7000, 7010}, FirstStart: true}
	set.Listen.Front = frontAddress
	f := New(set, &faultyNetwork{w.network.Host(gatewayHost), w}, zerolog.Nop())
	f.process.goroutines.Go(func() { f.loop.run(f) })
	c := &config.Configuration{Version: 1, Routes: []config.Route{
		{Hostname: "h", PathPrefix: "/once/", RouteKind: config.NonRetryable, TimeoutMS: 900, TargetMS: 90, Service: "once", Attempts: 3},
		{Hostname: "h", PathPrefix: "/one/", RouteKind: config.Retryable, TimeoutMS: 900, TargetMS: 90, Service: "one", Attempts: 3},
		{Hostname: "h", PathPrefix: "/all/", RouteKind: config.Retryable, TimeoutMS: 900, TargetMS: 90, GatheredServices: []string{"a0", "a1"}, Attempts: 3, TopRecords: 6, MinimumShare: 0.5}}}
	for _, s := range services {
		c.Services = append(c.Services, config.Service{Name: s, ConnectionLimit: 40})
	}
	f.loop.post(func() {
		f.activateConfig(c, nil, 1)
		f.endpoints.applyReports(&rpc.Update{Full: true, HasQuorum: true, Warm: true, Reports: reports})
	})
	synctest.Wait()
	l, err := w.network.Host(gatewayHost).Listen(frontAddress)
	if err != nil {
		t.Fatal(err)
	}
	f.process.goroutines.Go(func() { f.front.serve(l) })
	return func() {
		l.Close()
		f.front.conns.closeAll()
		f.loop.stop()
		f.process.goroutines.Wait()
		w.network.Kill(gatewayHost, false)
	}
}

// faultyNetwork dials connections whose writes do what is drawn.
type faultyNetwork struct {
	simnet.Host
	w *testbed
}

var _ network.Network = &faultyNetwork{}

func (n *faultyNetwork) Dial(to string, limit time.Duration) (net.Conn, error) {
	n.w.mu.Lock()
	takes := n.w.scenario.Dials[n.w.dials%len(n.w.scenario.Dials)]
	n.w.dials++
	n.w.mu.Unlock()
	time.Sleep(takes)
	c, err := n.Host.Dial(to, limit)
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, w: n.w}, nil
}

type faultyConn struct {
	net.Conn
	w       *testbed
	writing atomic.Bool
}

// Write writes in pieces as a socket whose buffer is full; only what is larger than a small request ever waits.
func (c *faultyConn) Write(b []byte) (int, error) {
	c.w.mu.Lock()
	step := c.w.scenario.Writes[c.w.writes%len(c.w.scenario.Writes)]
	c.w.writes++
	c.w.mu.Unlock()
	if c.writing.Swap(true) {
		c.w.fail("UNASKED: a request is written into the midst of another, or waits for its end")
	}
	defer c.writing.Store(false)
	half := len(b)
	if len(b) > smallRequestBytes && step.Slow > 0 {
		half = len(b) / 2
	}
	at := step.At
	if at < 0 {
		at += len(b)
	}
	if step.Fails && at < len(b) {
		n, _ := c.Conn.Write(b[:at])
		if at > smallRequestBytes {
			time.Sleep(step.Slow)
		}
		c.Conn.Close()
		return n, syscall.ECONNRESET
	}
	n, err := c.Conn.Write(b[:half])
	if err != nil || half == len(b) {
		return n, err
	}
	time.Sleep(step.Slow)
	rest, err := c.Conn.Write(b[half:])
	return n + rest, err
}

// acceptServer is one server.
func (w *testbed) acceptServer(l net.Listener, service string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveServer(c, service)
	}
}

func (w *testbed) serveServer(c net.Conn, service string) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 4096)
	var held [][]byte // what comes in the places of next answers
	var idle time.Duration
	for {
		if idle > 0 {
			c.SetReadDeadline(time.Now().Add(idle))
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		if !waitForHeader(r) {
			return
		}
		q, err := http.ReadRequest(r)
		if err != nil {
			w.fail("UNASKED: %s got what is no request: %v", service, err)
			return
		}
		w.mu.Lock()
		step := w.scenario.Script[w.steps%len(w.scenario.Script)]
		w.steps++
		w.mu.Unlock()
		id := q.Header.Get("X-Attempt-Id")
		w.checkNotLate(service, id)
		body := []byte(nil)
		if !step.AnswerBeforeBody {
			if body, err = io.ReadAll(q.Body); err != nil {
				return
			}
		}
		w.checkForwarded(service, id, q, body, !step.AnswerBeforeBody)
		if len(held) > 0 {
			late := held[0]
			if held = held[1:]; len(late) > 0 {
				c.Write(late)
			}
		}
		time.Sleep(step.Delay)
		if !step.AnswerBeforeBody {
			c.SetReadDeadline(time.Now().Add(time.Microsecond))
			if _, err := r.Peek(1); err == nil {
				w.fail("%s got a request behind one that it had not answered", service)
			}
			c.SetReadDeadline(time.Time{})
		}
		if step.executes() {
			w.mu.Lock()
			w.runs[service+" "+id]++
			w.mu.Unlock()
		}
		text, goesOn := step.response(service, id)
		if q.Method == "HEAD" {
			text = text[:bytes.Index(text, []byte("\r\n\r\n"))+4]
		}
		if before := beforeResponse[step.Before]; len(before) > 0 {
			c.Write([]byte(strings.ReplaceAll(before, "OWN", id)))
			if strings.HasPrefix(step.Before, "late") {
				time.Sleep(20 * time.Millisecond)
			}
		}
		at := len(text) * step.PauseAt / 100
		cut := len(text) * step.Cut / 100
		if !goesOn {
			cut = 0
		}
		if at < cut && step.Pause > 0 {
			c.Write(text[:at])
			time.Sleep(step.Pause)
			c.Write(text[at:cut])
		} else {
			c.Write(text[:cut])
		}
		if !goesOn || cut < len(text) || strings.Contains(step.Keep, "close") {
			if step.Kind == "silent" || step.Pause > 100*time.Millisecond {
				time.Sleep(2 * time.Second)
			}
			return
		}
		switch step.After {
		case "copy":
			c.Write(text)
		case "copy late":
			time.Sleep(3 * time.Millisecond)
			c.Write(text)
		case "copy next":
			held = append(held, text)
		case "copy next but one":
			held = append(held, nil, text)
		case "other next":
			held = append(held, []byte(beforeResponse["other"]))
		case "garbage":
			c.Write([]byte("\x00\x01\x02"))
		case "line end":
			c.Write([]byte("\r\n"))
		}
		idle = step.IdleEnd
		if step.AnswerBeforeBody {
			if body, err = io.ReadAll(q.Body); err != nil {
				return
			}
			w.checkForwarded(service, id, q, body, true)
		}
	}
}

// waitForHeader waits for the whole head of a request. It tells whether one came before the connection ended.
func waitForHeader(r *bufio.Reader) bool {
	for {
		b, _ := r.Peek(r.Buffered())
		if bytes.Contains(b, []byte("\r\n\r\n")) {
			return true
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return false
		}
	}
}

var beforeResponse = map[string]string{
	"100":         "HTTP/1.1 100 Continue\r\n\r\n",
	"103":         "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
	"103 length":  "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
	"102 own":     "HTTP/1.1 102 Processing\r\nX-Attempt-Id: OWN\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n",
	"503 unnamed": "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"408 unnamed": "HTTP/1.1 408 Request Timeout\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"other":       "HTTP/1.1 200 OK\r\nX-Attempt-Id: nobody\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nab",
	"late other":  "HTTP/1.1 503 Busy\r\nX-Attempt-Id: nobody\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"garbage":     "no answer\r\n\r\n",
}

// executes tells whether the server begins work on the request.
func (s serverStep) executes() bool {
	return !strings.HasSuffix(s.Kind, "marked") && s.Kind != "421" && s.Kind != "ends unrun"
}

// response is what the server answers, and whether its connection goes on.
func (s serverStep) response(service, id string) (text []byte, goesOn bool) {
	status, lines := "200 OK", "X-Attempt-Id: "+id+"\r\nX-Server-Seal: "+service+"."+id+"\r\n"
	body := recordsOf(service, id)
	switch s.Kind {
	case "silent", "ends unrun", "ends run":
		return []byte("\r\n\r\n"), false // of which nothing is sent
	case "503 marked", "429 marked", "400 marked":
		status, lines = s.Kind[:3]+" No", "X-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\n"
	case "421":
		status, lines = "421 Moved", "X-Instance-Id: another\r\n"
	case "500", "503", "408", "429", "404":
		status, lines = s.Kind+" No", "X-Attempt-Id: "+id+"\r\n"
	case "no seal":
		lines = "X-Attempt-Id: " + id + "\r\n"
	case "other":
		lines = "X-Attempt-Id: nobody\r\nX-Server-Seal: " + service + ".nobody\r\n"
	case "no id":
		lines = "X-Server-Seal: " + service + "." + id + "\r\n"
	case "000":
		status = "000 OK"
	}
	if s.Kind == "chunked" {
		text = fmt.Appendf(nil, "HTTP/1.1 %s\r\n%s%sTransfer-Encoding: chunked\r\n\r\n", status, lines, s.Keep)
		return fmt.Appendf(text, "%x;x=y\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(body), body), true
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, lines, s.Keep, len(body), body), true
}

func recordsOf(service, id string) []byte {
	sum := sha256.Sum256([]byte(service + " " + id))
	return slices.Concat(sum[:], sum[8:24])
}

// checkForwarded compares what a server got with what a client sent.
func (w *testbed) checkForwarded(service, id string, q *http.Request, body []byte, whole bool) {
	w.mu.Lock()
	a, known := w.sent[id]
	w.mu.Unlock()
	if !known || a.method != q.Method || a.path != q.RequestURI || whole && !bytes.Equal(a.body, body) {
		w.fail("UNASKED: %s got %s %s with id %q and a body of %d bytes", service, q.Method, q.RequestURI, id, len(body))
	}
}

// checkNotLate sees that a request is not sent once it has been answered.
func (w *testbed) checkNotLate(service, id string) {
	w.mu.Lock()
	over, large := w.answeredAt[id], len(w.sent[id].body) > smallRequestBytes // a large one may be on its way for longer
	w.mu.Unlock()
	if !over.IsZero() && time.Since(over) > 5*time.Millisecond && !large {
		w.fail("%s got %s %v after it was answered", service, id, time.Since(over))
	}
}

// runClient sends its requests, as many as are pipelined in one write, and reads their answers in order.
func (w *testbed) runClient(name string, steps []clientStep) {
	var c net.Conn
	var r *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for i := 0; i < len(steps); {
		time.Sleep(steps[i].Pause)
		if c == nil {
			var err error
			for range 20 {
				if c, err = w.network.Host("10.0.9.9").Dial(frontAddress, time.Second); err == nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if err != nil {
				w.fail("the gatherer takes no connection: %v", err)
				return
			}
			r = bufio.NewReader(c)
		}
		var text []byte
		var batch []string
		giveUp, torn := time.Duration(0), 0
		for {
			s := steps[i]
			id := name + "-" + strconv.Itoa(i)
			a := sentRequest{method: "GET", path: s.Path, body: bytes.Repeat([]byte{'b'}, s.Body)}
			if strings.HasPrefix(s.Path, "/once/") {
				a.method = "POST"
			}
			if strings.HasSuffix(s.Path, "/head") {
				a.method = "HEAD"
			}
			w.mu.Lock()
			w.sent[id] = a
			w.mu.Unlock()
			text = fmt.Appendf(text, "%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s",
				a.method, a.path, id, s.Deadline/time.Millisecond, len(a.body), a.body)
			batch = append(batch, id)
			giveUp, torn = cmp.Or(giveUp, s.GiveUp), cmp.Or(torn, s.TruncateAt)
			if i++; !s.Pipelined || i == len(steps) {
				break
			}
		}
		if torn > 0 {
			c.Write(text[:len(text)*torn/100])
			time.Sleep(steps[i-1].Pause)
			c.Close()
			c = nil
			continue
		}
		c.Write(text)
		for _, id := range batch {
			c.SetReadDeadline(time.Now().Add(cmp.Or(giveUp, 3*time.Second)))
			if !w.readResponse(r, id) {
				c.Close()
				c = nil
				break
			}
		}
		if c != nil && r.Buffered() > 0 {
			w.fail("MIXED: %d bytes come where no request is waiting", r.Buffered())
		}
	}
	if c != nil {
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := r.Peek(1); err == nil {
			w.fail("MIXED: something comes where no request is waiting")
		}
	}
}

// readResponse reads the answer to one request. It tells whether the connection goes on.
func (w *testbed) readResponse(r *bufio.Reader, id string) bool {
	w.mu.Lock()
	a := w.sent[id]
	w.mu.Unlock()
	resp, err := http.ReadResponse(r, &http.Request{Method: a.method})
	if err != nil {
		if strings.Contains(err.Error(), "malformed") {
			w.fail("MIXED: what %s gets is no answer: %v", id, err)
		}
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	w.mu.Lock()
	w.answers[id], w.answeredAt[id] = resp.StatusCode, time.Now()
	w.mu.Unlock()
	if got := resp.Header.Get("X-Attempt-Id"); got != "" && got != id {
		w.fail("MIXED: %s gets the answer to %s", id, got)
	}
	if resp.StatusCode < 200 || resp.StatusCode > 599 {
		w.fail("MIXED: %s gets the status %d", id, resp.StatusCode)
	}
	if resp.StatusCode/100 == 2 {
		w.mu.Lock()
		w.served++
		w.mu.Unlock()
		w.checkSuccess(id, a, resp, body)
	}
	return !resp.Close
}

// checkSuccess checks the answer to a request that was served.
func (w *testbed) checkSuccess(id string, a sentRequest, resp *http.Response, body []byte) {
	if a.method == "HEAD" {
		return
	}
	service := strings.Split(a.path, "/")[1]
	if service != "all" {
		if resp.Header.Get("X-Server-Seal") != service+"."+id || !bytes.Equal(body, recordsOf(service, id)) {
			w.fail("MIXED: %s gets another body, or none of the servers' stamps: %q", id, resp.Header.Get("X-Server-Seal"))
		}
		return
	}
	var all [][]byte
	for _, seal := range strings.Split(resp.Header.Get("X-Part-Seals"), ", ") {
		part, of, _ := strings.Cut(seal, ".")
		if of != id {
			w.fail("MIXED: %s gets a part stamped %q", id, seal)
		}
		all = slices.AppendSeq(all, slices.Chunk(recordsOf(part, id), 16))
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(slices.Concat(all...), body) {
		w.fail("MIXED: %s gets records that are not the greatest of its parts", id)
	}
}

// checkExecutions checks at the end what may not be repeated.
func (w *testbed) checkExecutions() {
	for id, a := range w.sent {
		if !strings.HasPrefix(a.path, "/once/") {
			continue
		}
		runs := w.runs["once "+id]
		switch status := w.answers[id]; {
		case runs > 1:
			w.fail("TWICE: %s ran %d times", id, runs)
		case runs > 0 && promisesNotExecuted(status):
			w.fail("REFUSED: %s ran and was answered %d", id, status)
		}
	}
}
