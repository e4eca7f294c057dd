package experiment

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/command"
	"oxbowspan/internal/testing/standin"
)

// A holder is a process of its own that holds many connections to a gatherer: one has no more descriptors than a process
// may have. It is told what to do by lines on its standard input and says what became of it by lines on its output:
//
//	hold N       opens N connections, asks one search on each       held N failed M
//	wake K MS    asks one search on each of K of them, within MS     asked K and by status STATUS=COUNT ... p50=MS p99=MS max=MS
//	silent N MS  opens N more that never speak, for MS              opened N and closed C by the other side meanwhile
//	trickle K B MS  sends a search on K of them at B bytes a second, for MS at most   asked K and by status, 0 = closed
//	churn MS N   opens one, asks once and closes it, N times a second for MS          asked K and by status
//	quit         closes all
type connectionHolder struct {
	cmd    *exec.Cmd
	input  io.WriteCloser
	output *bufio.Scanner
}

// startConnectionHolder starts one. source is the loopback address that its connections come from.
func (e *Env) startConnectionHolder(addr, source string, number int) (*connectionHolder, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	h := &connectionHolder{cmd: exec.Command(own, "holder", addr, source, strconv.Itoa(number))}
	h.cmd.Stderr = e.Out
	if h.input, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.output = bufio.NewScanner(out)
	return h, h.cmd.Start()
}

// do gives an order and waits for what becomes of it.
func (h *connectionHolder) do(format string, args ...any) (map[string]float64, error) {
	if _, err := fmt.Fprintf(h.input, format+"\n", args...); err != nil {
		return nil, err
	}
	if !h.output.Scan() {
		return nil, fmt.Errorf("a holder ended")
	}
	got := map[string]float64{}
	for _, w := range strings.Fields(h.output.Text()) {
		name, value, _ := strings.Cut(w, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("a holder says %q", h.output.Text())
		}
		got[name] = v
	}
	return got, nil
}

func (h *connectionHolder) stop() {
	h.input.Close() // it ends at the end of its input
	h.cmd.Wait()
}

// runConnectionHolder is the holder's side.
func runConnectionHolder(args []string, in io.Reader, out io.Writer) error {
	if len(args) != 3 {
		return command.Usagef("a holder is started by the tool alone")
	}
	addr, source := args[0], args[1]
	number, err := strconv.Atoi(args[2])
	if err != nil {
		return command.Usagef("a holder's number: %w", err)
	}
	var conns []*clientConn
	var lastID atomic.Uint64
	lastID.Store(uint64(number+1) << 40)
	search := func() []byte {
		s := standin.Request{ID: fmt.Sprintf("%016x", lastID.Add(1)), QueryType: "lookup", Customer: "acme", Timeout: 1900 * time.Millisecond,
			Shards: []int{0}, Statement: "c41e77d0"}
		b := s.Body()
		return append(fmt.Appendf(nil, "POST /lookup HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: lookup\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 1900\r\nContent-Length: %d\r\n\r\n",
			s.ID, len(b)), b...)
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: 5 * time.Second, KeepAlive: -1}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		order, args := words[0], [3]int{}
		for i, w := range words[1:min(len(words), 4)] {
			args[i], _ = strconv.Atoi(w)
		}
		n, within := args[0], args[1]
		dial := func() (net.Conn, error) { return dialer.Dial("tcp4", addr) }
		switch order {
		case "hold":
			failed := 0
			for range n {
				c, err := dial()
				if err != nil {
					failed++
					continue
				}
				h := &clientConn{conn: c, dial: dial}
				if status := h.send(search()); status != http.StatusOK {
					failed++
					c.Close()
					continue
				}
				conns = append(conns, h)
			}
			fmt.Fprintf(out, "held=%d failed=%d\n", len(conns), failed)
		case "wake":
			by, l := spreadOver(conns[:min(n, len(conns))], time.Duration(within)*time.Millisecond, func(h *clientConn) int { return h.send(search()) })
			ms := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
			fmt.Fprintf(out, "%s p50=%g p99=%g max=%g\n", formatStatusCounts(by), ms(50), ms(99), ms(100))
		case "silent":
			opened, closed := openSilentConnections(dial, n, time.Duration(within)*time.Millisecond)
			fmt.Fprintf(out, "opened=%d closed=%d\n", opened, closed)
		case "trickle":
			limit := time.Duration(args[2]) * time.Millisecond
			by, _ := spreadOver(conns[:min(n, len(conns))], 0, func(h *clientConn) int { return h.trickle(search(), within, limit) })
			fmt.Fprintln(out, formatStatusCounts(by))
		case "churn":
			var fresh []*clientConn
			for range within * n / 1000 {
				fresh = append(fresh, &clientConn{closed: true, dial: dial})
			}
			by, _ := spreadOver(fresh, time.Duration(n)*time.Millisecond, func(h *clientConn) int {
				status := h.send(search())
				h.close()
				return status
			})
			fmt.Fprintln(out, formatStatusCounts(by))
		case "quit":
			return nil
		}
	}
	return nil
}

