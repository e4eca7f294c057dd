package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	maxConns      = 16 // limit on connections open at the same time
	readTimeout   = time.Minute
	writeTimeout  = 5 * time.Second
	acceptBackoff = 100 * time.Millisecond // pause after a failed accept, as when out of file descriptors
	streamBuffer  = 4                      // states buffered for a watching client
)

// Socket is the listening admin socket of a gatherer.
type Socket struct {
	listener net.Listener
	submit   func(Request) bool
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	tasks    sync.WaitGroup
}

// Listen creates the socket at a path and serves it. submit must pass a request to the gatherer; it returns false once the gatherer has
// ended.
func Listen(path string, submit func(Request) bool) (*Socket, error) {
	listener, err := listen(path)
	if err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", path, err)
	}
	s := &Socket{listener: listener, submit: submit, conns: map[net.Conn]struct{}{}}
	s.tasks.Go(s.accept)
	return s, nil
}

func listen(path string) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&fs.ModeSocket == 0 {
			return nil, errors.New("something else is there")
		}
		if c, err := net.Dial("unix", path); err == nil {
			c.Close()
			return nil, errors.New("another process listens there")
		}
		os.Remove(path) // left by a process that was killed
	}
	// The mode is set by the umask at creation, so that others cannot connect at any time.
	previous := syscall.Umask(0o177)
	defer syscall.Umask(previous)
	return net.Listen("unix", path)
}

// Close closes the socket and all connections, and waits for their goroutines to end.
func (s *Socket) Close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Socket) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff) // out of file descriptors
			continue
		}
		if !s.add(c) {
			c.Close()
			continue
		}
		go s.serve(c)
	}
}

// add registers a connection. It returns false if maxConns connections are open.
func (s *Socket) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConns {
		return false
	}
	s.conns[c] = struct{}{}
	s.tasks.Add(1)
	return true
}

func (s *Socket) remove(c net.Conn) {
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.tasks.Done()
}

// serve handles the requests of a connection until it is closed or the gatherer has ended.
func (s *Socket) serve(c net.Conn) {
	defer s.remove(c)
	for lines := bufio.NewScanner(c); scan(c, lines); {
		var request Request
		var response Response
		err := json.Unmarshal(lines.Bytes(), &request)
		switch {
		case err != nil:
			response.Error = "a request is one JSON text a line"
		case request.Verb == Watch:
			s.stream(c)
			return
		default:
			var running bool
			if response, running = s.handle(request); !running {
				return
			}
		}
		line, err := json.Marshal(response)
		if err != nil || write(c, line) != nil {
			return
		}
	}
}

// scan reads the next line; it returns false if none arrives within readTimeout.
func scan(c net.Conn, lines *bufio.Scanner) bool {
	c.SetReadDeadline(time.Now().Add(readTimeout))
	return lines.Scan()
}

// write writes a line and a newline within writeTimeout.
func write(c net.Conn, line []byte) error {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(append(line, '\n'))
	return err
}

// handle passes a request to the gatherer and returns its response. It returns false if the gatherer has ended.
func (s *Socket) handle(request Request) (Response, bool) {
	switch request.Verb {
	case Show, Explain, Pin, Unpin:
	default:
		return Response{Error: fmt.Sprintf("%.40q is not known: show, explain, pin, unpin and watch are", request.Verb)}, true
	}
	request.Reply = make(chan Response, 1)
	if !s.submit(request) {
		return Response{}, false
	}
	select {
	case response := <-request.Reply:
		return response, true
	case <-time.After(writeTimeout):
		return Response{Error: "the gatherer does not answer"}, true
	}
}

// stream sends states until the client disconnects.
func (s *Socket) stream(c net.Conn) {
	states := make(chan []byte, streamBuffer)
	if !s.submit(Request{Verb: Watch, Stream: states}) {
		return
	}
	defer s.submit(Request{Verb: Unwatch, Stream: states})
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		c.SetReadDeadline(time.Time{})
		c.Read(make([]byte, 1)) // a watching client sends nothing, so this returns when it disconnects
	}()
	defer func() { c.Close(); <-disconnected }()
	for {
		select {
		case state := <-states:
			if write(c, state) != nil {
				return
			}
		case <-disconnected:
			return
		}
	}
}
