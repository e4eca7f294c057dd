package simcluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/config"
)

// What callers grant an acknowledgement, and what they read of it.
const (
	acknowledgementTimeout  = time.Second
	maxAcknowledgementBytes = 4 << 10
)

// heartbeatBody is one heartbeat of a server, said by the test itself.
func heartbeatBody(s *Server, instance, state string, sequence uint64) []byte {
	text, _ := json.Marshal(config.Heartbeat{Service: s.Service, Address: s.Address(), Zone: zoneOf(s.IP), Version: "v1", CapacitySlots: 3,
		State: state, Sequence: sequence})
	return text
}

// timedPost sends one call and returns its status, the bytes of its answer and how long it took. 0 = none within twice the time.
func timedPost(cluster *Cluster, to, path string, body []byte) (status, length int, took time.Duration) {
	host := cluster.networkOf("10.0.9.7")
	client := &http.Client{Timeout: 2 * acknowledgementTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, addr string) (net.Conn, error) { return host.Dial(addr, time.Second) }}}
	defer client.CloseIdleConnections()
	start := time.Now()
	resp, err := client.Post("http://"+to+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, 0, time.Since(start)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0, time.Since(start)
	}
	return resp.StatusCode, len(text), time.Since(start)
}

// Every answer to a heartbeat or a sign-off comes within a second and is short, also where most of the core is cut off or its
// disks stall; what takes a server out is not acknowledged by a machine that cannot tell the others.
func TestServerCallResponseTime(t *testing.T) {
	runCluster(t, 71, 3, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		isolated := cluster.Controllers[0]
		sequence := uint64(1 << 20)
		round := func(when string, alive bool) {
			for _, call := range []struct{ path, state string }{{"heartbeat", "ready"}, {"heartbeat", config.StateDraining}, {"sign-off", ""}} {
				sequence++
				instance := fmt.Sprint("i-", sequence)
				status, length, took := timedPost(cluster, isolated.ControlAddress(), "/-/instances/"+instance+"/"+call.path, heartbeatBody(cluster.Servers[15], instance, call.state, sequence))
				what := when + ": " + call.path + " " + call.state
				if took >= acknowledgementTimeout || length > maxAcknowledgementBytes || status == 0 {
					t.Errorf("%s is answered %d with %d bytes after %v", what, status, length, took)
				}
				if alive && status != http.StatusOK {
					t.Errorf("%s is answered %d", what, status)
				}
				// A sign-off of an instance that was never heard of takes nobody out.
				if !alive && call.state == config.StateDraining && status == http.StatusOK {
					t.Errorf("DRAIN: %s is acknowledged by a machine that cannot tell the others", what)
				}
			}
		}
		round("calm", true)
		for _, controller := range cluster.Controllers {
			controller.Controller.StallDisk(3 * time.Second)
		}
		round("all disks stalled", true)
		time.Sleep(4 * time.Second)
		for _, o := range cluster.Controllers[1:] {
			cluster.Network.SetPartitioned(isolated.IP, o.IP, true)
			cluster.Network.SetPartitioned(o.IP, isolated.IP, true)
		}
		round("just cut off", false)
		time.Sleep(3 * time.Second)
		round("long cut off", false)
		cluster.Network.Heal()
		time.Sleep(3 * time.Second)
		round("healed", true)
		cluster.Controllers[1].Kill(true)
		cluster.Controllers[2].Kill(true)
		round("two without power", false)
	})
}

