package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/internal/settings"
)

// postText returns an encoded POST request with a body.
func postText(path, id string, deadline time.Duration, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s", path, id,
		deadline.Milliseconds(), len(body), body)
}

// heapBytes returns the memory in use by reachable objects.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // pooled buffers are released by the second collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// The body of a request is released once the request has ended, long before the deadline of its attempts: neither the timers of the
// attempts, nor an attempt that still hangs, nor the client's idle connection keeps it. Otherwise the memory in use would grow with the rate
// of requests times their deadline.
func TestBodiesOfEndedRequestsAreReleased(t *testing.T) {
	const (
		requests  = 40
		bodyBytes = 200_000
		maxBodies = 4 // that may still be in memory
	)
	for _, test := range []struct {
		name, path string
		servers    *recordingServers
		keepOpen   bool // clients leave their connections open after the response
		disconnect bool // clients disconnect before the response
	}{
		{"answered", "/one/x", &recordingServers{serviceTime: time.Millisecond}, false, false},
		{"not retryable", nonRetryablePath + "x", &recordingServers{serviceTime: time.Millisecond}, false, false},
		{"gathered", "/all/x", &recordingServers{serviceTime: time.Millisecond}, false, false},
		{"connections stay open", "/one/x", &recordingServers{serviceTime: time.Millisecond}, true, false},
		{"no route", "/none/x", &recordingServers{serviceTime: time.Millisecond}, true, false},
		{"first attempts hang", "/one/x", &recordingServers{serviceTime: time.Millisecond, unansweredRequests: requests / 2}, false, false},
		{"clients left", nonRetryablePath + "x", &recordingServers{serviceTime: time.Hour}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithRecordingServers(t, test.servers, scenario{}, settings.Bounds{HasRetryBudget: true, BudgetWindowS: 10, BudgetExtraTries: 1000},
				func(t *testing.T, b *testbed) {
					body := strings.Repeat("b", bodyBytes)
					before := heapBytes()
					var conns []net.Conn
					for i := range requests {
						conn := b.dialGateway(t)
						conns = append(conns, conn)
						go io.WriteString(conn, postText(test.path, fmt.Sprint("request-", i), 5*time.Second, body))
						time.Sleep(2 * time.Millisecond)
						if !test.disconnect {
							if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
								t.Errorf("request %d: %v", i, err)
							}
						}
						if !test.keepOpen {
							conn.Close()
						}
					}
					synctest.Wait()
					if grown := heapBytes() - before; grown > maxBodies*bodyBytes {
						t.Errorf("%d bytes more are in use after %d requests with bodies of %d bytes", grown, requests, bodyBytes)
					}
					for _, conn := range conns {
						conn.Close()
					}
				})
		})
	}
}
