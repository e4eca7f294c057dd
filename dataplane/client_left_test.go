package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"oxbowspan/internal/settings"
)

// maxStopDelay limits how long a server may still work on a request after its client has disconnected.
const maxStopDelay = 20 * time.Millisecond

// When a client disconnects while its request is in progress, a retryable request is stopped at all servers at once, a
// request that is not retryable runs to completion, and no further attempt of either is sent.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	const disconnectAfter = 30 * time.Millisecond
	for _, test := range []struct {
		name, method, path string
		disconnect         func(net.Conn)
		stopped            bool
		services           []string
	}{
		{"single", "GET", "/one/x", func(c net.Conn) { c.Close() }, true, []string{"one"}},
		{"gathered", "GET", "/all/x", func(c net.Conn) { c.Close() }, true, []string{"a0", "a1"}},
		{"not retryable", "POST", nonRetryablePath + "x", func(c net.Conn) { c.Close() }, false, []string{"once"}},
		{"with a part of a pipelined request sent", "GET", "/one/x", func(c net.Conn) {
			io.WriteString(c, requestText("GET", "/one/y", "next", time.Second)[:40])
			c.Close()
		}, true, []string{"one"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := &recordingServers{serviceTime: 700 * time.Millisecond}
			runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
				conn := b.dialGateway(t)
				io.WriteString(conn, requestText(test.method, test.path, "first", 3*time.Second))
				time.Sleep(disconnectAfter)
				test.disconnect(conn)
				disconnectedAt := time.Now()
				time.Sleep(2 * time.Second)
				attempts := servers.attemptsOf("first")
				var reached []string
				for _, a := range attempts {
					reached = append(reached, a.service)
					if a.arrived.After(disconnectedAt) {
						t.Errorf("%s received an attempt %v after the client disconnected", a.service, a.arrived.Sub(disconnectedAt))
					}
					if stopped := !a.answered && a.ended.Sub(disconnectedAt) < maxStopDelay; stopped != test.stopped {
						t.Errorf("%s: stopped %t %v after the client disconnected, answered %t", a.service, stopped, a.ended.Sub(disconnectedAt), a.answered)
					}
				}
				slices.Sort(reached)
				if !slices.Equal(reached, test.services) {
					t.Errorf("reached %v, want %v", reached, test.services)
				}
			})
		})
	}
}

// When a client disconnects before its request is sent, as the connection to the server is still being dialed, the
// request is not sent to any server.
func TestClientDisconnectBeforeDispatch(t *testing.T) {
	servers := &recordingServers{serviceTime: time.Millisecond}
	slowDials := scenario{Dials: []time.Duration{200 * time.Millisecond}}
	runWithRecordingServers(t, servers, slowDials, settings.Bounds{}, func(t *testing.T, b *testbed) {
		for i, path := range []string{"/one/x", "/all/x", nonRetryablePath + "x"} {
			conn := b.dialGateway(t)
			id := fmt.Sprint("request-", i)
			io.WriteString(conn, requestText("POST", path, id, 3*time.Second))
			time.Sleep(50 * time.Millisecond)
			conn.Close()
			time.Sleep(2 * time.Second)
			if attempts := servers.attemptsOf(id); len(attempts) > 0 {
				t.Errorf("%s was sent to %d servers although its client disconnected before", path, len(attempts))
			}
		}
	})
}

// Requests that arrive while another one waits for its result are answered in order, even if they exceed the read buffer.
func TestPipelinedRequestsAnsweredInOrder(t *testing.T) {
	servers := &recordingServers{serviceTime: 40 * time.Millisecond}
	runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
		const requests = 300
		conn := b.dialGateway(t)
		defer conn.Close()
		go func() {
			for i := range requests {
				io.WriteString(conn, requestText("GET", "/one/x", strconv.Itoa(i), 30*time.Second))
				if i%7 == 0 {
					time.Sleep(3 * time.Millisecond)
				}
			}
		}()
		reader := bufio.NewReader(conn)
		for i := range requests {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("response %d: %v", i, err)
			}
			io.Copy(io.Discard, resp.Body)
			if id := resp.Header.Get("X-Attempt-Id"); resp.StatusCode != http.StatusOK || id != strconv.Itoa(i) {
				t.Fatalf("response %d: status %d, id %q", i, resp.StatusCode, id)
			}
		}
	})
}

// A connection stays usable when results arrive at the moment at which the wait for them begins: the interrupt of one
// request's wait must not fail the read of the next request.
func TestKeepAliveConnectionServesManyRequests(t *testing.T) {
	servers := &recordingServers{serviceTime: time.Millisecond}
	runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
		var clients sync.WaitGroup
		for client := range 8 {
			clients.Go(func() {
				conn := b.dialGateway(t)
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for i := range 200 {
					path := []string{"/one/x", "/nowhere", "/all/x"}[i%3]
					io.WriteString(conn, requestText("GET", path, fmt.Sprint(client, "-", i), 3*time.Second))
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						t.Errorf("client %d, request %d: %v", client, i, err)
						return
					}
					io.Copy(io.Discard, resp.Body)
				}
			})
		}
		clients.Wait()
	})
}

