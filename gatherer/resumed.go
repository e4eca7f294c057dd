package gatherer

import (
	"net"
	"sync"
)

// resumedListener is a net.Listener from which net/http accepts connections that were parked and are active again. Handing
// one over never blocks on net/http: connections are queued while the channel is full.
type resumedListener struct {
	net.Listener               // provides Addr
	conns        chan net.Conn // received by Accept
	done         chan struct{} // closed by Close
	once         sync.Once

	mu         sync.Mutex
	queue      []net.Conn     // sent to conns by sendQueued
	sending    bool           // sendQueued is running
	unaccepted sync.WaitGroup // enqueued connections that are neither accepted nor closed
}

// enqueue hands a connection over to Accept without blocking.
func (w *resumedListener) enqueue(c net.Conn) {
	w.unaccepted.Add(1)
	select {
	case w.conns <- c:
		return
	default:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue = append(w.queue, c); !w.sending {
		w.sending = true
		go w.sendQueued()
	}
}

// sendQueued sends queued connections until the queue is empty.
func (w *resumedListener) sendQueued() {
	for {
		w.mu.Lock()
		if len(w.queue) == 0 {
			w.sending, w.queue = false, nil
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
			w.unaccepted.Done()
		}
	}
}

// wait blocks until all enqueued connections are accepted or closed.
func (w *resumedListener) wait() { w.unaccepted.Wait() }

// Accept implements net.Listener.
func (w *resumedListener) Accept() (net.Conn, error) {
	select {
	case c := <-w.conns:
		w.unaccepted.Done()
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
