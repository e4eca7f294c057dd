//go:build linux

package park

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Three small prototypes of how idle connections may give up their goroutine, each a server that answers a POST with its
// body. They are what docs/design/idle-connections.md weighs, made so that the weighing is measured.
//
//	go test -run xxx -bench Ways -benchmem ./internal/park

// prototype is a server of one way.
type prototype interface {
	addr() string
	idle() int // connections that hold no goroutine
	stop()
}

// table holds parked connections for all three.
type table struct {
	mu   sync.Mutex
	set  *Set
	fds  map[uint32]int
	next uint32

	workers sync.WaitGroup // that deal with what woke
}

func (p *table) park(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	fd, err := p.set.Park(c, p.next)
	if err == nil {
		p.fds[p.next] = fd
	}
	return err == nil
}

// take takes out what woke; nil = it is over.
func (p *table) take(value uint32, fd int) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fds[value] != fd {
		return nil
	}
	delete(p.fds, value)
	if waiting, _ := Peek(fd); !waiting {
		p.set.Close(fd)
		return nil
	}
	c, err := p.set.Unpark(fd)
	if err != nil {
		p.set.Close(fd)
		return nil
	}
	return c
}

func (p *table) idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.fds)
}

func (p *table) end() {
	p.set.Stop()
	p.workers.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, fd := range p.fds {
		p.set.Close(fd)
	}
	clear(p.fds)
}

// again: net/http over a listener that re-accepts what woke; the way that was chosen.
type again struct {
	table
	net.Listener
	woken chan net.Conn
	srv   http.Server
}

// againConn says that it is over once nothing comes for a moment after the first bytes. The prototype answers at once; the
// gatherer, which does not, looks whether it is between two requests.
type againConn struct {
	net.Conn
	p    *again
	read atomic.Bool // something has been
	gone atomic.Bool // its socket is parked
}

func (c *againConn) Read(b []byte) (int, error) {
	if c.read.Load() {
		c.Conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.Conn.SetReadDeadline(time.Time{})
			return n, err
		}
		if c.p.park(c.Conn.(*net.TCPConn)) {
			c.gone.Store(true)
			return 0, io.EOF
		}
		c.Conn.SetReadDeadline(time.Time{})
	}
	n, err := c.Conn.Read(b)
	c.read.Store(true)
	return n, err
}

func (c *againConn) Close() error {
	if c.gone.Load() {
		return nil
	}
	return c.Conn.Close()
}

func (p *again) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &againConn{Conn: c, p: p}, nil
}

type wokenOnes struct{ *again }

func (w wokenOnes) Accept() (net.Conn, error) {
	c, ok := <-w.woken
	if !ok {
		return nil, net.ErrClosed
	}
	return &againConn{Conn: c, p: w.again}, nil
}

func (w wokenOnes) Close() error { return nil }

func echo(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}

func startAgain(l net.Listener) prototype {
	p := &again{Listener: l, woken: make(chan net.Conn, 1024)}
	p.fds = map[uint32]int{}
	p.set, _ = New(func(value uint32, fd int) {
		if c := p.take(value, fd); c != nil {
			p.woken <- c
		}
	})
	p.srv.Handler = http.HandlerFunc(echo)
	go p.srv.Serve(p)
	go p.srv.Serve(wokenOnes{p})
	return p
}

func (p *again) addr() string { return p.Listener.Addr().String() }
func (p *again) stop()        { p.end(); close(p.woken); p.srv.Close() }

// hijacked: net/http reads the first request; from then on the connection is ours, each further request is read by
// http.ReadRequest in a goroutine that lasts as long as it, and every answer is written by hand.
type hijacked struct {
	table
	l   net.Listener
	srv http.Server
}

func (p *hijacked) serve(c net.Conn, r *bufio.Reader, req *http.Request) {
	b, err := io.ReadAll(req.Body)
	if err == nil {
		_, err = c.Write(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(b))+"\r\n\r\n"), b...))
	}
	if err != nil || r.Buffered() > 0 || !p.park(c.(*net.TCPConn)) {
		c.Close()
	}
}

