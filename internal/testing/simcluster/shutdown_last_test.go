package simcluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// drainTime is the time from the shutdown of a gateway without open requests until it checked its open requests for the last time.
const drainTime = 2550 * time.Millisecond

// A gateway that stopped looked for open requests once and then closed all connections. A request of which some bytes had arrived before
// the end of the drain, and one that was read between the last look and the close, got no response.
func TestShutdownAnswersRequestsThatHaveBegun(t *testing.T) {
	const clients = 60
	runCluster(t, 94, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		gateway := cluster.Gateways[0]
		var pending sync.WaitGroup
		start := time.Now()
		pending.Go(gateway.Shutdown)
		for i := range clients {
			begin := start.Add(drainTime - 30*time.Millisecond + time.Duration(i)*500*time.Microsecond)
			pending.Go(func() {
				id := fmt.Sprint("h", i)
				time.Sleep(time.Until(begin.Add(-20 * time.Millisecond)))
				connection := dialGateway(t, cluster, gateway)
				defer connection.Close()
				time.Sleep(time.Until(begin))
				head := requestHead("GET", "/one/x", id, 2*time.Second) + "\r\n"
				connection.send(t, head[:len(head)/2])
				time.Sleep(200 * time.Millisecond)
				connection.Write([]byte(head[len(head)/2:]))
				response, err := connection.receive(2 * time.Second)
				switch {
				case err != nil && begin.Before(start.Add(drainTime-5*time.Millisecond)):
					t.Errorf("request %s, begun %v after the shutdown: %v", id, begin.Sub(start), err)
				case err == nil && response.StatusCode != http.StatusOK:
					t.Errorf("request %s, begun %v after the shutdown: status %d", id, begin.Sub(start), response.StatusCode)
				}
			})
		}
		pending.Wait()
		if elapsed := time.Since(start); elapsed > gracePeriod {
			t.Errorf("the gateway ends after %v, its grace period is %v", elapsed, gracePeriod)
		}
	})
}
