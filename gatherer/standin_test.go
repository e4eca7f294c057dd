package gatherer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/discovery"
	"oxbowspan/internal/frame"
)

// Small stand-ins, written from the protocol, for what a gatherer speaks to: shard servers, discovery, clients.

const patience = 20 * time.Second // for whatever should come by itself

const testSettings = `{"classes":[
	{"name":"lookup","effect":"free","slo":1000.0,"hardLimit":2000.0,"lateWorth":0.3},
	{"name":"post","effect":"single_shot","slo":1000.0,"hardLimit":2000.0,"lateWorth":0.3}],
	"tenants":[{"name":"acme","quotaPerS":1000}],"membershipMode":"on_request","instances":1,"tick":5.0,
	"domain":{"positions":1,"slices":8,"reach":1,"perCall":4,"leastShare":[1.0,1.0],"wholeAt":[1.0,1.0]},
	"limits":{"attemptsCap":3,"cancel":true,"secondCopies":true,"dialTimeout":250.0,"idleClose":30000.0,
		"maxStreams":32,"retryAfter":true,"maxRetryAfter":1000},
	"feedback":{"how":"answers","names":["waiting","active"]},
	"guarantees":{"askWithin":10000,"stopSendingWithin":500}}`

var binary string // the program, built once

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "oxbowspan")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		binary = filepath.Join(dir, "oxbowspan")
		if out, err := exec.Command("go", "build", "-race", "-o", binary, "oxbowspan/cmd/oxbowspan").CombinedOutput(); err != nil {
			fmt.Printf("%s\n%v\n", out, err)
			return 1
		}
		return m.Run()
	}())
}

// shard is a shard server. How it meets a part is up to do; nil = it serves it.
type shard struct {
	t    *testing.T
	host string
	l    net.Listener
	do   func(c *shardConn, part string)
	got  chan string // parts, by id, and given-up ones as "c ID"

	mu     sync.Mutex
	conns  []*shardConn
	frames int // calls
}

type shardConn struct {
	net.Conn
	s  *shard
	mu sync.Mutex
}

func startShard(t *testing.T, host string, do func(*shardConn, string)) *shard {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &shard{t: t, host: host, l: l, do: do, got: make(chan string, 10000)}
	t.Cleanup(s.stop)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			sc := &shardConn{Conn: c, s: s}
			s.mu.Lock()
			s.conns = append(s.conns, sc)
			s.mu.Unlock()
			go sc.run()
		}
	}()
	return s
}

func (s *shard) stop() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *shard) counts() (conns, frames int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.frames
}

func (c *shardConn) run() {
	defer c.Close()
	var buf []byte
	for {
		head := make([]byte, 4)
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		buf = make([]byte, int(head[0])<<24|int(head[1])<<16|int(head[2])<<8|int(head[3]))
		if _, err := io.ReadFull(c, buf); err != nil {
			return
		}
		switch rest := buf[1:]; buf[0] {
		case frame.GiveUp:
			c.s.got <- "c " + string(rest)
		case frame.Call:
			c.s.mu.Lock()
			c.s.frames++
			c.s.mu.Unlock()
			for len(rest) > 0 {
				line, after, _ := bytes.Cut(rest, []byte{'\n'})
				words := strings.Fields(string(line))
				if len(words) != 4 || !strings.HasPrefix(words[2], "d=") {
					c.s.t.Errorf("a part's line is %q", line)
					return
				}
				n, err := strconv.Atoi(words[3])
				if err != nil || n > len(after) {
					c.s.t.Errorf("a part's line is %q before %d bytes", line, len(after))
					return
				}
				rest = after[n:]
				c.s.got <- words[0]
				if c.s.do != nil {
					c.s.do(c, words[0])
				} else {
					c.answer(words[0], "served", "value of "+string(after[:n]))
				}
			}
		default:
			c.s.t.Errorf("a gatherer sent letter %q", buf[0])
		}
	}
}

func (c *shardConn) answer(part, end, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Write(frame.Whole(frame.Answer, part+" "+end+" 7 queue=1,inflight=2\n"+value))
}

// reset breaks the connection as a dying process does.
func (c *shardConn) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// list is discovery: a list, its watchers, and whether it answers.
type list struct {
	srv  *http.Server
	addr string

	mu      sync.Mutex
	seq     uint64
	hosts   map[string]discovery.Entry
	changed chan struct{} // closed at each change
	down    bool
	calls   chan string // queries, as they come
}

func startList(t *testing.T, shards ...*shard) *list {
	l := &list{seq: 40, hosts: map[string]discovery.Entry{}, changed: make(chan struct{}), calls: make(chan string, 1000)}
	for _, s := range shards {
		l.hosts[s.host] = s.entry()
	}
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.addr, l.srv = nl.Addr().String(), &http.Server{Handler: l}
	go l.srv.Serve(nl)
	t.Cleanup(func() { l.srv.Close() })
	return l
}

func (s *shard) entry() discovery.Entry {
	return discovery.Entry{Host: s.host, Dial: s.l.Addr().String(), Zone: "a", Health: discovery.Up}
}

func (l *list) change(e discovery.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	l.hosts[e.Host] = e
	close(l.changed)
	l.changed = make(chan struct{})
}