func startHijacked(l net.Listener) prototype {
	p := &hijacked{l: l}
	p.fds = map[uint32]int{}
	p.set, _ = New(func(value uint32, fd int) {
		if c := p.take(value, fd); c != nil {
			p.workers.Add(1)
			go func() {
				defer p.workers.Done()
				r := bufio.NewReader(c)
				if req, err := http.ReadRequest(r); err != nil {
					c.Close()
				} else {
					p.serve(c, r, req)
				}
			}()
		}
	})
	p.srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(b))
		if c, rw, err := w.(http.Hijacker).Hijack(); err == nil {
			p.serve(c, rw.Reader, r)
		}
	})
	go p.srv.Serve(l)
	return p
}

func (p *hijacked) addr() string { return p.l.Addr().String() }
func (p *hijacked) stop()        { p.end(); p.srv.Close() }

// loop: a server of our own. What wakes is read, taken apart by a few lines and answered in a worker's goroutine, on the
// descriptor itself: no net.Conn, no net/http.
type loop struct {
	table
	l net.Listener
}

func (p *loop) answer(value uint32, fd int) {
	b := loopBuffers.Get().(*[4096]byte)
	defer loopBuffers.Put(b)
	n, err := readFD(fd, b[:])
	head, body, whole := bytes.Cut(b[:max(n, 0)], []byte("\r\n\r\n"))
	_, length, has := bytes.Cut(head, []byte("Content-Length: "))
	length, _, _ = bytes.Cut(length, []byte("\r\n"))
	want, _ := strconv.Atoi(string(length))
	if err != nil || !whole || !has || len(body) < want || writeFD(fd, append([]byte("HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(want)+"\r\n\r\n"), body[:want]...)) != nil ||
		p.set.Watch(fd, value) != nil {
		p.mu.Lock()
		delete(p.fds, value)
		p.mu.Unlock()
		p.set.Close(fd)
	}
}

var loopBuffers = sync.Pool{New: func() any { return new([4096]byte) }}

func startLoop(l net.Listener) prototype {
	p := &loop{l: l}
	p.fds = map[uint32]int{}
	p.set, _ = New(func(value uint32, fd int) {
		p.mu.Lock()
		ours := p.fds[value] == fd
		p.mu.Unlock()
		if ours {
			p.workers.Add(1)
			go func() {
				defer p.workers.Done()
				p.answer(value, fd)
			}()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !p.park(c.(*net.TCPConn)) {
				c.Close()
			}
		}
	}()
	return p
}

func (p *loop) addr() string { return p.l.Addr().String() }
func (p *loop) stop()        { p.l.Close(); p.end() }

var ways = map[string]func(net.Listener) prototype{"reaccept": startAgain, "hijack": startHijacked, "loop": startLoop}

const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"

// ask sends a request and reads its answer.
func ask(c net.Conn, b []byte) error {
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	for n := 0; ; {
		k, err := c.Read(b[n:])
		if n += k; bytes.HasSuffix(b[:n], []byte("hello")) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// All three keep a connection over many requests and answer each.
func TestPrototypesAnswerAcrossParks(t *testing.T) {
	for name, start := range ways {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := start(l)
		c, err := net.Dial("tcp", p.addr())
		if err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 1024)
		for i := range 5 {
			if err := ask(c, b); err != nil {
				t.Fatalf("%s: request %d: %v", name, i, err)
			}
			for end := time.Now().Add(10 * time.Second); p.idle() < 1; runtime.Gosched() {
				if time.Now().After(end) {
					t.Fatalf("%s: never idle without a goroutine", name)
				}
			}
		}
		c.Close()
		p.stop()
	}
}

// One operation is a wake: a request on a connection that holds no goroutine, its answer, and the way back.
func BenchmarkWays(b *testing.B) {
	for _, name := range []string{"reaccept", "hijack", "loop"} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			p := ways[name](l)
			defer p.stop()
			c, err := net.Dial("tcp", p.addr())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			buf := make([]byte, 1024)
			b.ReportAllocs()
			for b.Loop() {
				if err := ask(c, buf); err != nil {
					b.Fatal(err)
				}
				for p.idle() < 1 {
					runtime.Gosched()
				}
			}
		})
	}
}