// A server that leaves serves on long after its draining was acknowledged, and calls on: nothing reaches it later than the
// limit, no gatherer takes it in again, and after its sign-off and end neither.
func TestDrainingServerReceivesNoRequests(t *testing.T) {
	const drainLimit = 3 * time.Second
	runCluster(t, 72, 3, 3, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		draining := cluster.Servers[15] // of service "one"
		instance := draining.Instance
		acked := draining.Drain()
		if acked.IsZero() {
			t.Fatal("a draining has no acknowledgement in a calm time")
		}
		late := 0
		draining.SetOnRequest(func(at time.Time) {
			if at.Sub(acked) > drainLimit {
				late++
			}
		})
		for i := range 60 {
			if response := cluster.SendRequest(cluster.Gateways[i%3], "GET", "h.example", "/one/x", fmt.Sprintf("l%d", i), time.Second); response.Status != http.StatusOK {
				t.Errorf("beside a server that leaves a request is answered %d", response.Status)
			}
			time.Sleep(200 * time.Millisecond)
			if i == 30 { // a late call of before, as one that was held up on its way
				timedPost(cluster, cluster.Controllers[1].ControlAddress(), "/-/instances/"+instance+"/heartbeat", heartbeatBody(draining, instance, "ready", 2))
			}
			if i == 40 {
				if status, _, _ := timedPost(cluster, cluster.Controllers[2].ControlAddress(), "/-/instances/"+instance+"/sign-off", nil); status != http.StatusOK {
					t.Errorf("a sign-off is answered %d", status)
				}
			}
		}
		if late > 0 {
			t.Errorf("DRAIN: %d requests reached a server later than %v after its draining was acknowledged", late, drainLimit)
		}
	})
}

// Eight orders at once on one base, to all machines of the core: one is taken. Each sent again as it was is told the same by every
// machine, and changes nothing.
func TestConcurrentChangesOnOneBase(t *testing.T) {
	for seed := range uint64(4) {
		runCluster(t, 73+seed, 3+2*int(seed%2), 2, func(cluster *Cluster) {
			commitFirstVersion(t, cluster)
			const orders = 8
			base, taken := uint64(1), 0
			for round := range 3 {
				var bodies [orders][]byte
				var statuses [orders]int
				var wg sync.WaitGroup
				for i := range orders {
					bodies[i] = ExampleConfiguration(base+uint64(i)+1, [][]string{FirstSharding, SecondSharding}[i%2])
					wg.Go(func() {
						for attempt := range 20 { // no clear answer: the same again, to another
							to := cluster.Controllers[(i+attempt)%len(cluster.Controllers)]
							if statuses[i] = cluster.ReplaceConfiguration(to, base, bodies[i]); statuses[i] == http.StatusOK || statuses[i]/100 == 4 {
								return
							}
							time.Sleep(time.Duration(50*(i+1)) * time.Millisecond)
						}
					})
				}
				wg.Wait()
				won := -1
				for i, status := range statuses {
					switch {
					case status == http.StatusOK && won >= 0:
						t.Fatalf("CONFIG: orders %d and %d were both acknowledged on version %d", won, i, base)
					case status == http.StatusOK:
						won = i
					case status != http.StatusPreconditionFailed:
						t.Errorf("round %d: order %d ends with %d", round, i, status)
					}
				}
				if won < 0 {
					t.Fatalf("round %d: none of eight orders was acknowledged: %v", round, statuses)
				}
				taken++
				for i := range orders {
					for _, controller := range cluster.Controllers {
						want := http.StatusPreconditionFailed
						if i == won {
							want = http.StatusOK
						}
						if got := cluster.ReplaceConfiguration(controller, base, bodies[i]); got != want {
							t.Errorf("round %d: order %d sent again to %s is answered %d, want %d", round, i, controller.IP, got, want)
						}
					}
				}
				base += uint64(won) + 1
				awaitVersion(t, cluster, base, 3*time.Second)
				if got := currentVersion(t, cluster); got != base {
					t.Fatalf("CONFIG: version %d is read back, %d was acknowledged", got, base)
				}
			}
		})
	}
}