// setDown ends all watches and refuses calls, or takes them again.
func (l *list) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *list) whole() discovery.List {
	out := discovery.List{Seq: l.seq, Whole: true}
	for _, e := range l.hosts {
		out.Hosts = append(out.Hosts, e)
	}
	return out
}

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.calls <- r.URL.String()
	for {
		l.mu.Lock()
		down, now, changed := l.down, l.whole(), l.changed
		l.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(now)
		if w.(http.Flusher).Flush(); r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// program is the built program, or an embedded gatherer, under test.
type program struct {
	t     *testing.T
	cmd   *exec.Cmd
	setup Setup // as its configuration file has it
	file  string
	addr  string
	lines chan string // its log
	exit  chan error
}

// start starts the program for a list of servers; edit changes its configuration first.
func start(t *testing.T, l *list, edit func(*Setup)) *program {
	s := Setup{Name: "n0", Listen: "127.0.0.1:0", Discovery: l.addr, Seed: "8c1f30d27a5be964",
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, Settings: json.RawMessage(testSettings)}
	if edit != nil {
		edit(&s)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	p := &program{t: t, setup: s, file: config, cmd: exec.Command(binary, "serve", "--config", config), lines: make(chan string, 100000), exit: make(chan error, 1)}
	p.configure()
	p.cmd.Env = append(os.Environ(), "PROXY_DISCOVERY="+l.addr) // as the platform gives it
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for r := bufio.NewScanner(stderr); r.Scan(); {
			p.lines <- r.Text()
			if strings.Contains(r.Text(), "DATA RACE") || strings.Contains(r.Text(), "panic") {
				t.Errorf("the program says %q", r.Text())
			}
		}
		close(p.lines)
		p.exit <- p.cmd.Wait()
	}()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	p.addr = field(p.line("event=listening"), "addr")
	for end := time.Now().Add(patience); ; {
		if status, _, err := p.get("/-/ready"); err == nil && status == http.StatusOK {
			return p
		}
		if time.Now().After(end) {
			t.Fatal("the program is never ready")
		}
	}
}

// configure writes the configuration file.
func (p *program) configure() {
	p.t.Helper()
	raw, err := json.Marshal(p.setup)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.file, raw, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// line waits for a log line that holds all the words.
func (p *program) line(words ...string) string {
	p.t.Helper()
	limit := time.After(patience)
next:
	for {
		select {
		case line, ok := <-p.lines:
			if !ok {
				p.t.Fatalf("the program ended without a line with %q", words)
			}
			for _, w := range words {
				if !strings.Contains(line, w) {
					continue next
				}
			}
			return line
		case <-limit:
			p.t.Fatalf("no line with %q", words)
		}
	}
}

func field(line, name string) string {
	for _, w := range strings.Fields(line) {
		if v, ok := strings.CutPrefix(w, name+"="); ok {
			return v
		}
	}
	return ""
}

func (p *program) get(path string) (status int, body string, err error) {
	res, err := http.Get("http://" + p.addr + path)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

func (p *program) term() { p.cmd.Process.Signal(syscall.SIGTERM) }

func (p *program) ends() error {
	p.t.Helper()
	select {
	case err := <-p.exit:
		return err
	case <-time.After(patience):
		p.t.Fatal("the program does not end")
		return nil
	}
}

var lastID struct {
	sync.Mutex
	n uint64
}

// newSearch makes a search for parts of equal weight.
func newSearch(ctx context.Context, addr, kind string, parts ...int) (*http.Request, string) {
	lastID.Lock()
	lastID.n++
	id := fmt.Sprintf("%016x", lastID.n)
	lastID.Unlock()
	var b strings.Builder
	for i, p := range parts {
		fmt.Fprintf(&b, `%s{"tablet":%d,"fraction":%g}`, strings.Repeat(",", min(i, 1)), p, 1/float64(len(parts)))
	}
	text := `{"tablets":[` + b.String() + `],"statement":"c41e77d0"}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+kind+"?sid=7f3a", strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	for name, v := range map[string]string{"Req-Id": id, "Req-Kind": kind, "Req-Owner": "acme", "Req-Deadline-Ms": "1500"} {
		r.Header.Set(name, v)
	}
	return r, id
}

// ask sends a search and returns what came.
func (p *program) ask(kind string, parts ...int) (status int, body, id string) {
	p.t.Helper()
	r, id := newSearch(context.Background(), p.addr, kind, parts...)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		p.t.Errorf("search %s: %v", id, err)
		return 0, "", id
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		p.t.Errorf("search %s: %v", id, err)
	}
	return res.StatusCode, string(b), id
}

// wholeAnswer is the answer that shards that serve everything give.
func wholeAnswer(parts ...int) string {
	var b strings.Builder
	for i, p := range parts {
		fmt.Fprintf(&b, `%s{"tablet":%d,"cell":"value of c41e77d0"}`, strings.Repeat(",", min(i, 1)), p)
	}
	return `{"full":true,"pieces":[` + b.String() + `]}`
}

// await takes from a channel what should come by itself.
func await(t *testing.T, c <-chan string, want func(string) bool) string {
	t.Helper()
	limit := time.After(patience)
	for {
		select {
		case got := <-c:
			if want(got) {
				return got
			}
		case <-limit:
			t.Fatal("what was waited for never came")
		}
	}
}
