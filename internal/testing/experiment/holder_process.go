package experiment

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
)

const (
	// holderProgram is the hidden command that runs a connection holder.
	holderProgram = "holder"
	// holderDialTimeout is the maximum time for opening a connection.
	holderDialTimeout = 5 * time.Second
	// holderIDShift separates the ranges of request ids of the holders: each may send 2^40 requests.
	holderIDShift = 40
)

func newConnectionHolderCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:    holderProgram + " ADDR SOURCE NUMBER",
		Hidden: true,
		Args:   command.ExactArgs(3, "ADDR SOURCE NUMBER"),
		RunE: func(_ *cobra.Command, args []string) error {
			number, err := strconv.Atoi(args[2])
			if err != nil {
				return command.Usagef("the number of a holder: %w", err)
			}
			newHolderProcess(args[0], args[1], number).run(os.Stdin, stdout)
			return nil
		},
	}
}

// holderProcess is the state of a connection holder's process.
type holderProcess struct {
	addr   string
	dialer net.Dialer
	conns  []*clientConn // held
	lastID atomic.Uint64
}

func newHolderProcess(addr, source string, number int) *holderProcess {
	p := &holderProcess{
		addr: addr,
		dialer: net.Dialer{
			LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)},
			Timeout:   holderDialTimeout,
			KeepAlive: -1, // disabled
		},
	}
	p.lastID.Store(uint64(number+1) << holderIDShift)
	return p
}

// run executes the commands of the input and writes their results until the input ends or quitCommand. Missing arguments are 0,
// unknown commands are ignored.
func (p *holderProcess) run(in io.Reader, out io.Writer) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			continue
		}
		var args [holderArguments]int
		for i, field := range fields[1:min(len(fields), 1+holderArguments)] {
			args[i], _ = strconv.Atoi(field)
		}
		if fields[0] == quitCommand {
			return
		}
		if result, ok := p.execute(fields[0], args); ok {
			fmt.Fprintln(out, result)
		}
	}
}

// execute executes one command; ok is false if it is unknown.
func (p *holderProcess) execute(command string, args [holderArguments]int) (result holderResult, ok bool) {
	millis := func(i int) time.Duration { return time.Duration(args[i]) * time.Millisecond }
	switch command {
	case holdCommand:
		return p.hold(args[0]), true
	case wakeCommand:
		return spreadOver(p.firstConns(args[0]), millis(1), func(c *clientConn) int { return c.send(p.lookup()) }), true
	case silentCommand:
		return openSilentConnections(p.dial, args[0], millis(1)), true
	case trickleCommand:
		return spreadOver(p.firstConns(args[0]), 0, func(c *clientConn) int { return c.trickle(p.lookup(), args[1], millis(2)) }), true
	case churnCommand:
		return p.churn(millis(0), args[1]), true
	}
	return holderResult{}, false
}

func (p *holderProcess) dial() (net.Conn, error) { return p.dialer.Dial("tcp4", p.addr) }

// firstConns returns the first count of the connections held, or all if there are fewer.
func (p *holderProcess) firstConns(count int) []*clientConn {
	return p.conns[:min(count, len(p.conns))]
}

// lookup encodes the next look-up request.
func (p *holderProcess) lookup() []byte {
	header, body := rawRequest(newLookup(p.lastID.Add(1), 0))
	return []byte(header + body)
}

// hold opens connections and sends a look-up on each.
func (p *holderProcess) hold(count int) holderResult {
	failed := 0
	for range count {
		conn, err := p.dial()
		if err != nil {
			failed++
			continue
		}
		c := &clientConn{conn: conn, dial: p.dial}
		if c.send(p.lookup()) != http.StatusOK {
			failed++
			conn.Close()
			continue
		}
		p.conns = append(p.conns, c)
	}
	return holderResult{held: len(p.conns), failed: failed}
}

// churn opens a number of connections per second, sends a look-up on each and closes it.
func (p *holderProcess) churn(duration time.Duration, perSecond int) holderResult {
	count := perSecond * int(duration/time.Millisecond) / 1000
	var conns []*clientConn
	for range count {
		conns = append(conns, &clientConn{closed: true, dial: p.dial})
	}
	return spreadOver(conns, duration, func(c *clientConn) int {
		status := c.send(p.lookup())
		c.close()
		return status
	})
}

// spreadOver calls do with each connection, with the calls spread evenly over duration, and waits until all calls have
// returned. The result of do is a response's status.
func spreadOver(conns []*clientConn, duration time.Duration, do func(*clientConn) int) holderResult {
	latency := NewLatencyRecorder()
	statuses := map[int]int{}
	var mu sync.Mutex
	var running sync.WaitGroup
	for i, conn := range conns {
		running.Add(1)
		time.AfterFunc(time.Duration(i)*duration/time.Duration(len(conns)), func() {
			defer running.Done()
			start := time.Now()
			status := do(conn)
			latency.Add(time.Since(start))
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
	}
	running.Wait()
	return holderResult{
		statuses: statuses,
		p50:      latency.percentile(50),
		p99:      latency.percentile(99),
		max:      latency.percentile(100),
	}
}

// openSilentConnections opens connections that never send anything, holds them for a duration and counts how many of them the
// peer has closed by then.
func openSilentConnections(dial func() (net.Conn, error), count int, duration time.Duration) holderResult {
	var closed atomic.Int64
	var conns []net.Conn
	var readers sync.WaitGroup
	deadline := time.Now().Add(duration)
	for range count {
		conn, err := dial()
		if err != nil {
			break
		}
		conns = append(conns, conn)
		readers.Go(func() {
			conn.SetReadDeadline(deadline)
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				closed.Add(1)
			}
		})
	}
	readers.Wait()
	for _, conn := range conns {
		conn.Close()
	}
	return holderResult{opened: len(conns), closed: int(closed.Load())}
}