// spreadOver does something with each of some connections, spread evenly over a time, and waits until all is done.
func spreadOver(conns []*clientConn, within time.Duration, do func(*clientConn) int) (map[int]int, *LatencyRecorder) {
	l := NewLatencyRecorder()
	var mu sync.Mutex
	var all sync.WaitGroup
	by := map[int]int{}
	for i, h := range conns {
		all.Add(1)
		time.AfterFunc(time.Duration(i)*within/time.Duration(len(conns)), func() {
			defer all.Done()
			began := time.Now()
			status := do(h)
			l.Add(time.Since(began))
			mu.Lock()
			by[status]++
			mu.Unlock()
		})
	}
	all.Wait()
	return by, l
}

func formatStatusCounts(by map[int]int) string {
	var b strings.Builder
	n := 0
	for status, k := range by {
		n += k
		fmt.Fprintf(&b, " %d=%d", status, k)
	}
	return fmt.Sprintf("asked=%d%s", n, b.String())
}

// openSilentConnections opens connections that never speak, holds them for a time and tells how many the other side closed.
func openSilentConnections(dial func() (net.Conn, error), n int, hold time.Duration) (opened int, closed int64) {
	var gone atomic.Int64
	var all []net.Conn
	var readers sync.WaitGroup
	until := time.Now().Add(hold)
	for range n {
		c, err := dial()
		if err != nil {
			break
		}
		all = append(all, c)
		readers.Add(1)
		go func() {
			defer readers.Done()
			c.SetReadDeadline(until)
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				gone.Add(1)
			}
		}()
	}
	readers.Wait()
	for _, c := range all {
		c.Close()
	}
	return len(all), gone.Load()
}

// clientConn is one connection of a holder, which is made anew where an answer said that it would be closed.
type clientConn struct {
	conn   net.Conn
	dial   func() (net.Conn, error)
	closed bool
}

// responseTimeout is how long a holder waits for an answer: longer than any client timeout of the experiment.
const responseTimeout = 6 * time.Second

// open makes sure that there is a connection.
func (h *clientConn) open() bool {
	if h.closed {
		c, err := h.dial()
		if err != nil {
			return false
		}
		h.conn, h.closed = c, false
	}
	return true
}

func (h *clientConn) close() {
	if !h.closed {
		h.conn.Close()
		h.closed = true
	}
}

// trickle sends a search at so many bytes a second, and gives the answer's status; 0 = the connection was closed.
func (h *clientConn) trickle(request []byte, rate int, limit time.Duration) int {
	if !h.open() {
		return 0
	}
	h.conn.SetDeadline(time.Now().Add(limit))
	tick := time.NewTicker(time.Second / time.Duration(max(rate, 1)))
	defer tick.Stop()
	for _, b := range request[:len(request)-1] {
		if _, err := h.conn.Write([]byte{b}); err != nil {
			h.close()
			return 0
		}
		<-tick.C
	}
	return h.send(request[len(request)-1:])
}

// send sends a search and gives the answer's status; 0 = none came.
func (h *clientConn) send(request []byte) int {
	if !h.open() {
		return 0
	}
	h.conn.SetDeadline(time.Now().Add(responseTimeout))
	defer func() { h.conn.SetDeadline(time.Time{}) }()
	if _, err := h.conn.Write(request); err != nil {
		h.close()
		return 0
	}
	return h.readStatus()
}

// readStatus reads an answer and gives its status; 0 = none came.
func (h *clientConn) readStatus() int {
	res, err := http.ReadResponse(bufio.NewReaderSize(h.conn, 512), nil)
	if err != nil {
		h.close()
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		h.close()
		return 0
	}
	if res.Close {
		h.close()
	}
	return res.StatusCode
}