// The first order is sent from before anybody listens, until it is taken. Machines start in any order, the seeds last; later starts
// are told other seeds, of which one is down and one cut off.
func TestSeedsStartLast(t *testing.T) {
	dir := memoryDir(t)
	synctest.Test(t, func(t *testing.T) {
		c := New(dir, 77, 5, 3)
		defer func() {
			c.Network.Heal()
			c.Stop()
			time.Sleep(5 * time.Second)
		}()
		var first sync.WaitGroup
		status := 0
		first.Go(func() { status = replaceWithRetry(c, 0, ExampleConfiguration(1, FirstSharding), 40) })
		for _, gateway := range c.Gateways {
			gateway.Start()
		}
		for i := range c.Controllers { // the first three are the seeds
			time.Sleep(60 * time.Millisecond)
			requireNoError(t, c.Controllers[len(c.Controllers)-1-i].Start())
		}
		c.firstStart = false
		first.Wait()
		if status != http.StatusOK {
			t.Fatalf("the first order, sent until it is taken, ends with %d", status)
		}
		awaitVersion(t, c, 1, 3*time.Second)
		time.Sleep(3 * time.Second)
		c.Controllers[3].Kill(true)
		for i, o := range c.Controllers {
			if i != 4 {
				c.Network.SetPartitioned(c.Controllers[4].IP, o.IP, true)
				c.Network.SetPartitioned(o.IP, c.Controllers[4].IP, true)
			}
		}
		c.SetSeeds(c.Controllers[3], c.Controllers[4], c.Controllers[2])
		c.Gateways[0].Kill(false)
		c.Gateways[0].Start()
		requireNoError(t, c.AddController().Start())
		commitVersion(t, c, 2)
		awaitVersion(t, c, 2, 4*time.Second)
		if got := c.ReadConfiguration(c.Controllers[5]); !bytes.Equal(got, ExampleConfiguration(2, FirstSharding)) {
			t.Errorf("a machine that was told other seeds reads %.40s", got)
		}
	})
}

// Clients stay inside the limits, and take connections up that have rested for four fifths of the idle time; a connection that is
// taken up so is never closed under a request.
func TestRequestsWithinLimits(t *testing.T) {
	runCluster(t, 78, 3, 1, func(cluster *Cluster) {
		var conf config.Configuration
		requireNoError(t, json.Unmarshal(ExampleConfiguration(1, FirstSharding), &conf))
		conf.Limits = config.Limits{HeaderBytes: 8192, BodyBytes: 1 << 16, HeaderTimeoutMS: 2000, IdleTimeoutMS: 4000}
		text, _ := json.Marshal(conf)
		if got := replaceWithRetry(cluster, 0, text, 30); got != http.StatusOK {
			t.Fatal(got)
		}
		awaitVersion(t, cluster, 1, 3*time.Second)
		time.Sleep(3 * time.Second)
		rest := 4 * 4 * time.Second / 5
		conn, err := cluster.Network.Host("10.0.9.6").Dial(cluster.Gateways[0].PublicAddress(), time.Second)
		requireNoError(t, err)
		defer conn.Close()
		r := bufio.NewReader(conn)
		ask := func(what, id, head string, body int, slowly time.Duration) {
			t.Helper()
			text := "POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Remaining: 2900\r\nX-Attempt-Id: " + id + "\r\n" + head +
				fmt.Sprintf("Content-Length: %d\r\n\r\n", body)
			half := len(text) / 2
			_, err := conn.Write([]byte(text[:half]))
			requireNoError(t, err)
			time.Sleep(slowly)
			_, err = conn.Write([]byte(text[half:] + strings.Repeat("b", body)))
			requireNoError(t, err)
			conn.SetReadDeadline(time.Now().Add(4 * time.Second))
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			if resp.StatusCode != http.StatusOK || resp.Close {
				t.Fatalf("%s: answered %d, the connection closed: %v", what, resp.StatusCode, resp.Close)
			}
			resp.Write(discard{})
			resp.Body.Close()
		}
		long := "X-Long: " + strings.Repeat("h", 8192-200) + "\r\n"
		ask("a first request", "c1", "", 0, 0)
		for i := range 3 {
			time.Sleep(rest)
			ask("after four fifths of the idle time", fmt.Sprint("c2", i), "", 0, 0)
		}
		ask("the longest header", "c3", long, 0, 0)
		ask("the longest body", "c4", "", 1<<16, 0)
		ask("a slow header", "c5", long, 0, 1800*time.Millisecond)
		time.Sleep(rest)
		ask("all at once after a rest", "c6", long, 1<<16, 1800*time.Millisecond)
	})
}
