package dataplane

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The tests in this file run the complete data plane of one gateway between clients and servers that violate the protocol. The behaviour of
// servers, connections and clients is generated before the run; the responses received and the requests executed are checked after it.

// serverStep is the behaviour of a server for one request.
type serverStep struct {
	Kind             string        // of the response, one of responseKinds
	Delay            time.Duration // before the server responds
	Before           string        // sent before the response: "" or one of sentBefore
	SentPercent      int           // percentage of the response's bytes that is sent
	Pause            time.Duration // within the response
	PauseAt          int           // percentage of the response's bytes sent before the pause
	After            string        // sent after the response: "" or one of sentAfter
	ReuseHeader      string        // header lines that control connection reuse
	AnswerBeforeBody bool          // the server responds before it reads the body
	IdleTimeout      time.Duration // idle time after which the server closes the connection, 0 = never
}

// clientStep is one request of a client.
type clientStep struct {
	Path       string
	Body       int           // bytes
	Pipelined  bool          // the request is written together with the next one
	CloseAfter time.Duration // time after which the client closes the connection, 0 = its timeout
	TruncateAt int           // percentage of the bytes written together after which the client closes the connection, 0 = never
	Pause      time.Duration // before the request
	Deadline   time.Duration // stated in the request
}

// writeStep is the behaviour of one write to a server.
type writeStep struct {
	Fails bool
	At    int           // bytes written before it fails; negative: counted from the end
	Slow  time.Duration // pause within a large write
}

// scenario is the behaviour of all servers, connections and clients. Steps are used cyclically.
type scenario struct {
	Servers     int // of each service
	ServerSteps []serverStep
	Writes      []writeStep
	Dials       []time.Duration // duration of each dial
	Clients     [][]clientStep
	MemoryMB    float64       // the gateway's memory limit; 0 = none
	KillAfter   time.Duration // time after which the gateway is killed and restarted; 0 = never
}

// drawMillis draws one of the given durations in milliseconds.
func drawMillis(t *rapid.T, label string, millis ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(millis).Draw(t, label)) * time.Millisecond
}

