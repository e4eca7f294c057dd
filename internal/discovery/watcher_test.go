package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// testTimeout limits how long a test waits for an event.
const testTimeout = 20 * time.Second

// recorder is a Handler that sends its calls to channels.
type recorder struct {
	lists  chan ServerList
	failed chan struct{}
}

func (r recorder) ListReceived(l ServerList) { r.lists <- l }
func (r recorder) WatchFailed()              { r.failed <- struct{}{} }

// receive returns the next value of a channel, or fails the test after testTimeout.
func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("timeout")
	}
	return v
}

// startWatcher starts a discovery service with a handler, and a watcher of it that has version 7 of its list.
func startWatcher(t *testing.T, resubscribe bool, h http.HandlerFunc) (*Watcher, recorder) {
	t.Helper()
	srv := httptest.NewServer(h)
	handler := recorder{make(chan ServerList, 10), make(chan struct{}, 10)}
	w := Start(strings.TrimPrefix(srv.URL, "http://"), 7, time.Second, nil, handler, resubscribe)
	t.Cleanup(func() {
		w.Stop()
		srv.CloseClientConnections()
		srv.Close()
	})
	return w, handler
}

const entry = `{"host":"s-1","dial":"127.0.0.1:9","site":"a","class":"m2","block":3,"health":"up","share":1.0,"born_ms":5}`

// A watch without heartbeats must time out: it must not be mistaken for one on which nothing changes.
func TestSilentWatchTimesOut(t *testing.T) {
	w, handler := startWatcher(t, false, func(res http.ResponseWriter, req *http.Request) {
		fmt.Fprintf(res, `{"seq":8,"whole":true,"hosts":[%s]}`+"\n\n", entry)
		res.(http.Flusher).Flush()
		<-req.Context().Done()
	})
	w.Subscribe()
	if l := receive(t, handler.lists); l.Version != 8 || !l.Complete || len(l.Servers) != 1 ||
		l.Servers[0] != (Server{"s-1", "127.0.0.1:9", "a", 3, Up, 5}) {
		t.Errorf("got %+v", l)
	}
	receive(t, handler.failed)
}

func TestFailedWatchResumesAfterLastVersion(t *testing.T) {
	queries := make(chan string, 10)
	answers := []string{"503", `{"seq":9,"whole":false,"hosts":[]}` + "\n" + `{"seq":`, "\n[]\n", `{"whole":true}` + "\n", ""}
	w, handler := startWatcher(t, false, func(res http.ResponseWriter, req *http.Request) {
		queries <- req.URL.RawQuery
		text := answers[0]
		answers = answers[1:]
		if text == "503" {
			res.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(res, text)
	})
	for range len(answers) {
		w.Subscribe()
		receive(t, handler.failed)
	}
	for _, after := range []string{"7", "7", "9", "9", "9"} {
		if q := receive(t, queries); q != "watch=1&after="+after {
			t.Errorf("query %s, want after=%s", q, after)
		}
	}
	if len(handler.lists) != 1 || len(handler.failed) != 0 {
		t.Errorf("%d more lists and %d more failures, want 1 and 0", len(handler.lists), len(handler.failed))
	}
}

// Changes can only be applied to a complete list of the same service, so after a change of address that is requested
// first.
func TestAddressChangeRequestsCompleteList(t *testing.T) {
	queries := make(chan string, 10)
	w, handler := startWatcher(t, false, func(res http.ResponseWriter, req *http.Request) {
		fmt.Fprintf(res, `{"seq":8,"whole":true,"hosts":[]}`+"\n")
	})
	moved := httptest.NewServer(http.HandlerFunc(func(res http.ResponseWriter, req *http.Request) {
		queries <- req.URL.String()
		fmt.Fprintf(res, `{"seq":2,"whole":%t,"hosts":[%s]}`+"\n", req.URL.RawQuery == "", entry)
	}))
	t.Cleanup(moved.Close)
	w.ChangeAddress(strings.TrimPrefix(moved.URL, "http://"))
	if l := receive(t, handler.lists); l.Version != 2 || !l.Complete || len(l.Servers) != 1 {
		t.Errorf("got %+v", l)
	}
	for _, want := range []string{"/api/targets", "/api/targets?watch=1&after=2"} {
		if q := receive(t, queries); q != want {
			t.Errorf("query %s, want %s", q, want)
		}
	}
	receive(t, handler.failed) // the second watch ended
}

func TestWatchIsRenewed(t *testing.T) {
	_, handler := startWatcher(t, true, func(res http.ResponseWriter, req *http.Request) {
		fmt.Fprintf(res, `{"seq":8,"whole":true,"hosts":[%s]}`+"\n", entry)
	})
	for range 2 {
		receive(t, handler.lists)
		receive(t, handler.failed)
	}
}

func TestParseErrors(t *testing.T) {
	if _, err := Parse([]byte(`{"whole":true}`), nil); !errors.Is(err, ErrNoVersion) {
		t.Errorf("a list without a version: %v, want ErrNoVersion", err)
	}
	var syntax *json.SyntaxError
	if _, err := Parse([]byte(`{"seq":`), nil); !errors.As(err, &syntax) {
		t.Errorf("a truncated list: %v, want a syntax error", err)
	}
	if err := (Server{Health: Removed}).validate(); !errors.Is(err, ErrNoHost) {
		t.Errorf("an entry without a host: %v, want ErrNoHost", err)
	}
}

func TestInvalidEntriesAreSkipped(t *testing.T) {
	invalid := []string{`7`, `{}`, strings.Replace(entry, "s-1", "", 1), strings.Replace(entry, "up", "odd", 1), strings.Replace(entry, "127.0.0.1:9", "nowhere", 1),
		strings.Replace(entry, `"born_ms":5`, `"born_ms":-5`, 1), strings.Replace(entry, `"block":3`, `"block":"3"`, 1), strings.Replace(entry, `"block":3`, `"block":4`, 1)}
	list, err := Parse([]byte(`{"seq":1,"whole":true,"hosts":[`+strings.Join(append(invalid, entry), ",")+`]}`), func(s Server) error {
		if s.Cell > 3 {
			return fmt.Errorf("out of range")
		}
		return nil
	})
	if err != nil || len(list.Servers) != 1 || list.Servers[0].Host != "s-1" {
		t.Errorf("got %+v, %v", list, err)
	}
}
