package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program is a built gatherer that runs as a process of its own.
type Program struct {
	Addr   string        // where it takes clients
	Lines  chan string   // its log; it holds 100,000 lines, what comes then is not kept
	Exit   chan error    // how it ended
	Exited chan struct{} // closed when it has
	cmd    *exec.Cmd
}

// startTimeout is how long a program may take to serve.
const startTimeout = 20 * time.Second

// StartProgram starts a command that serves, and waits until it is ready. seen is told each line of its log; nil = nobody.
func StartProgram(cmd *exec.Cmd, seen func(line string)) (*Program, error) {
	p := &Program{Lines: make(chan string, 100_000), Exit: make(chan error, 1), Exited: make(chan struct{}), cmd: cmd}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	listening := make(chan string, 1)
	var last logTail
	go func() {
		for r := bufio.NewScanner(stderr); r.Scan(); {
			line := r.Text()
			if last.add(line); seen != nil {
				seen(line)
			}
			if strings.Contains(line, "event=listening ") {
				select {
				case listening <- LogField(line, "addr"):
				default:
				}
			}
			select {
			case p.Lines <- line:
			default:
			}
		}
		close(p.Lines)
		p.Exit <- cmd.Wait()
		close(p.Exited)
	}()
	limit := time.After(startTimeout)
	select {
	case p.Addr = <-listening:
	case <-p.Exited:
		return nil, fmt.Errorf("the program ended before it listened: %s", last.text())
	case <-limit:
		p.Kill()
		return nil, fmt.Errorf("the program never listened: %s", last.text())
	}
	for {
		if res, err := http.Get("http://" + p.Addr + "/-/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return p, nil
			}
		}
		select {
		case <-p.Exited:
			return nil, fmt.Errorf("the program ended before it was ready: %s", last.text())
		case <-limit:
			p.Kill()
			return nil, fmt.Errorf("the program is never ready: %s", last.text())
		case <-time.After(5 * time.Millisecond): // it is asked again, as a front would
		}
	}
}

// Signal sends it a signal.
func (p *Program) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends it outright.
func (p *Program) Kill() { p.cmd.Process.Kill() }

// PID is its process.
func (p *Program) PID() int { return p.cmd.Process.Pid }

// Drain asks it to end and waits until it has.
func (p *Program) Drain(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Exited:
		return <-p.Exit
	case <-time.After(limit):
		p.Kill()
		return fmt.Errorf("the program does not end within %s of SIGTERM", limit)
	}
}

// logTail is the end of a log.
type logTail struct {
	mu    sync.Mutex
	lines []string
}

func (t *logTail) add(line string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lines = append(t.lines, line); len(t.lines) > 5 {
		t.lines = t.lines[1:]
	}
}

func (t *logTail) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, " | ")
}

// LogField takes one word of a key=value line.
func LogField(line, name string) string {
	for _, w := range strings.Fields(line) {
		if v, ok := strings.CutPrefix(w, name+"="); ok {
			return v
		}
	}
	return ""
}

// Request is a search as a client sends it.
type Request struct {
	ID        string
	QueryType string // query type
	Customer  string
	Timeout   time.Duration
	Shards    []int
	Weights   []float64 // nil = equal ones
	Statement string
	Merge     any // nil = none; else as JSON
}

// Body is the search's body.
func (s Request) Body() []byte {
	type tablet struct {
		Tablet   int     `json:"tablet"`
		Fraction float64 `json:"fraction"`
	}
	var b struct {
		Tablets   []tablet `json:"tablets"`
		Statement string   `json:"statement"`
		Merge     any      `json:"merge,omitempty"`
	}
	for i, n := range s.Shards {
		w := 1 / float64(len(s.Shards))
		if s.Weights != nil {
			w = s.Weights[i]
		}
		b.Tablets = append(b.Tablets, tablet{n, w})
	}
	b.Statement, b.Merge = s.Statement, s.Merge
	raw, err := json.Marshal(b)
	if err != nil {
		panic(err) // a Merge that is no JSON is the caller's mistake
	}
	return raw
}

// Response is what a client got.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter string
	Elapsed    time.Duration
}

// Send sends a search and reads the answer whole.
func (s Request) Send(ctx context.Context, client *http.Client, addr string) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+s.QueryType, bytes.NewReader(s.Body()))
	if err != nil {
		return Response{}, err
	}
	r.Header.Set("Req-Id", s.ID)
	r.Header.Set("Req-Kind", s.QueryType)
	r.Header.Set("Req-Owner", s.Customer)
	r.Header.Set("Req-Deadline-Ms", fmt.Sprint(s.Timeout.Milliseconds()))
	began := time.Now()
	res, err := client.Do(r)
	if err != nil {
		return Response{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return Response{res.StatusCode, b, res.Header.Get("Retry-After"), time.Since(began)}, err
}