// drawMillisRange draws a duration from least to most milliseconds.
func drawMillisRange(t *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

// oneIn draws true with a probability of 1 in n.
func oneIn(t *rapid.T, label string, n int) bool { return rapid.IntRange(0, n-1).Draw(t, label) == 0 }

// Kinds of responses, and of data that servers send before and after them. Repeated entries are drawn more often.
var (
	responseKinds = []string{"complete", "chunked", "503 marked", "503 marked", "503 marked", "429 marked", "400 marked", "421",
		"500", "503", "408", "429", "404", "no seal", "other", "no id", "000", "silent", "ends unrun", "ends run"}
	sentBefore = []string{"100", "103", "103 length", "102 own", "503 without id", "408 without id", "other", "garbage", "late other"}
	sentAfter  = []string{"copy", "copy late", "copy next", "copy next", "copy next", "copy next but one", "garbage", "line end", "other next"}
)

var serverStepGenerator = rapid.Custom(func(t *rapid.T) serverStep {
	s := serverStep{Kind: "complete", SentPercent: 100, Delay: drawMillisRange(t, "delay", 0, 30)}
	if !oneIn(t, "regular", 3) {
		s.Kind = rapid.SampledFrom(responseKinds).Draw(t, "kind")
	}
	if oneIn(t, "before", 5) {
		s.Before = rapid.SampledFrom(sentBefore).Draw(t, "sent before")
	}
	if oneIn(t, "after", 4) {
		s.After = rapid.SampledFrom(sentAfter).Draw(t, "sent after")
	}
	if oneIn(t, "cut", 7) {
		s.SentPercent = rapid.IntRange(0, 99).Draw(t, "cut at")
	}
	if oneIn(t, "pause", 5) {
		s.Pause = drawMillis(t, "pause for", 1, 40, 700)
		s.PauseAt = rapid.IntRange(0, 100).Draw(t, "pause at")
	}
	if oneIn(t, "keep", 7) {
		s.ReuseHeader = rapid.SampledFrom([]string{"Connection: close\r\n", "Keep-Alive: timeout=1\r\n", "Keep-Alive: timeout=0\r\n"}).Draw(t, "kept")
	}
	s.AnswerBeforeBody = oneIn(t, "answer before body", 4)
	if oneIn(t, "idle end", 5) {
		s.IdleTimeout = drawMillisRange(t, "idle end after", 0, 20)
	}
	return s
})

var clientStepGenerator = rapid.Custom(func(t *rapid.T) clientStep {
	c := clientStep{
		Path:     rapid.SampledFrom([]string{"/once/x", "/once/y", "/one/x", "/one/head", "/all/x", "/all/head"}).Draw(t, "path"),
		Deadline: drawMillis(t, "deadline", 50, 300, 900),
		Pause:    drawMillis(t, "client's pause", 0, 0, 3, 20, 150),
	}
	if strings.HasPrefix(c.Path, nonRetryablePath) {
		c.Body = rapid.SampledFrom([]int{0, 10, 9000, 60000}).Draw(t, "body")
	}
	c.Pipelined = oneIn(t, "pipelined", 4)
	if oneIn(t, "gives up", 10) {
		c.CloseAfter = drawMillisRange(t, "gives up after", 1, 60)
	}
	if oneIn(t, "truncated", 12) {
		c.TruncateAt = rapid.IntRange(1, 99).Draw(t, "truncated at")
	}
	return c
})

var writeStepGenerator = rapid.Custom(func(t *rapid.T) writeStep {
	w := writeStep{}
	if oneIn(t, "write fails", 6) {
		w.Fails, w.At = true, rapid.SampledFrom([]int{0, 1, 40, 300, 9000, 20000, -1, -5}).Draw(t, "fails at")
	}
	if oneIn(t, "slow", 6) {
		w.Slow = drawMillis(t, "slow for", 1, 30, 400)
	}
	return w
})

var scenarioGenerator = rapid.Custom(func(t *rapid.T) scenario {
	s := scenario{
		Servers:     rapid.SampledFrom([]int{1, 1, 2}).Draw(t, "servers"),
		ServerSteps: rapid.SliceOfN(serverStepGenerator, 1, 12).Draw(t, "script"),
		Writes:      rapid.SliceOfN(writeStepGenerator, 1, 8).Draw(t, "writes"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "dials") {
		s.Dials = append(s.Dials, drawMillis(t, "dial takes", 0, 0, 0, 20, 120))
	}
	for range rapid.IntRange(1, 3).Draw(t, "clients") {
		s.Clients = append(s.Clients, rapid.SliceOfN(clientStepGenerator, 1, 8).Draw(t, "requests"))
	}
	if oneIn(t, "killed", 5) {
		s.KillAfter = drawMillisRange(t, "killed after", 1, 200)
	}
	return s
})

// TestResponsesReachTheirCallers runs generated scenarios. It checks that each response reaches either its own caller or no caller, that
// servers receive only what clients sent, and that a request that must not be repeated is neither executed twice nor reported as not
// executed after it was.
func TestResponsesReachTheirCallers(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		b := runScenario(t, scenarioGenerator.Draw(rt, "scenario"))
		if b.violation != "" {
			rt.Fatal(b.violation)
		}
		served += b.succeeded
	})
	if !t.Failed() && served == 0 {
		t.Error("no request was served in any scenario")
	}
}

// The second of two requests that must not be repeated is written to a connection that fails. If no byte of it was written, it is retried on
// another connection and served. If one byte was written, it is not sent again, and the response does not claim that it was not executed.
func TestUnsentRequestIsRetriedOnNextConnection(t *testing.T) {
	for _, test := range []struct {
		name         string
		bytesWritten int
		want         int
	}{
		{"no byte taken", 0, http.StatusOK},
		{"one byte taken", 1, http.StatusGatewayTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := clientStep{Path: "/once/x", Deadline: 300 * time.Millisecond, Pause: 10 * time.Millisecond}
			b := runScenario(t, scenario{
				Servers:     1,
				ServerSteps: []serverStep{{Kind: "complete", SentPercent: 100}},
				Writes:      []writeStep{{}, {Fails: true, At: test.bytesWritten}, {}},
				Dials:       []time.Duration{0},
				Clients:     [][]clientStep{{step, step}},
			})
			if b.violation != "" {
				t.Error(b.violation)
			}
			if got := b.statuses["0-0"]; got != http.StatusOK {
				t.Errorf("first request: status %d, want %d", got, http.StatusOK)
			}
			if got := b.statuses["0-1"]; got != test.want {
				t.Errorf("second request: status %d, want %d", got, test.want)
			}
		})
	}
}
