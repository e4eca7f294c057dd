package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/settings"
)

// keptConn is a connection that a client keeps for several requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (b *testbed) dialKept(t *testing.T) *keptConn {
	t.Helper()
	conn := b.dialGateway(t)
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// activateLimits makes a version of the configuration with the given limits the active one.
func (b *testbed) activateLimits(version uint64, limits config.Limits) {
	c := testConfiguration(version)
	c.Limits = limits
	b.gateway.loop.post(func() { b.gateway.activateConfig(c, nil, version) })
	synctest.Wait()
}

// requestWithHeader returns an encoded request whose header has the given length.
func requestWithHeader(length int) string {
	text := requestText("GET", "/one/x", newRequestID(), 500*time.Millisecond)
	const field = "X-Fill: \r\n"
	fill := strings.Repeat("f", max(length-len(text)-len(field), 0))
	if fill == "" {
		return text
	}
	return strings.TrimSuffix(text, "\r\n") + "X-Fill: " + fill + "\r\n\r\n"
}

// requestIDs numbers the requests of the tests in this file.
var requestIDs idSequence

func newRequestID() string { return fmt.Sprint("request-", requestIDs.next()) }

// status sends text and returns the status of the response, 0 = none.
func (c *keptConn) status(text string) int {
	io.WriteString(c, text)
	return c.nextStatus()
}

// nextStatus returns the status of the next response, 0 = none.
func (c *keptConn) nextStatus() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func runWithLimits(t *testing.T, test func(t *testing.T, b *testbed)) {
	t.Helper()
	runWithRecordingServers(t, &recordingServers{serviceTime: time.Millisecond, maxHeaderBytes: 2 << 20}, scenario{}, settings.Bounds{}, test)
}

const smallHeader = 200 // bytes

// The limit of headers that is in force applies to all connections, whenever they were opened: a connection kept the limit of the version
// under which it was accepted, so that it refused what a later version allows, and served what a later version refuses.
func TestHeaderLimitAppliesToKeptConnections(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after int // header_bytes
		header        int
		want          int
	}{
		{"raised", 16384, 32768, 20000, http.StatusOK},
		{"raised from the default", 0, 32768, 20000, http.StatusOK},
		{"raised several times over", 1000, 1 << 20, 900_000, http.StatusOK},
		{"at the limit", 16384, 32768, 32768, http.StatusOK},
		{"raised, above the limit", 16384, 32768, 32769, http.StatusRequestHeaderFieldsTooLarge},
		{"lowered", 32768, 16384, 20000, http.StatusRequestHeaderFieldsTooLarge},
		{"lowered, at the limit", 32768, 16384, 16384, http.StatusOK},
		{"lowered below a page", 32768, 1000, 1001, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithLimits(t, func(t *testing.T, b *testbed) {
				b.activateLimits(2, config.Limits{HeaderBytes: test.before})
				kept, grown := b.dialKept(t), b.dialKept(t)
				defer kept.Close()
				defer grown.Close()
				for _, size := range []int{smallHeader, test.before} {
					if got := grown.status(requestWithHeader(size)); got != http.StatusOK {
						t.Errorf("before the change: status %d for a header of %d bytes", got, size)
						return
					}
				}
				if got := kept.status(requestWithHeader(smallHeader)); got != http.StatusOK {
					t.Errorf("before the change: status %d", got)
					return
				}
				b.activateLimits(3, config.Limits{HeaderBytes: test.after})
				for _, conn := range []struct {
					name string
					*keptConn
				}{{"a new connection", b.dialKept(t)}, {"a kept connection", kept}, {"a kept connection with a grown buffer", grown}} {
					if got := conn.status(requestWithHeader(smallHeader)); got != http.StatusOK {
						t.Errorf("%s: status %d for a small header, want %d", conn.name, got, http.StatusOK)
					}
					if got := conn.status(requestWithHeader(test.header)); got != test.want {
						t.Errorf("%s: status %d for a header of %d bytes, want %d", conn.name, got, test.header, test.want)
					}
					conn.Close()
				}
			})
		})
	}
}

