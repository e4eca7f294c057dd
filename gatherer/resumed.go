package gatherer

import (
	"net"
	"sync"
)

// resumedListener is where net/http takes connections that were parked. It never waits for net/http: what does not fit the
// channel waits in a list.
type resumedListener struct {
	net.Listener // for its address
	conns        chan net.Conn
	done         chan struct{}
	once         sync.Once

	mu      sync.Mutex
	queue   []net.Conn // emptied by feed
	feeding bool       // feed runs
	served  sync.WaitGroup
}

// enqueue hands a connection over without waiting.
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

// wait waits until all that was handed over has been taken.
func (w *resumedListener) wait() { w.served.Wait() }

func (w *resumedListener) Accept() (net.Conn, error) {
	select {
	case c := <-w.conns:
		w.served.Done()
		return c, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

func (w *resumedListener) Close() error {
	w.once.Do(func() { close(w.done) })
	return nil
}
