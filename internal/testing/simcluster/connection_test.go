package simcluster

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oxbowspan/config"
)

// rawClientIP is the source address of raw connections.
const rawClientIP = "10.0.9.6"

// rawConnection is a client's connection to a gateway on which a test writes the bytes of requests itself.
type rawConnection struct {
	net.Conn
	reader *bufio.Reader
}

func dialGateway(t *testing.T, cluster *Cluster, gateway *GatewayNode) *rawConnection {
	t.Helper()
	connection, err := cluster.Network.Host(rawClientIP).Dial(gateway.PublicAddress(), time.Second)
	requireNoError(t, err)
	return &rawConnection{Conn: connection, reader: bufio.NewReader(connection)}
}

// send writes bytes of requests.
func (c *rawConnection) send(t *testing.T, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	requireNoError(t, err)
}

// receive reads the next response with its body.
func (c *rawConnection) receive(timeout time.Duration) (*http.Response, error) {
	c.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, fmt.Errorf("body of a response: %w", err)
	}
	return response, nil
}

// expectResponse reads the next response and checks its status. A response with status 200 must belong to the request with the id.
func (c *rawConnection) expectResponse(t *testing.T, requestID string, wantStatus int) {
	t.Helper()
	response, err := c.receive(2 * time.Second)
	if err != nil {
		t.Fatalf("request %s: %v", requestID, err)
	}
	requireStatus(t, response.StatusCode, wantStatus, "request %s", requestID)
	seal := response.Header.Get(serverSealHeader)
	if wantStatus == http.StatusOK && !strings.HasSuffix(seal, "."+requestID) {
		t.Fatalf("request %s got the response with seal %q", requestID, seal)
	}
}

// requestHead returns a request line and the header fields of every request. The caller appends further fields and an empty line.
func requestHead(method, path, requestID string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %d\r\n%s: %s\r\n",
		method, path, exampleHost, deadlineHeader, deadline.Milliseconds(), attemptIDHeader, requestID)
}

// TestPipelinedRequests pipelines requests on one connection: without a body, with a body that looks like a request, and with a
// chunked body. The responses must arrive in order, and a request inside a body must never be executed.
func TestPipelinedRequests(t *testing.T) {
	const hidden = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	head := func(method, path, requestID string) string {
		return requestHead(method, path, requestID, 900*time.Millisecond)
	}
	runCluster(t, 40, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		connection := dialGateway(t, cluster, cluster.Gateways[0])
		defer connection.Close()
		connection.send(t, head("POST", "/once/a", "p1")+"\r\n"+
			head("GET", "/one/b", "p2")+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden))+hidden+
			head("POST", "/once/c", "p3")+chunked+"\r\n"+
			head("DELETE", "/once/d", "p4")+"\r\n"+
			head("GET", "/one/e", "p5")+"\r\n")
		for _, requestID := range []string{"p1", "p2", "p3", "p4", "p5"} {
			connection.expectResponse(t, requestID, http.StatusOK)
		}

		// Trailer fields after the last chunk are ignored. A request in their place is an error that closes the connection.
		second := dialGateway(t, cluster, cluster.Gateways[0])
		defer second.Close()
		second.send(t, head("POST", "/once/f", "t1")+chunked+"X-Attempt-Id: other\r\n\r\n"+
			head("GET", "/one/g", "t2")+"\r\n"+
			head("POST", "/once/h", "t3")+chunked+hidden)
		second.expectResponse(t, "t1", http.StatusOK)
		second.expectResponse(t, "t2", http.StatusOK)
		second.expectResponse(t, "t3", http.StatusBadRequest)
		if _, err := second.reader.ReadByte(); err == nil {
			t.Fatal("bytes follow the response to a malformed request")
		}
		for _, service := range []string{singleService, nonRetryableService} {
			if cluster.RequestLog.Executions(service, "hidden") != 0 {
				t.Fatalf("%s executed a request that was part of another's body", service)
			}
		}
	})
}

// TestIdleConnectionsAreEvicted opens more connections than half of the gateway's file descriptors. Idle connections must be
// closed in favour of new ones, and requests must be served throughout.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	runCluster(t, 41, 3, 1, func(t *testing.T, cluster *Cluster) {
		gateway := cluster.Gateways[0]
		gateway.Kill(false)
		cluster.fileDescriptors = 40
		gateway.Start()
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		for i := range 100 {
			connection := dialGateway(t, cluster, gateway)
			defer connection.Close()
			if i%10 == 9 {
				response := sendSingle(cluster, gateway, "room")
				requireStatus(t, response.Status, http.StatusOK, "request with %d idle connections open", i+1)
			}
		}
	})
}

// TestRequestsWithinLimits sends requests just within the limits of the configuration, on a connection that has been idle for
// four fifths of the idle timeout. Such a connection must never be closed during a request.
func TestRequestsWithinLimits(t *testing.T) {
	const (
		headerBytes = 8192
		bodyBytes   = 1 << 16
		idleTimeout = 4 * time.Second
		idleTime    = 4 * idleTimeout / 5
		headerPause = 1800 * time.Millisecond // within a header; its timeout is 2 s
	)
	runCluster(t, 78, 3, 1, func(t *testing.T, cluster *Cluster) {
		limited := editConfiguration(t, ExampleConfiguration(1, ExampleSharding), func(c *config.Configuration) {
			c.Limits = config.Limits{
				HeaderBytes: headerBytes, BodyBytes: bodyBytes, HeaderTimeoutMS: 2000, IdleTimeoutMS: milliseconds(idleTimeout),
			}
		})
		commitInitial(t, cluster, 1, limited)
		time.Sleep(3 * time.Second)
		connection := dialGateway(t, cluster, cluster.Gateways[0])
		defer connection.Close()
		longHeader := "X-Long: " + strings.Repeat("h", headerBytes-200) + "\r\n"
		for i, request := range []struct {
			name       string
			idle       time.Duration // before the request
			header     string
			bodyLength int
			pause      time.Duration // in the middle of the header
		}{
			{name: "first request"},
			{name: "after four fifths of the idle time-out", idle: idleTime},
			{name: "after four fifths of the idle time-out, again", idle: idleTime},
			{name: "after four fifths of the idle time-out, a third time", idle: idleTime},
			{name: "longest header", header: longHeader},
			{name: "longest body", bodyLength: bodyBytes},
			{name: "slow header", header: longHeader, pause: headerPause},
			{name: "everything at once", idle: idleTime, header: longHeader, bodyLength: bodyBytes, pause: headerPause},
		} {
			time.Sleep(request.idle)
			head := requestHead("POST", "/once/a", fmt.Sprint("c", i), 2900*time.Millisecond) + request.header +
				fmt.Sprintf("Content-Length: %d\r\n\r\n", request.bodyLength)
			half := len(head) / 2
			connection.send(t, head[:half])
			time.Sleep(request.pause)
			connection.send(t, head[half:]+strings.Repeat("b", request.bodyLength))
			response, err := connection.receive(4 * time.Second)
			if err != nil {
				t.Fatalf("%s: %v", request.name, err)
			}
			requireStatus(t, response.StatusCode, http.StatusOK, "%s", request.name)
			if response.Close {
				t.Fatalf("%s: the gateway closes the connection", request.name)
			}
		}
	})
}
