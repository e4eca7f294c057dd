package lab

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
type holder struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

// startHolder starts one. source is the loopback address that its connections come from.
func (e *Env) startHolder(addr, source string, number int) (*holder, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	h := &holder{cmd: exec.Command(own, "holder", addr, source, strconv.Itoa(number))}
	h.cmd.Stderr = e.Out
	if h.in, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.out = bufio.NewScanner(out)
	return h, h.cmd.Start()
}

// do gives an order and waits for what becomes of it.
func (h *holder) do(format string, args ...any) (map[string]float64, error) {
	if _, err := fmt.Fprintf(h.in, format+"\n", args...); err != nil {
		return nil, err
	}
	if !h.out.Scan() {
		return nil, fmt.Errorf("a holder ended")
	}
	got := map[string]float64{}
	for _, w := range strings.Fields(h.out.Text()) {
		name, value, _ := strings.Cut(w, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("a holder says %q", h.out.Text())
		}
		got[name] = v
	}
	return got, nil
}

func (h *holder) stop() {
	h.in.Close() // it ends at the end of its input
	h.cmd.Wait()
}

// holderMain is the holder's side.
func holderMain(args []string, in io.Reader, out io.Writer) error {
	if len(args) != 3 {
		return command.Wrong("a holder is started by the tool alone")
	}
	addr, source := args[0], args[1]
	number, err := strconv.Atoi(args[2])
	if err != nil {
		return command.Wrong("a holder's number: %w", err)
	}
	var conns []*heldConn
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
				h := &heldConn{c: c, dial: dial}
				if status := h.ask(search()); status != http.StatusOK {
					failed++
					c.Close()
					continue
				}
				conns = append(conns, h)
			}
			fmt.Fprintf(out, "held=%d failed=%d\n", len(conns), failed)
		case "wake":
			by, l := each(conns[:min(n, len(conns))], time.Duration(within)*time.Millisecond, func(h *heldConn) int { return h.ask(search()) })
			ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
			fmt.Fprintf(out, "%s p50=%g p99=%g max=%g\n", byStatus(by), ms(50), ms(99), ms(100))
		case "silent":
			opened, closed := strangers(dial, n, time.Duration(within)*time.Millisecond)
			fmt.Fprintf(out, "opened=%d closed=%d\n", opened, closed)
		case "trickle":
			limit := time.Duration(args[2]) * time.Millisecond
			by, _ := each(conns[:min(n, len(conns))], 0, func(h *heldConn) int { return h.trickle(search(), within, limit) })
			fmt.Fprintln(out, byStatus(by))
		case "churn":
			var fresh []*heldConn
			for range within * n / 1000 {
				fresh = append(fresh, &heldConn{over: true, dial: dial})
			}
			by, _ := each(fresh, time.Duration(n)*time.Millisecond, func(h *heldConn) int {
				status := h.ask(search())
				h.drop()
				return status
			})
			fmt.Fprintln(out, byStatus(by))
		case "quit":
			return nil
		}
	}
	return nil
}

// each does something with each of some connections, spread evenly over a time, and waits until all is done.
func each(conns []*heldConn, within time.Duration, do func(*heldConn) int) (map[int]int, *Latency) {
	l := NewLatency()
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

func byStatus(by map[int]int) string {
	var b strings.Builder
	n := 0
	for status, k := range by {
		n += k
		fmt.Fprintf(&b, " %d=%d", status, k)
	}
	return fmt.Sprintf("asked=%d%s", n, b.String())
}

// strangers opens connections that never speak, holds them for a time and tells how many the other side closed.
func strangers(dial func() (net.Conn, error), n int, hold time.Duration) (opened int, closed int64) {
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

// heldConn is one connection of a holder, which is made anew where an answer said that it would be closed.
type heldConn struct {
	c    net.Conn
	dial func() (net.Conn, error)
	over bool
}

// answerLimit is how long a holder waits for an answer: longer than any client timeout of the experiment.
const answerLimit = 6 * time.Second

// open makes sure that there is a connection.
func (h *heldConn) open() bool {
	if h.over {
		c, err := h.dial()
		if err != nil {
			return false
		}
		h.c, h.over = c, false
	}
	return true
}

func (h *heldConn) drop() {
	if !h.over {
		h.c.Close()
		h.over = true
	}
}

// trickle sends a search at so many bytes a second, and gives the answer's status; 0 = the connection was closed.
func (h *heldConn) trickle(request []byte, rate int, limit time.Duration) int {
	if !h.open() {
		return 0
	}
	h.c.SetDeadline(time.Now().Add(limit))
	tick := time.NewTicker(time.Second / time.Duration(max(rate, 1)))
	defer tick.Stop()
	for _, b := range request[:len(request)-1] {
		if _, err := h.c.Write([]byte{b}); err != nil {
			h.drop()
			return 0
		}
		<-tick.C
	}
	return h.ask(request[len(request)-1:])
}

// ask sends a search and gives the answer's status; 0 = none came.
func (h *heldConn) ask(request []byte) int {
	if !h.open() {
		return 0
	}
	h.c.SetDeadline(time.Now().Add(answerLimit))
	defer func() { h.c.SetDeadline(time.Time{}) }()
	if _, err := h.c.Write(request); err != nil {
		h.drop()
		return 0
	}
	return h.answer()
}

// answer reads an answer and gives its status; 0 = none came.
func (h *heldConn) answer() int {
	res, err := http.ReadResponse(bufio.NewReaderSize(h.c, 512), nil)
	if err != nil {
		h.drop()
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		h.drop()
		return 0
	}
	if res.Close {
		h.drop()
	}
	return res.StatusCode
}
