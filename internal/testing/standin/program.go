package standin

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout is the maximum time until a program is ready.
	startTimeout = 20 * time.Second
	// readyInterval is the time between two requests to the ready endpoint.
	readyInterval = 5 * time.Millisecond
	// readyPath is the gatherer's ready endpoint.
	readyPath = "/-/ready"
	// logBufferSize is the capacity of Program.Lines.
	logBufferSize = 100_000
	// logTailLines is the number of log lines that errors quote.
	logTailLines = 5

	// The log event of a program that accepts connections, and the field that holds its address.
	listeningEvent = "event=listening "
	addressField   = "addr"
)

// Program is a built gatherer running as a process.
type Program struct {
	Addr   string        // address for clients
	Lines  chan string   // the log; lines are dropped while it is full; closed at the end of the log
	Exit   chan error    // receives the process's exit status
	Exited chan struct{} // closed after the exit status has been sent to Exit

	cmd *exec.Cmd
}

// StartProgram starts a server command and waits until it is ready. If onLine is not nil, it is called with each line of the log.
func StartProgram(cmd *exec.Cmd, onLine func(line string)) (*Program, error) {
	p := &Program{
		Lines:  make(chan string, logBufferSize),
		Exit:   make(chan error, 1),
		Exited: make(chan struct{}),
		cmd:    cmd,
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	listening := make(chan string, 1)
	var tail logTail
	go func() {
		p.readLog(stderr, &tail, listening, onLine)
		p.Exit <- cmd.Wait()
		close(p.Exited)
	}()
	timeout := time.After(startTimeout)
	select {
	case p.Addr = <-listening:
	case <-p.Exited:
		return nil, fmt.Errorf("the program exited before it listened: %s", tail.text())
	case <-timeout:
		p.Kill()
		return nil, fmt.Errorf("the program did not listen within %s: %s", startTimeout, tail.text())
	}
	if err := p.waitReady(timeout); err != nil {
		return nil, fmt.Errorf("%w: %s", err, tail.text())
	}
	return p, nil
}

// readLog reads the program's log to its end and sends the first address that the program listens at.
func (p *Program) readLog(log io.Reader, tail *logTail, listening chan<- string, onLine func(line string)) {
	for scanner := bufio.NewScanner(log); scanner.Scan(); {
		line := scanner.Text()
		tail.add(line)
		if onLine != nil {
			onLine(line)
		}
		if strings.Contains(line, listeningEvent) {
			select {
			case listening <- LogField(line, addressField):
			default:
			}
		}
		select {
		case p.Lines <- line:
		default:
		}
	}
	close(p.Lines)
}

// waitReady polls the ready endpoint, as a load balancer does, until it succeeds or the timeout fires.
func (p *Program) waitReady(timeout <-chan time.Time) error {
	for {
		if res, err := http.Get("http://" + p.Addr + readyPath); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.Exited:
			return fmt.Errorf("the program exited before it was ready")
		case <-timeout:
			p.Kill()
			return fmt.Errorf("the program was not ready within %s", startTimeout)
		case <-time.After(readyInterval):
		}
	}
}

// Signal sends a signal to the process.
func (p *Program) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill kills the process without a graceful shutdown.
func (p *Program) Kill() { p.cmd.Process.Kill() }

// PID returns the process's id.
func (p *Program) PID() int { return p.cmd.Process.Pid }

// Drain starts a graceful shutdown of the program and waits for its exit. It kills the process after the timeout.
func (p *Program) Drain(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Exited:
		return <-p.Exit
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("the program did not exit within %s of SIGTERM", timeout)
	}
}

// logTail holds the last lines of a log.
type logTail struct {
	mu    sync.Mutex
	lines []string
}

func (t *logTail) add(line string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, line)
	if len(t.lines) > logTailLines {
		t.lines = t.lines[1:]
	}
}

func (t *logTail) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, " | ")
}

// LogField returns the value of a field of a log line in key=value form, or "" if the line lacks the field.
func LogField(line, name string) string {
	for _, field := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			return value
		}
	}
	return ""
}