// A gateway that knows no configuration yet does not refuse what exceeds its default limits for good, as the configuration in force may allow
// it: it was answered 431 or 413, after which clients do not retry.
func TestLimitsWithoutConfiguration(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"header", requestWithHeader(20_000)},
		{"body", postText("/one/x", newRequestID(), time.Second, strings.Repeat("b", 300_000))},
		{"small", requestWithHeader(smallHeader)},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithLimits(t, func(t *testing.T, b *testbed) {
				b.gateway.configs.active.Store(nil)
				conn := b.dialKept(t)
				defer conn.Close()
				if got := conn.status(test.text); got != http.StatusServiceUnavailable {
					t.Errorf("status %d, want %d", got, http.StatusServiceUnavailable)
				}
			})
		})
	}
}

// Requests that were written together are served in order by the limit in force, even if the buffer of the connection changes between
// them.
func TestPipelinedRequestsAfterLimitChange(t *testing.T) {
	for _, limits := range [][2]int{{16384, 65536}, {65536, 16384}} {
		runWithLimits(t, func(t *testing.T, b *testbed) {
			b.activateLimits(2, config.Limits{HeaderBytes: limits[0]})
			kept := b.dialKept(t)
			defer kept.Close()
			if got := kept.status(requestWithHeader(limits[0])); got != http.StatusOK {
				t.Errorf("before the change: status %d", got)
				return
			}
			b.activateLimits(3, config.Limits{HeaderBytes: limits[1]})
			sizes := []int{smallHeader, 16000, limits[1], smallHeader, 9000, 5000, smallHeader}
			text := ""
			for _, size := range sizes {
				text += requestWithHeader(size)
			}
			io.WriteString(kept, text)
			for i, size := range sizes {
				if got := kept.nextStatus(); got != http.StatusOK {
					t.Errorf("header_bytes %v, request %d with a header of %d bytes: status %d", limits, i, size, got)
					return
				}
			}
		})
	}
}

// The lines of a trailer may be longer than the buffer of a new connection.
func TestLongTrailerLine(t *testing.T) {
	for _, test := range []struct{ length, want int }{{9000, http.StatusOK}, {20000, http.StatusBadRequest}} {
		runWithLimits(t, func(t *testing.T, b *testbed) {
			b.activateLimits(2, config.Limits{HeaderBytes: 16384})
			conn := b.dialKept(t)
			defer conn.Close()
			text := "POST /one/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + newRequestID() +
				"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Fill: " + strings.Repeat("f", test.length) + "\r\n\r\n"
			if got := conn.status(text); got != test.want {
				t.Errorf("status %d for a trailer line of %d bytes, want %d", got, test.length, test.want)
			}
		})
	}
}

// An idle connection stays open as long as the limit in force allows, also if that limit was raised since the connection became idle. It
// stays open at least as long as its client was told.
func TestIdleTimeoutOfIdleConnections(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after time.Duration // idle_timeout_ms
		rest          time.Duration // between the two requests
		served        bool
	}{
		{"unchanged", 5 * time.Second, 5 * time.Second, 6 * time.Second, false},
		{"raised", 5 * time.Second, 20 * time.Second, 16 * time.Second, true},
		{"raised, rested longer", 5 * time.Second, 20 * time.Second, 21 * time.Second, false},
		{"lowered", 20 * time.Second, 5 * time.Second, 16 * time.Second, true},
		{"lowered, rested longer", 20 * time.Second, 5 * time.Second, 21 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithLimits(t, func(t *testing.T, b *testbed) {
				limits := func(idle time.Duration) config.Limits {
					return config.Limits{IdleTimeoutMS: float64(idle.Milliseconds())}
				}
				b.activateLimits(2, limits(test.before))
				kept := b.dialKept(t)
				defer kept.Close()
				if got := kept.status(requestWithHeader(smallHeader)); got != http.StatusOK {
					t.Errorf("first request: status %d", got)
					return
				}
				time.Sleep(time.Second)
				b.activateLimits(3, limits(test.after))
				time.Sleep(test.rest - time.Second)
				if got := kept.status(requestWithHeader(smallHeader)); (got == http.StatusOK) != test.served {
					t.Errorf("second request after %v: status %d, want success %t", test.rest, got, test.served)
				}
			})
		})
	}
}
