package dataplane

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// caseGenerator draws the case of each letter in the names of a message's header fields.
type caseGenerator struct {
	t     *rapid.T
	label string
}

// name returns the name of a field with letters in drawn case.
func (g caseGenerator) name(name string) string {
	upper := rapid.SliceOfN(rapid.Bool(), len(name), len(name)).Draw(g.t, g.label+" "+name)
	var b strings.Builder
	for i, letter := range name {
		if upper[i] {
			b.WriteString(strings.ToUpper(string(letter)))
		} else {
			b.WriteString(strings.ToLower(string(letter)))
		}
	}
	return b.String()
}

// line returns a header line.
func (g caseGenerator) line(name string, value any) string {
	return fmt.Sprintf("%s: %v\r\n", g.name(name), value)
}

// caseExchange is a request and its response with field names in drawn case.
type caseExchange struct {
	request, body string // the body is sent after the interim response 100
	response      string
	status        int // of the response to the client
}

const casePath = "/one/x"

var caseExchangeGenerator = rapid.Custom(func(t *rapid.T) caseExchange {
	client, server := caseGenerator{t, "request"}, caseGenerator{t, "response"}
	const id = "f3a1"
	e := caseExchange{body: "abc", status: http.StatusOK}
	e.request = "POST " + casePath + " HTTP/1.1\r\n" + client.line("Host", "h") + client.line("X-Attempt-Id", id) +
		client.line("X-Deadline-Remaining", 400) + client.line("Connection", "keep-alive, X-Hop") + client.line("X-Hop", "secret") +
		client.line("X-Expected-Instance", "made-up") + client.line("Content-Length", len(e.body)) + client.line("Expect", "100-Continue") + "\r\n"
	body := "answer"
	e.response = server.line("X-Attempt-Id", id) + server.line("X-Server-Seal", "seal") + server.line("Content-Length", len(body)) +
		server.line("Keep-Alive", "timeout=5")
	status := "200 OK"
	if rapid.Bool().Draw(t, "not executed") {
		status, e.status = "503 Busy", http.StatusServiceUnavailable
		e.response += server.line("X-Not-Executed", 1)
	}
	e.response = "HTTP/1.1 " + status + "\r\n" + e.response + "\r\n" + body
	return e
})

// Field names are case-insensitive in every direction. A request whose X-Attempt-Id or X-Deadline-Remaining was not in canonical case was
// sent without its id and its deadline, so that no response matched it: clients got 504 for requests that had run, and the servers counted as
// failing.
func TestFieldNamesInAnyCase(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := caseExchangeGenerator.Draw(rt, "exchange")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(scenario{Servers: 1, Writes: []writeStep{{}}, Dials: []time.Duration{0}})
			received := make(chan *http.Request, 100)
			listeners, reports := b.listenServers(t, func(l net.Listener, service string) { answerWith(l, e.response, received) })
			stop := b.startGateway(t, reports)
			problem = b.checkExchange(t, e, received)
			stop()
			b.stopServers(listeners)
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// answerWith accepts connections and answers each request on them with the same text.
func answerWith(l net.Listener, response string, received chan<- *http.Request) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for reader := bufio.NewReader(conn); ; {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				req.Body = io.NopCloser(bytes.NewReader(body))
				received <- req
				io.WriteString(conn, response)
			}
		}()
	}
}

// checkExchange sends the request of an exchange and returns what is wrong with what the server or the client received; "" = nothing.
func (b *testbed) checkExchange(t *testing.T, e caseExchange, received <-chan *http.Request) (problem string) {
	t.Helper()
	conn := b.dialGateway(t)
	defer conn.Close()
	io.WriteString(conn, e.request)
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if line, _ := reader.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		return fmt.Sprintf("the client received %q before it sent the body", line)
	}
	reader.ReadString('\n')
	io.WriteString(conn, e.body)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != e.status {
		return fmt.Sprintf("the client received %v (%v), want status %d", resp, err, e.status)
	}
	synctest.Wait()
	if len(received) == 0 {
		return "no server received the request"
	}
	req := <-received
	body, _ := io.ReadAll(req.Body)
	remaining, _ := strconv.Atoi(req.Header.Get("X-Deadline-Remaining"))
	switch {
	case req.Method != "POST" || req.RequestURI != casePath || string(body) != e.body || req.Header.Get("X-Attempt-Id") == "":
		return fmt.Sprintf("the server received %v with the body %q", req, body)
	case remaining < 1 || remaining > 400:
		return fmt.Sprintf("the server received the deadline %d ms", remaining)
	case len(req.Header.Values("X-Expected-Instance")) != 1 || req.Header.Get("X-Expected-Instance") == "made-up":
		return fmt.Sprintf("the server received X-Expected-Instance %q", req.Header.Values("X-Expected-Instance"))
	case req.Header.Get("X-Hop") != "" || req.Header.Get("Expect") != "":
		return fmt.Sprintf("the server received fields of the client's connection: %v", req.Header)
	}
	return ""
}
