package dataplane

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/internal/settings"
)

// memoryTest runs a test against a gateway whose bodies may use the memory of maxBodies bodies of testBodyBytes.
func memoryTest(t *testing.T, serviceTime time.Duration, maxBodies int, test func(t *testing.T, b *testbed)) {
	t.Helper()
	const margin = 1.001 // for rounding
	s := scenario{MemoryMB: float64(maxBodies) * testBodyBytes * margin / bodyMemoryShare / (1 << 20)}
	runWithRecordingServers(t, &recordingServers{serviceTime: serviceTime}, s, settings.Bounds{}, test)
}

const testBodyBytes = 100_000

// sendBodies sends a request with a body on each of several connections and returns the statuses of the responses, by number of responses.
func (b *testbed) sendBodies(t *testing.T, count int) map[int]int {
	t.Helper()
	statuses := map[int]int{}
	results := make(chan *http.Response)
	for range count {
		text := postText("/one/x", newRequestID(), 800*time.Millisecond, strings.Repeat("b", testBodyBytes))
		go func() {
			conn := b.dialGateway(t)
			defer conn.Close()
			io.WriteString(conn, text)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Error(err)
				resp = &http.Response{}
			}
			results <- resp
		}()
	}
	for range count {
		resp := <-results
		statuses[resp.StatusCode]++
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			t.Error("a request was rejected without Retry-After")
		}
	}
	return statuses
}

// While servers work, the bodies of the requests at work use no more than their share of the memory: further requests are rejected at once, as
// not executed. Nothing bounded it, and a process that exceeds its memory is killed with all its requests.
func TestBodyMemoryIsLimited(t *testing.T) {
	const maxBodies, requests = 12, 40
	memoryTest(t, 40*time.Millisecond, maxBodies, func(t *testing.T, b *testbed) {
		for round := range 3 { // the memory is released after each round
			statuses := b.sendBodies(t, requests)
			if statuses[http.StatusOK] != maxBodies || statuses[http.StatusServiceUnavailable] != requests-maxBodies {
				t.Errorf("round %d: responses by status %v, want %d successes and %d rejections", round, statuses, maxBodies, requests-maxBodies)
			}
			synctest.Wait()
			if used := b.gateway.front.bodies.budget.Snapshot().Total; used != 0 {
				t.Errorf("round %d: %d bytes are in use after all requests", round, used)
			}
		}
	})
}

// Clients that send their bodies slowly use the memory too, and release it when they leave. Requests without a body are served meanwhile.
func TestBodyMemoryOfSlowClients(t *testing.T) {
	const maxBodies = 5
	memoryTest(t, time.Millisecond, maxBodies, func(t *testing.T, b *testbed) {
		text := postText("/one/x", newRequestID(), 800*time.Millisecond, strings.Repeat("b", testBodyBytes))
		var slow []net.Conn
		for range maxBodies {
			conn := b.dialGateway(t)
			io.WriteString(conn, text[:len(text)/2])
			slow = append(slow, conn)
		}
		synctest.Wait()
		if statuses := b.sendBodies(t, 1); statuses[http.StatusServiceUnavailable] != 1 {
			t.Errorf("a body beside slow clients: responses by status %v", statuses)
		}
		if got := b.dialKept(t).status(requestWithHeader(smallHeader)); got != http.StatusOK {
			t.Errorf("a request without a body: status %d", got)
		}
		for _, conn := range slow {
			conn.Close()
		}
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if statuses := b.sendBodies(t, maxBodies); statuses[http.StatusOK] != maxBodies {
			t.Errorf("after the slow clients left: responses by status %v", statuses)
		}
	})
}

// A body that exceeds the limit by itself is accepted if it is the only one.
func TestSingleBodyMayExceedLimit(t *testing.T) {
	runWithRecordingServers(t, &recordingServers{serviceTime: time.Millisecond}, scenario{MemoryMB: 0.01}, settings.Bounds{}, func(t *testing.T, b *testbed) {
		for range 3 {
			if statuses := b.sendBodies(t, 1); statuses[http.StatusOK] != 1 {
				t.Errorf("responses by status %v", statuses)
			}
		}
	})
}
