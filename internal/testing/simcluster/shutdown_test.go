package simcluster

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// readinessStatus asks a gatherer as the platform does. 0 = it is silent.
func readinessStatus(cluster *Cluster, gateway *GatewayNode) int {
	conn, err := cluster.Network.Host("10.0.9.5").Dial(net.JoinHostPort(gateway.IP, strconv.Itoa(readinessPort)), time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /-/readiness HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", gateway.IP)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A gatherer calls itself ready once it has a configuration and servers, stays so without any core, and no longer from the moment that
// it is told to end.
func TestGatewayReadiness(t *testing.T) {
	runCluster(t, 91, 3, 2, func(cluster *Cluster) {
		gateway := cluster.Gateways[0]
		time.Sleep(2 * time.Second)
		if got := readinessStatus(cluster, gateway); got != http.StatusServiceUnavailable {
			t.Errorf("without a configuration readiness is %d", got)
		}
		commitFirstVersion(t, cluster)
		time.Sleep(1500 * time.Millisecond)
		if got := readinessStatus(cluster, gateway); got != http.StatusOK {
			t.Errorf("with a configuration and servers readiness is %d", got)
		}
		for _, controller := range cluster.Controllers {
			controller.Kill(true)
		}
		for range 20 {
			time.Sleep(time.Second)
			if got := readinessStatus(cluster, gateway); got != http.StatusOK {
				t.Fatalf("without a core readiness is %d", got)
			}
		}
		if response := cluster.SendRequest(gateway, "GET", "h.example", "/one/x", "r1", time.Second); response.Status != http.StatusOK {
			t.Errorf("without a core a request is answered %d", response.Status)
		}
		var gone sync.WaitGroup
		gone.Go(gateway.Shutdown)
		time.Sleep(time.Millisecond)
		if got := readinessStatus(cluster, gateway); got == http.StatusOK {
			t.Error("one that was told to end calls itself ready")
		}
		gone.Wait()
	})
}

// A gatherer that is told to end answers what is open and what still comes, and ends no connection under a request: one that is
// kept is closed behind an answer that says so, or while it rests.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	runCluster(t, 92, 3, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		gateway := cluster.Gateways[0]
		for _, s := range cluster.Servers {
			if s.Service == "once" {
				s.SetServiceTime(1500 * time.Millisecond)
			}
		}
		kept, err := cluster.Network.Host("10.0.9.6").Dial(gateway.PublicAddress(), time.Second)
		requireNoError(t, err)
		defer kept.Close()
		r := bufio.NewReader(kept)
		ask := func(id string) (status int, closes bool) {
			fmt.Fprintf(kept, "GET /one/x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Remaining: 2000\r\nX-Attempt-Id: %s\r\n\r\n", id)
			kept.SetReadDeadline(time.Now().Add(2 * time.Second))
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return 0, true
			}
			resp.Write(discard{})
			resp.Body.Close()
			return resp.StatusCode, resp.Close
		}
		if status, closes := ask("k0"); status != http.StatusOK || closes {
			t.Fatalf("a kept connection is answered %d, closed: %v", status, closes)
		}
		var all sync.WaitGroup
		for i := range 3 { // open when the end is told
			all.Go(func() {
				if response := cluster.SendRequest(gateway, "POST", "h.example", "/once/x", fmt.Sprint("o", i), 2900*time.Millisecond); response.Status != http.StatusOK {
					t.Errorf("LOST: a request that was open is answered %d after %v", response.Status, response.Elapsed)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		all.Go(gateway.Shutdown)
		time.Sleep(30 * time.Millisecond)
		if status, closes := ask("k1"); status != http.StatusOK || !closes {
			t.Errorf("LOST: on a kept connection a request is answered %d, closed: %v", status, closes)
		}
		for i := range 15 { // the platform still sends some
			if response := cluster.SendRequest(gateway, "GET", "h.example", "/one/x", fmt.Sprint("n", i), time.Second); response.Status != http.StatusOK {
				t.Errorf("a request that came %v after the end was told is answered %d", time.Duration(i)*100*time.Millisecond, response.Status)
			}
			time.Sleep(100 * time.Millisecond)
		}
		all.Wait()
	})
}
