package dataplane

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// runServer runs one server: it accepts connections and serves each by the scenario's steps.
func (b *testbed) runServer(l net.Listener, service string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s := &serverSession{testbed: b, service: service, conn: conn, reader: bufio.NewReaderSize(conn, 4096)}
		go s.serve()
	}
}

// serverSession serves one connection of a server.
type serverSession struct {
	testbed *testbed
	service string
	conn    net.Conn
	reader  *bufio.Reader
	delayed [][]byte // texts to send before the next responses, one for each; empty = nothing
}

func (s *serverSession) serve() {
	defer s.conn.Close()
	for idle := time.Duration(0); ; {
		if !s.waitForRequest(idle) {
			return
		}
		step, ok := s.serveRequest()
		if !ok {
			return
		}
		idle = step.IdleTimeout
	}
}

// waitForRequest waits for the complete header of a request. Its first byte must arrive within idle; 0 = no limit.
func (s *serverSession) waitForRequest(idle time.Duration) bool {
	if idle > 0 {
		s.conn.SetReadDeadline(time.Now().Add(idle))
	}
	if _, err := s.reader.Peek(1); err != nil {
		return false
	}
	s.conn.SetReadDeadline(time.Time{})
	return waitForHeader(s.reader)
}

// serveRequest serves one request according to the next step of the script. It reports false if the connection must be
// closed.
func (s *serverSession) serveRequest() (step serverStep, ok bool) {
	req, err := http.ReadRequest(s.reader)
	if err != nil {
		s.testbed.recordViolation(unsolicited, "%s received a malformed request: %v", s.service, err)
		return step, false
	}
	step = s.testbed.nextStep()
	id := req.Header.Get("X-Attempt-Id")
	s.testbed.checkNotLate(s.service, id)
	if !step.AnswerBeforeBody && !s.readBody(id, req) {
		return step, false
	}
	if step.AnswerBeforeBody {
		s.testbed.checkForwarded(s.service, id, req, nil, false)
	}
	s.sendDelayed()
	time.Sleep(step.Delay)
	if !step.AnswerBeforeBody {
		s.checkNoFurtherRequest()
	}
	if step.executes() {
		s.testbed.recordRun(s.service, id)
	}
	text, complete := step.response(s.service, id)
	if req.Method == "HEAD" {
		text = text[:bytes.Index(text, []byte("\r\n\r\n"))+4]
	}
	s.sendBefore(step, id)
	if !s.sendResponse(step, text, complete) {
		return step, false
	}
	s.sendAfter(step, text)
	return step, !step.AnswerBeforeBody || s.readBody(id, req)
}

// readBody reads a request's body and compares the request with the one that the client sent.
func (s *serverSession) readBody(id string, req *http.Request) bool {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	s.testbed.checkForwarded(s.service, id, req, body, true)
	return true
}

// sendDelayed sends the text that was delayed until this response, if there is one.
func (s *serverSession) sendDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	text := s.delayed[0]
	s.delayed = s.delayed[1:]
	if len(text) > 0 {
		s.conn.Write(text)
	}
}

// checkNoFurtherRequest checks that no request arrives before the current one is answered.
func (s *serverSession) checkNoFurtherRequest() {
	s.conn.SetReadDeadline(time.Now().Add(time.Microsecond))
	if _, err := s.reader.Peek(1); err == nil {
		s.testbed.recordViolation(unsolicited, "%s received a request before it had answered the previous one", s.service)
	}
	s.conn.SetReadDeadline(time.Time{})
}

func (s *serverSession) sendBefore(step serverStep, id string) {
	text := precedingTexts[step.Before]
	if len(text) == 0 {
		return
	}
	s.conn.Write([]byte(strings.ReplaceAll(text, "OWN", id)))
	if strings.HasPrefix(step.Before, "late") {
		time.Sleep(20 * time.Millisecond)
	}
}

// sendResponse sends the part of a response that the step specifies. It reports whether the connection stays open.
func (s *serverSession) sendResponse(step serverStep, text []byte, complete bool) bool {
	pauseAt := len(text) * step.PauseAt / 100
	cut := len(text) * step.SentPercent / 100
	if !complete {
		cut = 0
	}
	if pauseAt < cut && step.Pause > 0 {
		s.conn.Write(text[:pauseAt])
		time.Sleep(step.Pause)
		s.conn.Write(text[pauseAt:cut])
	} else {
		s.conn.Write(text[:cut])
	}
	if complete && cut == len(text) && !strings.Contains(step.ReuseHeader, "close") {
		return true
	}
	if step.Kind == "silent" || step.Pause > 100*time.Millisecond {
		time.Sleep(2 * time.Second)
	}
	return false
}