// The deadline forwarded with an attempt, whether the first or a retry, never exceeds the time left of the client's
// deadline and the route's timeout. A request that no server answers is answered by the gateway at most 250 ms after that
// time.
func TestForwardedDeadlineWithinLimits(t *testing.T) {
	const routeTimeout, answerBound = 900 * time.Millisecond, 250 * time.Millisecond
	for _, test := range []struct {
		path   string
		client time.Duration
		silent int // number of first attempts without an answer
	}{
		{"/one/x", 600 * time.Millisecond, 1},
		{"/one/x", 3 * time.Second, 1},
		{"/one/x", 3 * time.Second, 9},
		{"/all/x", 500 * time.Millisecond, 2},
		{"/all/x", 3 * time.Second, 9},
		{nonRetryablePath + "x", 400 * time.Millisecond, 9},
		{nonRetryablePath + "x", 3 * time.Second, 9},
	} {
		name := fmt.Sprintf("%s %v, %d silent", strings.ReplaceAll(test.path, "/", " "), test.client, test.silent)
		t.Run(name, func(t *testing.T) {
			servers := &recordingServers{serviceTime: 5 * time.Millisecond, unansweredRequests: test.silent}
			runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
				conn := b.dialGateway(t)
				defer conn.Close()
				sent := time.Now()
				limit := min(test.client, routeTimeout)
				io.WriteString(conn, requestText("POST", test.path, "q", test.client))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(sent); took > limit+answerBound {
					t.Errorf("status %d after %v, the limit is %v", resp.StatusCode, took, limit)
				}
				attempts := servers.attemptsOf("q")
				if len(attempts) == 0 {
					t.Error("no server was reached")
				}
				for i, a := range attempts {
					left := limit - a.arrived.Sub(sent)
					if a.remaining <= 0 || a.remaining > left+5*time.Millisecond {
						t.Errorf("attempt %d has the deadline %v, %v are left", i, a.remaining, left)
					}
				}
			})
		})
	}
}

// A forwarded failure has the status and the seal of the same server, however many servers failed, and no service
// receives more attempts than the route allows.
func TestFailureComesFromOneServer(t *testing.T) {
	for _, failures := range [][]int{{500}, {500, 502}, {500, 502, 507}, {507, 500, 502, 500, 500}} {
		for _, path := range []string{"/one/x", nonRetryablePath + "x", "/all/x"} {
			t.Run(fmt.Sprintf("%s %v", strings.ReplaceAll(path, "/", " "), failures), func(t *testing.T) {
				servers := &recordingServers{serviceTime: 3 * time.Millisecond, failures: slices.Clone(failures)}
				runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
					conn := b.dialGateway(t)
					defer conn.Close()
					io.WriteString(conn, requestText("POST", path, "q", 800*time.Millisecond))
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						t.Fatal(err)
					}
					seal := resp.Header.Get("X-Server-Seal")
					if resp.StatusCode != http.StatusOK && seal != "" && seal != fmt.Sprint("seal-of-", resp.StatusCode) {
						t.Errorf("status %d has the seal %q", resp.StatusCode, seal)
					}
					reached := map[string]int{}
					for _, a := range servers.attemptsOf("q") {
						reached[a.service]++
					}
					for service, attempts := range reached {
						if attempts > 3 || service == "once" && attempts > 1 {
							t.Errorf("%s received %d attempts", service, attempts)
						}
					}
				})
			})
		}
	}
}

// The attempt limit holds across resets and configuration changes: a request whose attempts all fail is sent to each
// service at most as often as allowed by the version under which it arrived, even if versions that allow more become
// active meanwhile.
func TestAttemptLimitAcrossResetsAndConfigurations(t *testing.T) {
	for _, allowed := range []int{1, 3} {
		for _, path := range []string{"/one/x", "/all/x", nonRetryablePath + "x"} {
			t.Run(fmt.Sprintf("%s %d", strings.ReplaceAll(path, "/", " "), allowed), func(t *testing.T) {
				servers := &recordingServers{serviceTime: 15 * time.Millisecond, malformedEvery: 1}
				runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
					b.activateAttempts(2, allowed)
					time.Sleep(time.Millisecond)
					conn := b.dialGateway(t)
					defer conn.Close()
					io.WriteString(conn, requestText("POST", path, "q", 850*time.Millisecond))
					for version := uint64(3); version < 12; version++ {
						time.Sleep(10 * time.Millisecond)
						b.activateAttempts(version, allowed+5)
					}
					time.Sleep(time.Second)
					reached := map[string]int{}
					for _, a := range servers.attemptsOf("q") {
						reached[a.service]++
					}
					for service, count := range reached {
						if count > allowed || service == "once" && count > 1 {
							t.Errorf("%s received %d attempts, %d are allowed", service, count, allowed)
						}
					}
					if len(reached) == 0 || allowed > 1 && path == "/one/x" && reached["one"] < 2 {
						t.Errorf("reached %v: too few attempts for the test to be conclusive", reached)
					}
				})
			})
		}
	}
}

// activateAttempts activates a configuration version whose routes all allow the given number of attempts.
func (b *testbed) activateAttempts(version uint64, attempts int) {
	c := testConfiguration(version)
	for i := range c.Routes {
		c.Routes[i].Attempts = attempts
	}
	b.gateway.loop.post(func() { b.gateway.activateConfig(c, nil, version) })
}
