package gatherer

import (
	"net"
	"sync"
)

// resumedListener is a net.Listener of connections that were parked. Resuming one never blocks on net/http: connections
// that the channel has no room for wait in a queue.
type resumedListener struct {
	net.Listener // provides the address
	conns        chan net.Conn
	done         chan struct{}
	once         sync.Once

	mu      sync.Mutex
	queue   []net.Conn     // sent by feed
	feeding bool           // feed is running
	served  sync.WaitGroup // connections that are not accepted
}

// enqueue hands a connection over without blocking.
func (w *resumedListener) enqueue(c net.Conn) {
	w.served.Add(1)
	select {
	case w.conns <- c:
		return
	default:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue = append(w.queue, c); !w.feeding {
		w.feeding = true
		go w.feed()
	}
}

// feed sends queued connections until the queue is empty.
func (w *resumedListener) feed() {
	for {
		w.mu.Lock()
		if len(w.queue) == 0 {
			w.feeding, w.queue = false, nil
			w.mu.Unlock()
			return
		}
		c := w.queue[0]
		w.queue = w.queue[1:]
		w.mu.Unlock()
		select {
		case w.conns <- c:
		case <-w.done:
			c.Close()
			w.served.Done()
		}
	}
}

// wait blocks until all connections are accepted or closed.
func (w *resumedListener) wait() { w.served.Wait() }

// Accept implements net.Listener.
func (w *resumedListener) Accept() (net.Conn, error) {
	select {
	case c := <-w.conns:
		w.served.Done()
		return c, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (w *resumedListener) Close() error {
	w.once.Do(func() { close(w.done) })
	return nil
}
