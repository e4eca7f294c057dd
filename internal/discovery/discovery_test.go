package discovery

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

type recorder struct {
	lists  chan ServerList
	failed chan struct{}
}

func (s recorder) ListReceived(l ServerList) { s.lists <- l }
func (s recorder) WatchFailed()              { s.failed <- struct{}{} }

func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(20 * time.Second):
		t.Fatal("what was waited for never came")
	}
	return v
}

func startWatcher(t *testing.T, keep bool, h http.HandlerFunc) (*Watcher, recorder) {
	srv := httptest.NewServer(h)
	sink := recorder{make(chan ServerList, 10), make(chan struct{}, 10)}
	a := Start(strings.TrimPrefix(srv.URL, "http://"), 7, time.Second, nil, sink, keep)
	t.Cleanup(func() {
		a.Stop()
		srv.CloseClientConnections()
		srv.Close()
	})
	return a, sink
}

const entry = `{"host":"s-1","dial":"127.0.0.1:9","site":"a","class":"m2","block":3,"health":"up","share":1.0,"born_ms":5}`

// A watch that goes silent without a word must not stand for one on which nothing changes.
func TestSilentWatchTimesOut(t *testing.T) {
	a, sink := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"seq":8,"whole":true,"hosts":[%s]}`+"\n\n", entry)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	a.Subscribe()
	if l := receive(t, sink.lists); l.Version != 8 || !l.Complete || len(l.Servers) != 1 || l.Servers[0] != (Server{"s-1", "127.0.0.1:9", "a", 3, Up, 5}) {
		t.Errorf("got %+v", l)
	}
	receive(t, sink.failed)
}

func TestFailedWatchResumesAfterLastVersion(t *testing.T) {
	asked := make(chan string, 10)
	answers := []string{"503", `{"seq":9,"whole":false,"hosts":[]}` + "\n" + `{"seq":`, "\n[]\n", `{"whole":true}` + "\n", ""}
	a, sink := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		text := answers[0]
		answers = answers[1:]
		if text == "503" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, text)
	})
	for range len(answers) {
		a.Subscribe()
		receive(t, sink.failed)
	}
	for _, after := range []string{"7", "7", "9", "9", "9"} {
		if q := receive(t, asked); q != "watch=1&after="+after {
			t.Errorf("asked %s, want after=%s", q, after)
		}
	}
	if len(sink.lists) != 1 || len(sink.failed) != 0 {
		t.Errorf("%d lists and %d failures more, want one and none", len(sink.lists), len(sink.failed))
	}
}

// Changes alone say nothing to what another service listed: the whole is asked for before they are watched.
func TestAddressChangeRequestsCompleteList(t *testing.T) {
	asked := make(chan string, 10)
	a, sink := startWatcher(t, false, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"seq":8,"whole":true,"hosts":[]}`+"\n")
	})
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		fmt.Fprintf(w, `{"seq":2,"whole":%t,"hosts":[%s]}`+"\n", r.URL.RawQuery == "", entry)
	}))
	t.Cleanup(moved.Close)
	a.Move(strings.TrimPrefix(moved.URL, "http://"))
	if l := receive(t, sink.lists); l.Version != 2 || !l.Complete || len(l.Servers) != 1 {
		t.Errorf("got %+v", l)
	}
	for _, want := range []string{"/api/targets", "/api/targets?watch=1&after=2"} {
		if q := receive(t, asked); q != want {
			t.Errorf("asked %s, want %s", q, want)
		}
	}
	receive(t, sink.failed) // the last watch ended
}

// Where the list comes unasked, the actor keeps a watch by itself.
func TestWatchIsRenewed(t *testing.T) {
	_, sink := startWatcher(t, true, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"seq":8,"whole":true,"hosts":[%s]}`+"\n", entry)
	})
	for range 2 {
		receive(t, sink.lists)
		receive(t, sink.failed)
	}
}

func TestInvalidEntriesAreSkipped(t *testing.T) {
	bad := []string{`7`, `{}`, strings.Replace(entry, "s-1", "", 1), strings.Replace(entry, "up", "odd", 1), strings.Replace(entry, "127.0.0.1:9", "nowhere", 1),
		strings.Replace(entry, `"born_ms":5`, `"born_ms":-5`, 1), strings.Replace(entry, `"block":3`, `"block":"3"`, 1), strings.Replace(entry, `"block":3`, `"block":4`, 1)}
	l, err := Parse([]byte(`{"seq":1,"whole":true,"hosts":[`+strings.Join(append(bad, entry), ",")+`]}`), func(e Server) error {
		if e.Cell > 3 {
			return fmt.Errorf("out of range")
		}
		return nil
	})
	if err != nil || len(l.Servers) != 1 || l.Servers[0].Host != "s-1" {
		t.Errorf("got %+v, %v", l, err)
	}
}
