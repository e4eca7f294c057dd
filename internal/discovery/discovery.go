// Package discovery keeps a watch on the server list. An actor with a mailbox owns the watch; when to ask is
// decided by whoever calls Subscribe.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Health words of an entry.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// Server is one shard server, as listed. Fields that decisions do not need are left out.
type Server struct {
	Host          string  `json:"host"`
	Address       string  `json:"dial"`
	Zone          string  `json:"site"`
	Cell          int     `json:"block"`
	Health        string  `json:"health"`
	StartedMillis float64 `json:"born_ms"` // Unix time of its latest start; 0 = long ago
}

// ServerList is a whole list or the entries that changed.
type ServerList struct {
	Version  uint64   `json:"seq"`
	Complete bool     `json:"whole"`
	Servers  []Server `json:"hosts"`
}

// Parse reads a list. Entries that do not fit are logged and left out; fits says what else an entry must keep.
func Parse(raw []byte, accept func(Server) error) (ServerList, error) {
	var l struct {
		Seq   *uint64           `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return ServerList{}, err
	}
	if l.Seq == nil {
		return ServerList{}, errors.New("no seq")
	}
	out := ServerList{Version: *l.Seq, Complete: l.Whole}
	for _, rawEntry := range l.Hosts {
		var e Server
		err := json.Unmarshal(rawEntry, &e)
		if err == nil {
			err = validate(e)
		}
		if err == nil && accept != nil {
			err = accept(e)
		}
		if err != nil {
			slog.Warn("list_entry_left_out", "seq", out.Version, "error", err, "entry", string(rawEntry[:min(len(rawEntry), 200)]))
			continue
		}
		out.Servers = append(out.Servers, e)
	}
	return out, nil
}

func validate(e Server) error {
	switch e.Health {
	case Up, Draining:
		if _, _, err := net.SplitHostPort(e.Address); err != nil {
			return fmt.Errorf("dial: %w", err)
		}
	case Removed:
	default:
		return fmt.Errorf("health %.20q is not known", e.Health)
	}
	if e.Host == "" {
		return errors.New("no host")
	}
	if !(e.StartedMillis >= 0 && e.StartedMillis < 1e15) {
		return fmt.Errorf("born_ms %v is out of range", e.StartedMillis)
	}
	return nil
}

// Handler takes what discovery tells, in order. It may block for a moment.
type Handler interface {
	ListReceived(ServerList)
	WatchFailed() // a call failed or the watch broke
}

// heartbeatInterval is how often a watch has a line when nothing changes. Half as much again without one, and it is
// taken for dead: what it would have told counts as told soon after.
const (
	heartbeatInterval = 2 * time.Second
	watchTimeout      = heartbeatInterval + heartbeatInterval/2
)

const maxLineBytes = 4 << 20 // of one object, for a fleet of some ten thousand

// Why a connection to discovery ended: the reason codes of its log line.
const (
	endClosed    = "discovery_closed" // it ended the watch
	endStatus    = "bad_status"       // it answered, but not 200
	endMalformed = "bad_form"         // a line did not parse
	endSilent    = "silent"           // no line came when one was due
	endReset     = "reset"
	endConnect   = "connect_failed"
	endReplaced  = "replaced" // ours: a new watch was asked for
	endMoved     = "moved"    // ours: discovery has another address now
	endListed    = "listed"   // it told the whole list, asked for alone; a watch follows
	endStopped   = "stopped"  // ours: the program ends
)

// Watcher is the list's actor.
type Watcher struct {
	target       atomic.Pointer[string] // the address in force
	addr         string                 // that of the present watch
	version      uint64                 // the version held
	needComplete bool                   // what is held was told at another address: the whole list is asked for first
	accept       func(Server) error
	handler      Handler
	client       *http.Client
	resubscribe  bool
	requests     chan struct{}
	stop         chan struct{}
	done         chan struct{}
}

// Start starts the actor. It asks for nothing until Subscribe, unless it is to keep a watch by itself, as a
// deployment has it whose list comes unasked.
func Start(addr string, version uint64, connectTimeout time.Duration, accept func(Server) error, sink Handler, resubscribe bool) *Watcher {
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	a := &Watcher{version: version, accept: accept, handler: sink, requests: make(chan struct{}, 1), resubscribe: resubscribe,
		stop: make(chan struct{}), done: make(chan struct{}),
		client: &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true,
			DisableKeepAlives: true, ReadBufferSize: 4 << 10, WriteBufferSize: 1 << 10}}}
	a.addr = addr
	a.target.Store(&addr)
	if resubscribe {
		a.Subscribe()
	}
	go a.run()
	return a
}

// Move says where discovery is from now on. The watch on the old address ends and one on the new begins at once.
func (a *Watcher) Move(addr string) {
	a.target.Store(&addr)
	a.Subscribe()
}

// Subscribe asks for a new watch. One asked for and not yet begun is not asked for twice.
func (a *Watcher) Subscribe() {
	select {
	case a.requests <- struct{}{}:
	default:
	}
}

// Stop ends the watch and the actor.
func (a *Watcher) Stop() {
	close(a.stop)
	<-a.done
}

func (a *Watcher) run() {
	defer close(a.done)
	for {
		select {
		case <-a.stop:
			return
		case <-a.requests:
			for a.watch() {
			}
			if a.resubscribe {
				time.AfterFunc(heartbeatInterval, a.Subscribe)
			}
		}
	}
}

// watch keeps one watch until it ends. It returns true when it was replaced by a new call.
func (a *Watcher) watch() (replaced bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if to := *a.target.Load(); to != a.addr {
		// Another service may count its versions in its own way: what is held says nothing to it.
		a.addr, a.version, a.needComplete = to, 0, true
	}
	lines, began := make(chan []byte), time.Now()
	ended := make(chan watchEnd, 1)
	query := "?watch=1&after=" + strconv.FormatUint(a.version, 10)
	if a.needComplete {
		query = ""
	}
	go func() { ended <- a.read(ctx, query, lines) }()
	silence := time.NewTimer(watchTimeout)
	defer silence.Stop()
	reason, detail, told := "", "", 0
	for reason == "" {
		select {
		case line := <-lines:
			silence.Reset(watchTimeout)
			if len(line) == 0 {
				continue
			}
			l, err := Parse(line, a.accept)
			if err != nil {
				reason, detail = endMalformed, err.Error()
				break
			}
			if a.needComplete && !l.Complete {
				reason, detail = endMalformed, "changes to a list that was never told whole"
				break
			}
			a.version, a.needComplete = l.Version, false
			told++
			a.handler.ListReceived(l)
		case e := <-ended:
			reason, detail, replaced = e.reason, e.detail, e.reason == endListed && !a.needComplete
			ended <- e
		case <-silence.C:
			reason = endSilent
		case <-a.requests:
			reason, replaced = endReplaced, true
			if *a.target.Load() != a.addr {
				reason = endMoved
			}
		case <-a.stop:
			reason = endStopped
		}
	}
	cancel()
	for open := true; open; { // the reader may hold a line more
		select {
		case <-lines:
		case <-ended:
			open = false
		}
	}
	slog.Info("discovery_conn_end", "addr", a.addr, "reason", reason, "seq", a.version, "told", told, "age_ms",
		time.Since(began).Milliseconds(), "detail", detail)
	if !replaced && reason != endStopped {
		a.handler.WatchFailed()
	}
	return replaced
}

type watchEnd struct{ reason, detail string }

// read calls discovery and passes on the lines of the answer, or all of it as one where no watch was asked for.
func (a *Watcher) read(ctx context.Context, query string, lines chan<- []byte) watchEnd {
	url := "http://" + a.addr + "/api/targets" + query
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return watchEnd{endConnect, err.Error()}
	}
	res, err := a.client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return watchEnd{endConnect, err.Error()}
		}
		return watchEnd{endReset, err.Error()}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return watchEnd{endStatus, res.Status}
	}
	r := bufio.NewReaderSize(res.Body, 4<<10)
	if query == "" {
		all, err := io.ReadAll(io.LimitReader(r, maxLineBytes))
		if err != nil {
			return watchEnd{endReset, err.Error()}
		}
		select {
		case lines <- all:
		case <-ctx.Done():
		}
		return watchEnd{endListed, ""}
	}
	for {
		line, err := readLine(r)
		switch {
		case errors.Is(err, io.EOF):
			return watchEnd{endClosed, ""}
		case errors.Is(err, errLineTooLong):
			return watchEnd{endMalformed, err.Error()}
		case err != nil:
			return watchEnd{endReset, err.Error()}
		}
		select {
		case lines <- bytes.TrimSpace(line):
		case <-ctx.Done():
			return watchEnd{endReplaced, ""}
		}
	}
}

var errLineTooLong = errors.New("a line is too long")

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		piece, err := r.ReadSlice('\n')
		line = append(line, piece...)
		if len(line) > maxLineBytes {
			return nil, errLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
