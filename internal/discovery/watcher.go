package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// The list service sends a line at least every heartbeatInterval, an empty one if nothing has changed. A watch without
// a line for watchTimeout has failed.
const (
	heartbeatInterval = 2 * time.Second
	watchTimeout      = heartbeatInterval + heartbeatInterval/2
)

// Sizes of the connection's buffers, in bytes.
const (
	readBufferSize  = 4 << 10
	writeBufferSize = 1 << 10
)

// endReason is why a connection to the list service ended: the reason code in the log.
type endReason string

const (
	endClosed    endReason = "discovery_closed" // the service ended the watch
	endStatus    endReason = "bad_status"       // the service answered with a status other than 200
	endMalformed endReason = "bad_form"         // a line is invalid
	endSilent    endReason = "silent"           // no line for watchTimeout
	endReset     endReason = "reset"            // the connection broke
	endConnect   endReason = "connect_failed"
	endReplaced  endReason = "replaced" // ended here: a new watch was requested
	endMoved     endReason = "moved"    // ended here: the service has another address
	endListed    endReason = "listed"   // the complete list was sent without a watch; a watch follows
	endStopped   endReason = "stopped"  // ended here: the program ends
)

// errNoBase says that a new list service sent changes before a complete list.
var errNoBase = errors.New("changes without a complete list before them")

// Handler receives the updates of a Watcher, in order. Its methods are called from the watcher's goroutine and may
// block for a moment.
type Handler interface {
	ListReceived(ServerList)
	// WatchFailed says that a request failed or a watch ended.
	WatchFailed()
}

// Watcher watches the server list in a goroutine. Its exported methods may be called from any goroutine.
type Watcher struct {
	target      atomic.Pointer[string] // address of the list service
	accept      func(Server) error
	handler     Handler
	client      *http.Client
	resubscribe bool
	requests    chan struct{}
	stop        chan struct{}
	done        chan struct{}

	// The watcher's goroutine owns these.
	addr         string // of the present watch
	version      uint64 // of the last list
	needComplete bool   // the last list is that of another service: a complete one is requested before a watch
}

// Start returns a running watcher of the list service at an address. It holds a list of a version already. Without
// resubscribe it requests nothing until Subscribe; with it, it subscribes at once and again after each watch. The
// accept function is that of Parse.
func Start(addr string, version uint64, connectTimeout time.Duration, accept func(Server) error, handler Handler,
	resubscribe bool) *Watcher {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	w := &Watcher{
		addr: addr, version: version, accept: accept, handler: handler, resubscribe: resubscribe,
		requests: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		client: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true,
				DisableKeepAlives: true, ReadBufferSize: readBufferSize, WriteBufferSize: writeBufferSize},
		},
	}
	w.target.Store(&addr)
	if resubscribe {
		w.Subscribe()
	}
	go w.run()
	return w
}

// Move changes the address of the list service. The watch of the old address ends, and one of the new begins.
func (w *Watcher) Move(addr string) {
	w.target.Store(&addr)
	w.Subscribe()
}

// Subscribe requests a new watch. It does nothing if one is requested that has not begun.
func (w *Watcher) Subscribe() {
	select {
	case w.requests <- struct{}{}:
	default:
	}
}

// Stop ends the watch and waits for the watcher to end.
func (w *Watcher) Stop() {
	close(w.stop)
	<-w.done
}

func (w *Watcher) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		case <-w.requests:
			for w.watch() {
			}
			if w.resubscribe {
				time.AfterFunc(heartbeatInterval, w.Subscribe)
			}
		}
	}
}

// watchEnd is how a watch, or the reading of its lines, ended.
type watchEnd struct {
	reason endReason
	detail string
}

// watch keeps one watch until it ends. It reports whether another one should begin at once.
func (w *Watcher) watch() (again bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if target := *w.target.Load(); target != w.addr {
		// Another service may number its versions differently, so ours means nothing to it.
		w.addr, w.version, w.needComplete = target, 0, true
	}
	query := "?watch=1&after=" + strconv.FormatUint(w.version, 10)
	if w.needComplete {
		query = ""
	}
	lines, began := make(chan []byte), time.Now()
	ended := make(chan watchEnd, 1)
	go func() { ended <- w.read(ctx, query, lines) }()
	end, updates := w.receive(lines, ended)
	cancel()
	for open := true; open; { // the reader may be sending one more line
		select {
		case <-lines:
		case <-ended:
			open = false
		}
	}
	slog.Info("discovery_conn_end", "addr", w.addr, "reason", string(end.reason), "seq", w.version, "updates", updates,
		"age_ms", time.Since(began).Milliseconds(), "detail", end.detail)
	switch end.reason {
	case endReplaced, endMoved:
		return true
	case endListed:
		if !w.needComplete {
			return true
		}
	case endStopped:
		return false
	}
	w.handler.WatchFailed()
	return false
}

// receive hands the lists of a watch over until it ends. The end that it takes from ended it puts back.
func (w *Watcher) receive(lines <-chan []byte, ended chan watchEnd) (end watchEnd, updates int) {
	silence := time.NewTimer(watchTimeout)
	defer silence.Stop()
	for {
		select {
		case line := <-lines:
			silence.Reset(watchTimeout)
			if len(line) == 0 {
				continue
			}
			if err := w.update(line); err != nil {
				return watchEnd{endMalformed, err.Error()}, updates
			}
			updates++
		case end := <-ended:
			ended <- end
			return end, updates
		case <-silence.C:
			return watchEnd{reason: endSilent}, updates
		case <-w.requests:
			if *w.target.Load() != w.addr {
				return watchEnd{reason: endMoved}, updates
			}
			return watchEnd{reason: endReplaced}, updates
		case <-w.stop:
			return watchEnd{reason: endStopped}, updates
		}
	}
}

// update parses a list and hands it over.
func (w *Watcher) update(line []byte) error {
	list, err := Parse(line, w.accept)
	if err != nil {
		return err
	}
	if w.needComplete && !list.Complete {
		return errNoBase
	}
	w.version, w.needComplete = list.Version, false
	w.handler.ListReceived(list)
	return nil
}
