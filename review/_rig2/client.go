package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// try is one try of a client and its end.
type try struct {
	id      string
	gateway string
	sentAt  time.Time // when its last byte was sent
	endedAt time.Time
	status  int // 0 = no complete answer
	seal    string
	parts   string
	body    []byte
	err     error
	written bool // the whole request was written
	read    bool // at least one byte of an answer came
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestText is the text of a request as clients send it.
func requestText(method, host, path, id string, deadline time.Duration, extra string, body []byte) []byte {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\n%s", method, path, host, id, deadline.Milliseconds(), extra)
	if len(body) > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return append([]byte(text+"\r\n"), body...)
}

// exchange sends a request on a connection and reads its answer.
func exchange(conn net.Conn, r *bufio.Reader, gateway, id, method string, text []byte, deadline time.Duration) *try {
	t := &try{id: id, gateway: gateway}
	conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, t.err = conn.Write(text); t.err != nil {
		t.endedAt = time.Now()
		return t
	}
	t.sentAt, t.written = time.Now(), true
	if _, t.err = r.Peek(1); t.err != nil {
		t.endedAt = time.Now()
		return t
	}
	t.read = true
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		t.err, t.endedAt = err, time.Now()
		return t
	}
	t.body, t.err = io.ReadAll(resp.Body)
	resp.Body.Close()
	t.endedAt = time.Now()
	if t.err == nil {
		t.status, t.seal, t.parts = resp.StatusCode, resp.Header.Get("X-Server-Seal"), resp.Header.Get("X-Part-Seals")
	}
	return t
}

// one opens a connection to a gateway, sends one request and closes it.
func one(gateway *process, method, host, path string, deadline time.Duration, extra string, body []byte) *try {
	id := newID()
	conn, err := net.DialTimeout("tcp", gateway.front(), time.Second)
	if err != nil {
		return &try{id: id, gateway: gateway.name, err: err, endedAt: time.Now()}
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), gateway.name, id, method, requestText(method, host, path, id, deadline, extra, body), deadline)
}

// logTry records a try: what was sent, answered and run.
func (r *record) logTry(t *try, j *journal, note string) {
	runs := ""
	for _, x := range j.of(t.id) {
		runs += fmt.Sprintf(" %s at +%.1f ms", x.server, float64(x.at.Sub(t.sentAt).Microseconds())/1000)
	}
	r.logf("try %s by %s%s: answered %d after %.1f ms, error %v, stamp %q, parts %q, %d bytes; run with success:%s", t.id, t.gateway, note, t.status,
		float64(t.endedAt.Sub(t.sentAt).Microseconds())/1000, t.err, t.seal, t.parts, len(t.body), runs)
}
