package lab

import (
	"bufio"
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
	"oxbowspan/internal/standin"
)

// A holder is a process of its own that holds many connections to a gatherer: one has no more descriptors than a process
// may have. It is told what to do by lines on its standard input and says what became of it by lines on its output:
//
//	hold N       opens N connections, asks one search on each       held N failed M
//	wake K MS    asks one search on each of K of them, within MS     asked K and by status STATUS=COUNT ... p50=MS p99=MS max=MS
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
		s := standin.Search{ID: fmt.Sprintf("%016x", lastID.Add(1)), Kind: "lookup", Customer: "acme", Wait: 1900 * time.Millisecond,
			Shards: []int{0}, Text: "c41e77d0"}
		b := s.Body()
		return append(fmt.Appendf(nil, "POST /lookup HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: lookup\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 1900\r\nContent-Length: %d\r\n\r\n",
			s.ID, len(b)), b...)
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: 5 * time.Second, KeepAlive: -1}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		order, rest, _ := strings.Cut(lines.Text(), " ")
		number, over, _ := strings.Cut(rest, " ")
		n, _ := strconv.Atoi(number)
		within, _ := strconv.Atoi(over)
		switch order {
		case "hold":
			failed := 0
			for range n {
				dial := func() (net.Conn, error) { return dialer.Dial("tcp4", addr) }
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
			l := NewLatency()
			var mu sync.Mutex
			var all sync.WaitGroup
			by := map[int]int{}
			for i, h := range conns[:min(n, len(conns))] {
				all.Add(1)
				time.AfterFunc(time.Duration(i)*time.Duration(within)*time.Millisecond/time.Duration(n), func() {
					defer all.Done()
					began := time.Now()
					status := h.ask(search())
					l.Add(time.Since(began))
					mu.Lock()
					by[status]++
					mu.Unlock()
				})
			}
			all.Wait()
			fmt.Fprintf(out, "asked=%d", min(n, len(conns)))
			for status, k := range by {
				fmt.Fprintf(out, " %d=%d", status, k)
			}
			ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
			fmt.Fprintf(out, " p50=%g p99=%g max=%g\n", ms(50), ms(99), ms(100))
		case "quit":
			return nil
		}
	}
	return nil
}

// heldConn is one connection of a holder, which is made anew where an answer said that it would be closed.
type heldConn struct {
	c    net.Conn
	dial func() (net.Conn, error)
	over bool
}

// answerLimit is how long a holder waits for an answer: longer than any client timeout of the experiment.
const answerLimit = 6 * time.Second

// ask sends a search and gives the answer's status; 0 = none came.
func (h *heldConn) ask(request []byte) int {
	if h.over {
		c, err := h.dial()
		if err != nil {
			return 0
		}
		h.c, h.over = c, false
	}
	h.c.SetDeadline(time.Now().Add(answerLimit))
	defer h.c.SetDeadline(time.Time{})
	if _, err := h.c.Write(request); err != nil {
		return 0
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(h.c, 512), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	if res.Close {
		h.c.Close()
		h.over = true
	}
	return res.StatusCode
}
