package gatherer

import (
	"net"
	"sync"
)

// wokenListener is where net/http takes connections that were parked. It never waits for net/http: what does not fit the
// channel waits in a list.
type wokenListener struct {
	net.Listener // for its address
	c            chan net.Conn
	done         chan struct{}
	once         sync.Once

	mu     sync.Mutex
	queue  []net.Conn // emptied by feed
	on     bool       // feed runs
	served sync.WaitGroup
}

// put hands a connection over without waiting.
func (w *wokenListener) put(c net.Conn) {
	w.served.Add(1)
	select {
	case w.c <- c:
		return
	default:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue = append(w.queue, c); !w.on {
		w.on = true
		go w.feed()
	}
}

func (w *wokenListener) feed() {
	for {
		w.mu.Lock()
		if len(w.queue) == 0 {
			w.on, w.queue = false, nil
			w.mu.Unlock()
			return
		}
		c := w.queue[0]
		w.queue = w.queue[1:]
		w.mu.Unlock()
		select {
		case w.c <- c:
		case <-w.done:
			c.Close()
			w.served.Done()
		}
	}
}

// settle waits until all that was handed over has been taken.
func (w *wokenListener) settle() { w.served.Wait() }

func (w *wokenListener) Accept() (net.Conn, error) {
	select {
	case c := <-w.c:
		w.served.Done()
		return c, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

func (w *wokenListener) Close() error {
	w.once.Do(func() { close(w.done) })
	return nil
}
