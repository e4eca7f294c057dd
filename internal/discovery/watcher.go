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

// The discovery service sends a line at least every heartbeatInterval, an empty one if nothing has changed. A watch on which
// no line is received for watchTimeout has failed.
const (
	heartbeatInterval = 2 * time.Second
	watchTimeout      = heartbeatInterval + heartbeatInterval/2
)

// Sizes of the connection's buffers, in bytes.
const (
	readBufferSize  = 4 << 10
	writeBufferSize = 1 << 10
)

// endReason is the reason code, in the log, for the end of a connection to the discovery service.
type endReason string

const (
	endClosed    endReason = "discovery_closed" // the service ended the watch
	endStatus    endReason = "bad_status"       // the service answered with a status other than 200
	endMalformed endReason = "bad_form"         // a line is invalid or too long
	endSilent    endReason = "silent"           // no line was received for watchTimeout
	endReset     endReason = "reset"            // the connection broke
	endConnect   endReason = "connect_failed"   // the connection could not be opened
	endReplaced  endReason = "replaced"         // ended here: a new watch was requested
	endMoved     endReason = "moved"            // ended here: the service has another address
	endListed    endReason = "listed"           // the complete list was sent without a watch; a watch follows
	endStopped   endReason = "stopped"          // ended here: the watcher was stopped
)

// errNoCompleteList reports that a new discovery service sent changes before a complete list.
var errNoCompleteList = errors.New("received changes before a complete list")

// Handler receives the updates of a Watcher, in order. Its methods are called from the watcher's goroutine and may block
// only briefly.
type Handler interface {
	// ListReceived is called for each list, complete or of changes.
	ListReceived(ServerList)
	// WatchFailed is called when a request has failed or a watch has ended.
	WatchFailed()
}

// Watcher watches the server list in its own goroutine. Its exported methods may be called from any goroutine.
type Watcher struct {
	target      atomic.Pointer[string] // address that the next watch uses
	accept      func(Server) error
	handler     Handler
	client      *http.Client
	resubscribe bool
	requests    chan struct{}
	stop        chan struct{}
	done        chan struct{}

	// The following fields belong to the watcher's goroutine.
	addr         string // address of the current watch
	version      uint64 // version of the last list
	needComplete bool   // the last list came from another service: a complete list is requested before a watch
}

// Start starts a watcher of the discovery service at an address. version is the version of the list that the caller already
// has. Without resubscribe the watcher requests nothing until Subscribe is called; with it, it subscribes at once and,
// heartbeatInterval after each watch has ended, again. The accept function is passed to Parse.
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

// ChangeAddress changes the address of the discovery service. It ends the watch of the old address and begins one of the new
// address.
func (w *Watcher) ChangeAddress(addr string) {
	w.target.Store(&addr)
	w.Subscribe()
}

// Subscribe requests a new watch, which replaces the current one. It does nothing if a requested watch has not begun yet.
func (w *Watcher) Subscribe() {
	select {
	case w.requests <- struct{}{}:
	default:
	}
}

// Stop ends the watch and waits until the watcher's goroutine has ended.
func (w *Watcher) Stop() {
	close(w.stop)
	<-w.done
}

// run runs the requested watches until the watcher is stopped.
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

// watchEnd describes how a watch, or reading its lines, ended.
type watchEnd struct {
	reason endReason
	detail string
}

// watch runs one watch until it ends. It reports whether another one should begin at once.
func (w *Watcher) watch() (again bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if target := *w.target.Load(); target != w.addr {
		// Another service may number its versions differently, so the last version is not valid for it.
		w.addr, w.version, w.needComplete = target, 0, true
	}
	query := "?watch=1&after=" + strconv.FormatUint(w.version, 10)
	if w.needComplete {
		query = ""
	}
	lines, startedAt := make(chan []byte), time.Now()
	ended := make(chan watchEnd, 1)
	go func() { ended <- w.read(ctx, query, lines) }()
	end, updates := w.receive(lines, ended)
	cancel()
	for reading := true; reading; { // the reader may be sending one more line
		select {
		case <-lines:
		case <-ended:
			reading = false
		}
	}
	slog.Info("discovery_conn_end", "addr", w.addr, "reason", string(end.reason), "seq", w.version, "updates", updates,
		"age_ms", time.Since(startedAt).Milliseconds(), "detail", end.detail)
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

// receive passes the lists of a watch to the handler until the watch ends. If it receives the reader's end from ended, it
// sends it back to the channel, as the caller also waits for it there.
func (w *Watcher) receive(lines <-chan []byte, ended chan watchEnd) (end watchEnd, updates int) {
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for {
		select {
		case line := <-lines:
			timeout.Reset(watchTimeout)
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
		case <-timeout.C:
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

// update parses a list and passes it to the handler.
func (w *Watcher) update(line []byte) error {
	list, err := Parse(line, w.accept)
	if err != nil {
		return err
	}
	if w.needComplete && !list.Complete {
		return errNoCompleteList
	}
	w.version, w.needComplete = list.Version, false
	w.handler.ListReceived(list)
	return nil
}
