package experiment

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

const (
	soakTimeout      = 900 * time.Millisecond // of a request
	soakConnectPause = 50 * time.Millisecond
	soakSendPause    = 12 * time.Millisecond // between two requests of a client, on average
	// soakMaxCloseDelay is the maximum time until a connection is closed on a request that was not accepted. It is long,
	// because machines may be busy.
	soakMaxCloseDelay = 800 * time.Millisecond
)

// soakClient sends requests sequentially over a connection that it uses until the gateway closes it.
type soakClient struct {
	soak    *soak
	number  int
	random  *rand.Rand
	sent    int
	gateway int
	conn    net.Conn
	reader  *bufio.Reader
}

func (s *soak) startClients(count int) {
	for number := range count {
		s.running.Go(func() {
			c := &soakClient{soak: s, number: number, random: rand.New(rand.NewPCG(s.env.Seed, uint64(1000+number)))}
			c.run()
		})
	}
}

func (c *soakClient) run() {
	for {
		select {
		case <-c.soak.done:
			c.disconnect()
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * soakSendPause)))):
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(soakConnectPause)
			continue
		}
		c.request()
	}
}

func (c *soakClient) connect() bool {
	gateways := c.soak.cluster.cluster.Gateways
	c.gateway = c.random.IntN(len(gateways))
	conn, err := net.DialTimeout("tcp", gateways[c.gateway].PublicAddress(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *soakClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one request and checks its result.
func (c *soakClient) request() {
	c.sent++
	id := fmt.Sprintf("c%d-%d", c.number, c.sent)
	method, path, sentBody := http.MethodGet, rolloutGatherPath, ""
	switch c.sent % 3 {
	case 1:
		path = rolloutSinglePath
	case 2:
		method, path, sentBody = http.MethodPost, "/once/x", requestBody(c.random)
	}
	header := longHeader(c.random, c.soak.headerBytesInForce())
	sentAt := time.Now()
	c.soak.recordSent(id, c.gateway, sentAt)
	c.conn.SetDeadline(sentAt.Add(soakTimeout + 500*time.Millisecond))
	fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, exampleHost, id, soakTimeout.Milliseconds(), header, len(sentBody), sentBody)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	c.soak.count("requests")
	if err != nil {
		c.checkLostResponse(id, path, sentAt, err)
		c.disconnect()
		return
	}
	c.check(id, path, response, body)
	if response.Close {
		c.disconnect()
	}
}

// checkLostResponse checks a request whose connection ended before a complete response. That is allowed if the gateway was
// killed or suspended, or if the gateway closed the connection while the request was in transit and did not accept it.
func (c *soakClient) checkLostResponse(id, path string, sentAt time.Time, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.soak.count("requests without an answer in time")
		return
	}
	c.soak.count("requests cut off")
	executed := 0
	for _, service := range simcluster.ExampleServices {
		executed += c.soak.cluster.cluster.RequestLog.Executions(service, id)
	}
	if c.soak.hadOutage(c.gateway, sentAt.Add(-soakMaxCloseDelay)) {
		return
	}
	if executed > 0 || time.Since(sentAt) > soakMaxCloseDelay {
		c.soak.setFinding("%s on %s is cut off after %v by gateway %d, executed %d times: %w", id, path, time.Since(sentAt), c.gateway, executed, err)
	}
}

func (c *soakClient) check(id, path string, response *http.Response, body []byte) {
	executions := c.soak.cluster.cluster.RequestLog.Executions("once", id)
	if executions > 1 {
		c.soak.setFinding("%s is executed %d times", id, executions)
	}
	switch {
	case response.StatusCode == http.StatusOK && path == rolloutSinglePath:
		if !bytes.Equal(body, simcluster.ExpectedRecords(rolloutSingleService, id, simcluster.ExampleRecordCount)) {
			c.soak.setFinding("%s gets an answer that its server did not give", id)
		}
		c.soak.count("requests served")
	case response.StatusCode == http.StatusOK:
		if path == rolloutGatherPath {
			c.checkGathered(id, response, body)
		}
		c.soak.count("requests served")
	case response.StatusCode == http.StatusServiceUnavailable && path == "/once/x" && executions > 0:
		c.soak.setFinding("%s is answered that it has not run, and ran", id)
	case response.StatusCode/100 == 4:
		c.soak.setFinding("%s on %s is answered %d", id, path, response.StatusCode)
	default:
		c.soak.count(fmt.Sprint("requests answered ", response.StatusCode))
	}
}
