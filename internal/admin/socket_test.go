package admin

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// socketDir returns a temporary directory whose path is short enough for a UNIX socket.
func socketDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "admin")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// listenAndDial listens with submit as the handler of requests and returns a client that is connected to the socket.
func listenAndDial(t *testing.T, submit func(Request) bool) *Client {
	t.Helper()
	path := filepath.Join(socketDir(t), "s")
	s, err := Listen(path, submit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func TestDo(t *testing.T) {
	c := listenAndDial(t, func(r Request) bool {
		switch r.Verb {
		case Show:
			r.Reply <- Response{State: testState()}
		case Pin:
			r.Reply <- Response{Error: "there is no level " + r.Level}
		}
		return r.Verb != Unpin // Unpin: the gatherer has ended
	})
	if res, err := c.Do(Request{Verb: Show}); err != nil || res.State == nil || res.State.Level != "trimmed" {
		t.Errorf("show: %+v, %v", res, err)
	}
	if _, err := c.Do(Request{Verb: Pin, Level: "x", Seconds: 1}); err == nil || err.Error() != "there is no level x" {
		t.Errorf("pin: %v", err)
	}
	for _, verb := range []Verb{"stop", Unwatch} {
		if _, err := c.Do(Request{Verb: verb}); err == nil || !strings.Contains(err.Error(), "is not known") {
			t.Errorf("%s: %v", verb, err)
		}
	}
	if _, err := c.Do(Request{Verb: Unpin}); err == nil {
		t.Error("got a response after the gatherer has ended")
	}
}

func TestMalformedRequestIsAnError(t *testing.T) {
	c := listenAndDial(t, func(Request) bool { return true })
	if _, err := c.conn.Write([]byte("show\n")); err != nil {
		t.Fatal(err)
	}
	var res Response
	if err := c.receive(&res); err != nil || !strings.Contains(res.Error, "JSON") {
		t.Errorf("%+v, %v", res, err)
	}
}

func TestWatchStreamsAndRecordsStates(t *testing.T) {
	unwatched := make(chan chan<- []byte, 1)
	watched := make(chan chan<- []byte, 1)
	c := listenAndDial(t, func(r Request) bool {
		switch r.Verb {
		case Watch:
			line, err := json.Marshal(testState())
			if err != nil {
				t.Error(err)
			}
			r.Stream <- line
			watched <- r.Stream
		case Unwatch:
			unwatched <- r.Stream
		}
		return true
	})
	if err := c.Watch(); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	state, err := Recorder{Source: c, Out: &out}.Next()
	if err != nil || state.Level != "trimmed" {
		t.Errorf("state %+v, %v", state, err)
	}
	if want := `{"at":"2026-01-05T09:00:00Z","signals":{"lost":0.25}}` + "\n"; out.String() != want {
		t.Errorf("recorded %s, want %s", out.String(), want)
	}
	c.Close()
	if <-unwatched != <-watched {
		t.Error("Unwatch was sent for another stream than Watch")
	}
}

func TestListenReplacesOnlyStaleSockets(t *testing.T) {
	dir := socketDir(t)
	path, file := filepath.Join(dir, "s"), filepath.Join(dir, "file")
	s, err := Listen(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	if _, err := Listen(path, nil); err == nil || !strings.Contains(err.Error(), "another process listens there") {
		t.Errorf("a second socket: %v", err)
	}
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(file, nil); err == nil || !strings.Contains(err.Error(), "something else is there") {
		t.Errorf("a file in place of a socket: %v", err)
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	c := listenAndDial(t, func(r Request) bool { r.Reply <- Response{}; return true })
	path := c.conn.RemoteAddr().String()
	for range maxConns - 1 {
		other, err := Dial(path)
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		if _, err := other.Do(Request{Verb: Show}); err != nil {
			t.Fatal(err)
		}
	}
	excess, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	defer excess.Close()
	if _, err := excess.Do(Request{Verb: Show}); err == nil {
		t.Errorf("connection %d is served, want it closed", maxConns+1)
	}
	if _, err := c.Do(Request{Verb: Show}); err != nil {
		t.Error(err)
	}
}
