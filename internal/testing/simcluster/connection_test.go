package simcluster

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Requests one behind the other on one connection: without a body, with a body on a GET that looks like a request, in chunks.
// Each has its own answer, in order, and what only stands in a body is never run.
func TestPipelinedRequests(t *testing.T) {
	runCluster(t, 40, 3, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		conn, err := cluster.Network.Host("10.0.9.6").Dial(cluster.Gateways[0].PublicAddress(), time.Second)
		requireNoError(t, err)
		defer conn.Close()
		hidden := "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"
		head := func(method, path, id string) string {
			return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Remaining: 900\r\nX-Attempt-Id: " + id + "\r\n"
		}
		ids := []string{"p1", "p2", "p3", "p4", "p5"}
		_, err = conn.Write([]byte(head("POST", "/once/a", ids[0]) + "\r\n" +
			head("GET", "/one/b", ids[1]) + "Content-Length: " + "83" + "\r\n\r\n" + hidden +
			head("POST", "/once/c", ids[2]) + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" +
			head("DELETE", "/once/d", ids[3]) + "\r\n" +
			head("GET", "/one/e", ids[4]) + "\r\n"))
		requireNoError(t, err)
		if len(hidden) != 83 {
			t.Fatalf("the hidden request has %d bytes", len(hidden))
		}
		r := bufio.NewReader(conn)
		for _, id := range ids {
			conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("%s: %v", id, err)
			}
			stamp := resp.Header.Get("X-Server-Seal")
			if resp.StatusCode != http.StatusOK || !strings.HasSuffix(stamp, "."+id) {
				t.Fatalf("%s is answered %d with stamp %q", id, resp.StatusCode, stamp)
			}
			resp.Write(discard{})
			resp.Body.Close()
		}
		// Behind the last chunk: fields are skipped; a request is none, and ends the connection.
		again, err := cluster.Network.Host("10.0.9.6").Dial(cluster.Gateways[0].PublicAddress(), time.Second)
		requireNoError(t, err)
		defer again.Close()
		_, err = again.Write([]byte(head("POST", "/once/f", "t1") + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Attempt-Id: other\r\n\r\n" +
			head("GET", "/one/g", "t2") + "\r\n" +
			head("POST", "/once/h", "t3") + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + hidden))
		requireNoError(t, err)
		r = bufio.NewReader(again)
		for _, want := range []struct {
			id     string
			status int
		}{{"t1", http.StatusOK}, {"t2", http.StatusOK}, {"t3", http.StatusBadRequest}} {
			again.SetReadDeadline(time.Now().Add(2 * time.Second))
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("%s: %v", want.id, err)
			}
			if stamp := resp.Header.Get("X-Server-Seal"); resp.StatusCode != want.status || want.status == http.StatusOK && !strings.HasSuffix(stamp, "."+want.id) {
				t.Fatalf("%s is answered %d with stamp %q", want.id, resp.StatusCode, stamp)
			}
			resp.Write(discard{})
			resp.Body.Close()
		}
		if _, err := r.ReadByte(); err == nil {
			t.Fatal("MIXED: something follows the answer to a request that can't be read")
		}
		if cluster.RequestLog.Executions("once", "hidden")+cluster.RequestLog.Executions("one", "hidden") != 0 {
			t.Fatal("UNASKED: a request that stood in another's body was run")
		}
	})
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// Idle connections past half of the descriptors make room for new ones, and requests are served all the while.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	runCluster(t, 41, 3, 1, func(cluster *Cluster) {
		cluster.Gateways[0].Kill(false)
		cluster.fileDescriptors = 40
		cluster.Gateways[0].Start()
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		for i := range 100 {
			conn, err := cluster.Network.Host("10.0.9.6").Dial(cluster.Gateways[0].PublicAddress(), time.Second)
			requireNoError(t, err)
			defer conn.Close()
			if i%10 == 9 {
				if response := cluster.SendRequest(cluster.Gateways[0], "GET", "h.example", "/one/x", "room", time.Second); response.Status != http.StatusOK {
					t.Fatalf("beside %d idle connections a request is answered %d", i+1, response.Status)
				}
			}
		}
	})
}