// sendAfter sends the text that follows a response, or delays it until a later response.
func (s *serverSession) sendAfter(step serverStep, text []byte) {
	switch step.After {
	case "copy":
		s.conn.Write(text)
	case "copy late":
		time.Sleep(3 * time.Millisecond)
		s.conn.Write(text)
	case "copy next":
		s.delayed = append(s.delayed, text)
	case "copy next but one":
		s.delayed = append(s.delayed, nil, text)
	case "other next":
		s.delayed = append(s.delayed, []byte(precedingTexts["other"]))
	case "garbage":
		s.conn.Write([]byte("\x00\x01\x02"))
	case "line end":
		s.conn.Write([]byte("\r\n"))
	}
}

// nextStep returns the script's next step.
func (b *testbed) nextStep() serverStep {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.scenario.ServerSteps[b.steps%len(b.scenario.ServerSteps)]
	b.steps++
	return step
}

func (b *testbed) recordRun(service, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[service+" "+id]++
}

// waitForHeader waits for the complete header of a request. It reports false if the connection ends before.
func waitForHeader(r *bufio.Reader) bool {
	for {
		text, _ := r.Peek(r.Buffered())
		if bytes.Contains(text, []byte("\r\n\r\n")) {
			return true
		}
		if _, err := r.Peek(len(text) + 1); err != nil {
			return false
		}
	}
}

// precedingTexts are the texts that servers send before a response. OWN is replaced by the request's id.
var precedingTexts = map[string]string{
	"100":            "HTTP/1.1 100 Continue\r\n\r\n",
	"103":            "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
	"103 length":     "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
	"102 own":        "HTTP/1.1 102 Processing\r\nX-Attempt-Id: OWN\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n",
	"503 without id": "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"408 without id": "HTTP/1.1 408 Request Timeout\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"other":          "HTTP/1.1 200 OK\r\nX-Attempt-Id: nobody\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nab",
	"late other":     "HTTP/1.1 503 Busy\r\nX-Attempt-Id: nobody\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"garbage":        "no answer\r\n\r\n",
}

// executes reports whether the server runs the request.
func (s serverStep) executes() bool {
	return !strings.HasSuffix(s.Kind, "marked") && s.Kind != "421" && s.Kind != "ends unrun"
}

// response returns the server's answer; complete is false if none of it is sent.
func (s serverStep) response(service, id string) (text []byte, complete bool) {
	status, lines := "200 OK", "X-Attempt-Id: "+id+"\r\nX-Server-Seal: "+service+"."+id+"\r\n"
	body := responseRecords(service, id)
	switch s.Kind {
	case "silent", "ends unrun", "ends run":
		return []byte("\r\n\r\n"), false
	case "503 marked", "429 marked", "400 marked":
		status, lines = s.Kind[:3]+" No", "X-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\n"
	case "421":
		status, lines = "421 Moved", "X-Instance-Id: another\r\n"
	case "500", "503", "408", "429", "404":
		status, lines = s.Kind+" No", "X-Attempt-Id: "+id+"\r\n"
	case "no seal":
		lines = "X-Attempt-Id: " + id + "\r\n"
	case "other":
		lines = "X-Attempt-Id: nobody\r\nX-Server-Seal: " + service + ".nobody\r\n"
	case "no id":
		lines = "X-Server-Seal: " + service + "." + id + "\r\n"
	case "000":
		status = "000 OK"
	}
	if s.Kind == "chunked" {
		text = fmt.Appendf(nil, "HTTP/1.1 %s\r\n%s%sTransfer-Encoding: chunked\r\n\r\n", status, lines, s.ReuseHeader)
		return fmt.Appendf(text, "%x;x=y\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(body), body), true
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, lines, s.ReuseHeader, len(body), body), true
}

// responseRecords returns the records that a service returns for a request.
func responseRecords(service, id string) []byte {
	sum := sha256.Sum256([]byte(service + " " + id))
	return slices.Concat(sum[:], sum[8:24])
}
