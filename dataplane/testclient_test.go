package dataplane

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"oxbowspan/topk"
)

// testClient is a client that sends its scripted requests over one connection at a time and checks the responses.
type testClient struct {
	testbed *testbed
	name    string
	conn    net.Conn // nil = not connected
	reader  *bufio.Reader
}

// batch is sent in one write: one request, or several pipelined ones.
type batch struct {
	text       []byte
	ids        []string
	closeAfter time.Duration // as clientStep.CloseAfter
	truncateAt int           // as clientStep.TruncateAt
	pause      time.Duration // of the last request
	next       int           // index of the first step after the batch
}

// runClient sends a client's requests batch by batch, and reads the responses of each batch in order.
func (b *testbed) runClient(name string, steps []clientStep) {
	c := &testClient{testbed: b, name: name}
	defer c.disconnect()
	for i := 0; i < len(steps); {
		time.Sleep(steps[i].Pause)
		if err := c.connect(); err != nil {
			b.recordViolation(unavailable, "%v", err)
			return
		}
		sent := c.newBatch(steps, i)
		i = sent.next
		c.run(sent)
	}
	c.checkNoFurtherData()
}

// connect connects to the gateway unless connected. It retries the dial, as the gateway may be restarting.
func (c *testClient) connect() (err error) {
	for range 20 {
		if c.conn != nil {
			return nil
		}
		conn, dialErr := c.testbed.network.Host(clientHost).Dial(frontAddress, time.Second)
		if dialErr == nil {
			c.conn, c.reader = conn, bufio.NewReader(conn)
			return nil
		}
		err = dialErr
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

func (c *testClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// newBatch builds a batch that begins with the request of step first.
func (c *testClient) newBatch(steps []clientStep, first int) batch {
	var built batch
	for i := first; ; i++ {
		step := steps[i]
		id := c.name + "-" + strconv.Itoa(i)
		request := step.request()
		c.testbed.recordSent(id, request)
		built.text = fmt.Appendf(built.text, "%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s",
			request.method, request.path, id, step.Deadline/time.Millisecond, len(request.body), request.body)
		built.ids = append(built.ids, id)
		built.closeAfter, built.truncateAt = cmp.Or(built.closeAfter, step.CloseAfter), cmp.Or(built.truncateAt, step.TruncateAt)
		if !step.Pipelined || i+1 == len(steps) {
			built.pause, built.next = step.Pause, i+1
			return built
		}
	}
}

// request returns the request that the client sends in a step.
func (s clientStep) request() sentRequest {
	method := "GET"
	if strings.HasPrefix(s.Path, nonRetryablePath) {
		method = "POST"
	}
	if strings.HasSuffix(s.Path, "/head") {
		method = "HEAD"
	}
	return sentRequest{method: method, path: s.Path, body: bytes.Repeat([]byte{'b'}, s.Body)}
}

func (b *testbed) recordSent(id string, request sentRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[id] = request
}

// run sends a batch and reads its responses.
func (c *testClient) run(sent batch) {
	if sent.truncateAt > 0 {
		c.conn.Write(sent.text[:len(sent.text)*sent.truncateAt/100])
		time.Sleep(sent.pause)
		c.disconnect()
		return
	}
	c.conn.Write(sent.text)
	for _, id := range sent.ids {
		c.conn.SetReadDeadline(time.Now().Add(cmp.Or(sent.closeAfter, 3*time.Second)))
		if !c.readResponse(id) {
			c.disconnect()
			return
		}
	}
	if c.reader.Buffered() > 0 {
		c.testbed.recordViolation(misrouted, "%d bytes arrived while no request was pending", c.reader.Buffered())
	}
}

// checkNoFurtherData checks that no data arrives once all requests are answered.
func (c *testClient) checkNoFurtherData() {
	if c.conn == nil {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.reader.Peek(1); err == nil {
		c.testbed.recordViolation(misrouted, "data arrived while no request was pending")
	}
}

// readResponse reads and checks the response to one request. It reports whether the connection can be used for another.
func (c *testClient) readResponse(id string) bool {
	b := c.testbed
	b.mu.Lock()
	sent := b.sent[id]
	b.mu.Unlock()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: sent.method})
	if err != nil {
		if strings.Contains(err.Error(), "malformed") {
			b.recordViolation(misrouted, "%s received a malformed response: %v", id, err)
		}
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	b.recordResponse(id, resp.StatusCode)
	if got := resp.Header.Get("X-Attempt-Id"); got != "" && got != id {
		b.recordViolation(misrouted, "%s received the response to %s", id, got)
	}
	if resp.StatusCode < 200 || resp.StatusCode > 599 {
		b.recordViolation(misrouted, "%s received the invalid status %d", id, resp.StatusCode)
	}
	if resp.StatusCode/100 == 2 {
		b.checkSuccess(id, sent, resp, body)
	}
	return !resp.Close
}

func (b *testbed) recordResponse(id string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statuses[id], b.answeredAt[id] = status, time.Now()
	if status/100 == 2 {
		b.succeeded++
	}
}

// checkSuccess checks that a successful response consists of the responses of the servers to this very request.
func (b *testbed) checkSuccess(id string, sent sentRequest, resp *http.Response, body []byte) {
	if sent.method == "HEAD" {
		return
	}
	service := strings.Split(sent.path, "/")[1]
	if service != "all" {
		if resp.Header.Get("X-Server-Seal") != service+"."+id || !bytes.Equal(body, responseRecords(service, id)) {
			b.recordViolation(misrouted, "%s received another body or another seal than its server sent: %q", id, resp.Header.Get("X-Server-Seal"))
		}
		return
	}
	var records [][]byte
	for _, seal := range strings.Split(resp.Header.Get("X-Part-Seals"), ", ") {
		shard, of, _ := strings.Cut(seal, ".")
		if of != id {
			b.recordViolation(misrouted, "%s received a shard response with the seal %q", id, seal)
		}
		records = slices.AppendSeq(records, slices.Chunk(responseRecords(shard, id), topk.RecordBytes))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(slices.Concat(records...), body) {
		b.recordViolation(misrouted, "%s received records that are not the greatest of its shards", id)
	}
}
