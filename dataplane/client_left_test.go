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

// stopBound is how long after its client has left a server may still work on a request.
const stopBound = 20 * time.Millisecond

// A client that leaves while its request waits ends it at once: what may be repeated is stopped at all servers, what may not runs
// on, and neither reaches a server again.
func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	const leavesAfter = 30 * time.Millisecond
	for _, test := range []struct {
		name, method, path string
		leave              func(net.Conn)
		stopped            bool
		services           []string
	}{
		{"single", "GET", "/one/x", func(c net.Conn) { c.Close() }, true, []string{"one"}},
		{"gathered", "GET", "/all/x", func(c net.Conn) { c.Close() }, true, []string{"a0", "a1"}},
		{"not repeatable", "POST", oncePath + "x", func(c net.Conn) { c.Close() }, false, []string{"once"}},
		{"behind the bytes of a next request", "GET", "/one/x", func(c net.Conn) {
			io.WriteString(c, requestText("GET", "/one/y", "next", time.Second)[:40])
			c.Close()
		}, true, []string{"one"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := &recordingServers{serviceTime: 700 * time.Millisecond}
			runWithRecordingServers(t, servers, scenario{}, settings.Bounds{}, func(t *testing.T, b *testbed) {
				conn := b.dialGateway(t)
				io.WriteString(conn, requestText(test.method, test.path, "first", 3*time.Second))
				time.Sleep(leavesAfter)
				test.leave(conn)
				left := time.Now()
				time.Sleep(2 * time.Second)
				attempts := servers.seen("first")
				var reached []string
				for _, a := range attempts {
					reached = append(reached, a.service)
					if a.arrived.After(left) {
						t.Errorf("%s is reached %v after the client left", a.service, a.arrived.Sub(left))
					}
					if stopped := !a.answered && a.ended.Sub(left) < stopBound; stopped != test.stopped {
						t.Errorf("%s: stopped %t %v after the client left, answered %t", a.service, stopped, a.ended.Sub(left), a.answered)
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

// A client that leaves before its request is sent, as no connection is there yet, has it sent to nobody.
func TestClientThatLeavesBeforeDispatch(t *testing.T) {
	servers := &recordingServers{serviceTime: time.Millisecond}
	slowDials := scenario{Dials: []time.Duration{200 * time.Millisecond}}
	runWithRecordingServers(t, servers, slowDials, settings.Bounds{}, func(t *testing.T, b *testbed) {
		for i, path := range []string{"/one/x", "/all/x", oncePath + "x"} {
			conn := b.dialGateway(t)
			id := fmt.Sprint("request-", i)
			io.WriteString(conn, requestText("POST", path, id, 3*time.Second))
			time.Sleep(50 * time.Millisecond)
			conn.Close()
			time.Sleep(2 * time.Second)
			if attempts := servers.seen(id); len(attempts) > 0 {
				t.Errorf("%s reaches %d servers though its client left before", path, len(attempts))
			}
		}
	})
}

// Requests that come while one waits are kept, and answered in their order; more than the buffer holds is read later.
func TestRequestsBehindOneThatWaits(t *testing.T) {
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

// Connections whose requests are answered at the moment at which the wait for them begins go on; the interrupted wait of one request
// never ends the next.
func TestKeptConnectionOutlivesManyRequests(t *testing.T) {
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

// No attempt is told more time than is left of the client's and the route's, neither the first nor a further one; and what nobody
// answers is answered by then, a quarter of a second later at most.
func TestTimeLeftOnTheWire(t *testing.T) {
	const routeTimeout, answerBound = 900 * time.Millisecond, 250 * time.Millisecond
	for _, test := range []struct {
		path   string
		client time.Duration
		silent int // first attempts without an answer
	}{
		{"/one/x", 600 * time.Millisecond, 1},
		{"/one/x", 3 * time.Second, 1},
		{"/one/x", 3 * time.Second, 9},
		{"/all/x", 500 * time.Millisecond, 2},
		{"/all/x", 3 * time.Second, 9},
		{oncePath + "x", 400 * time.Millisecond, 9},
		{oncePath + "x", 3 * time.Second, 9},
	} {
		name := fmt.Sprintf("%s %v, %d silent", strings.ReplaceAll(test.path, "/", " "), test.client, test.silent)
		t.Run(name, func(t *testing.T) {
			servers := &recordingServers{serviceTime: 5 * time.Millisecond, silent: test.silent}
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
					t.Errorf("answered with %d after %v, the limit is %v", resp.StatusCode, took, limit)
				}
				attempts := servers.seen("q")
				if len(attempts) == 0 {
					t.Error("no server was reached")
				}
				for i, a := range attempts {
					left := limit - a.arrived.Sub(sent)
					if a.remaining <= 0 || a.remaining > left+5*time.Millisecond {
						t.Errorf("attempt %d is told %v, %v are left", i, a.remaining, left)
					}
				}
			})
		})
	}
}

// A failure bears the status and the seal of one and the same server, however many servers failed, and nobody is reached by more
// attempts than the route allows.
func TestFailureIsOneServersOwn(t *testing.T) {
	for _, failures := range [][]int{{500}, {500, 502}, {500, 502, 507}, {507, 500, 502, 500, 500}} {
		for _, path := range []string{"/one/x", oncePath + "x", "/all/x"} {
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
						t.Errorf("status %d bears %q", resp.StatusCode, seal)
					}
					reached := map[string]int{}
					for _, a := range servers.seen("q") {
						reached[a.service]++
					}
					for service, attempts := range reached {
						if attempts > 3 || service == "once" && attempts > 1 {
							t.Errorf("%s is reached by %d attempts", service, attempts)
						}
					}
				})
			})
		}
	}
}

// Attempts are counted across resets and new configurations: a request whose every attempt is broken off reaches each service as often
// as the version allows under which it came, though versions that allow more become active meanwhile.
func TestAttemptsAcrossResetsAndConfigurations(t *testing.T) {
	for _, allowed := range []int{1, 3} {
		for _, path := range []string{"/one/x", "/all/x", oncePath + "x"} {
			t.Run(fmt.Sprintf("%s %d", strings.ReplaceAll(path, "/", " "), allowed), func(t *testing.T) {
				servers := &recordingServers{serviceTime: 15 * time.Millisecond, broken: 1}
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
					for _, a := range servers.seen("q") {
						reached[a.service]++
					}
					for service, count := range reached {
						if count > allowed || service == "once" && count > 1 {
							t.Errorf("%s is reached by %d attempts, %d are allowed", service, count, allowed)
						}
					}
					if len(reached) == 0 || allowed > 1 && path == "/one/x" && reached["one"] < 2 {
						t.Errorf("reached %v: the test shows nothing", reached)
					}
				})
			})
		}
	}
}

// activateAttempts makes a version active whose routes all allow so many attempts.
func (b *testbed) activateAttempts(version uint64, attempts int) {
	c := testConfiguration(version)
	for i := range c.Routes {
		c.Routes[i].Attempts = attempts
	}
	b.gateway.loop.post(func() { b.gateway.activateConfig(c, nil, version) })
}
