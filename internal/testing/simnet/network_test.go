package simnet

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	clientIP      = "10.0.0.1"
	serverIP      = "10.0.0.2"
	serverAddress = serverIP + ":80"
	latency       = 10 * time.Millisecond
	dialTimeout   = time.Second
)

// connection is an established connection between clientIP and serverIP.
type connection struct {
	network        *Network
	client, server net.Conn
}

// withConnection runs a test on an established connection, inside a synctest bubble.
func withConnection(t *testing.T, test func(t *testing.T, c connection)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := New(func(string, string) time.Duration { return latency })
		listener, err := network.Host(serverIP).Listen(serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		client, err := network.Host(clientIP).Dial(serverAddress, dialTimeout)
		if err != nil {
			t.Fatal(err)
		}
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		test(t, connection{network: network, client: client, server: server})
	})
}

// write sends text and ends the test if the write fails or is short.
func write(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if n, err := to.Write([]byte(text)); n != len(text) || err != nil {
		t.Fatalf("Write(%q) = %d, %v", text, n, err)
	}
}

// expectRead reads len(want) bytes and checks both the bytes and the time that the read took.
func expectRead(t *testing.T, from net.Conn, want string, wantElapsed time.Duration) {
	t.Helper()
	start := time.Now()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(from, got); err != nil || string(got) != want {
		t.Fatalf("read %q, %v; want %q", got, err, want)
	}
	if elapsed := time.Since(start); elapsed != wantElapsed {
		t.Errorf("read %q after %v, want %v", want, elapsed, wantElapsed)
	}
}

// expectReadError checks that the next read returns no bytes and the wanted error.
func expectReadError(t *testing.T, from net.Conn, want error) {
	t.Helper()
	if n, err := from.Read(make([]byte, 1)); n != 0 || !errors.Is(err, want) {
		t.Fatalf("Read = %d, %v; want %v", n, err, want)
	}
}

func TestBytesArriveInOrderAfterLatency(t *testing.T) {
	withConnection(t, func(t *testing.T, c connection) {
		write(t, c.client, "one")
		c.network.SetExtraDelay(clientIP, serverIP, 5*latency)
		write(t, c.client, "two")
		expectRead(t, c.server, "one", latency)
		expectRead(t, c.server, "two", 5*latency)
	})
}

func TestPartitionHoldsBytesBack(t *testing.T) {
	withConnection(t, func(t *testing.T, c connection) {
		const healAfter = 3 * time.Second
		c.network.SetPartitioned(clientIP, serverIP, true)
		write(t, c.client, "held")
		write(t, c.server, "other direction")
		expectRead(t, c.client, "other direction", latency)
		go func() {
			time.Sleep(healAfter)
			c.network.Heal()
		}()
		expectRead(t, c.server, "held", healAfter)
	})
}

func TestReadAfterEndOfConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(c connection)
		want error
	}{
		{"peer closes", func(c connection) { c.client.Close() }, io.EOF},
		{"peer process killed", func(c connection) { c.network.Kill(clientIP, false) }, syscall.ECONNRESET},
		{"closed here", func(c connection) { c.server.Close() }, net.ErrClosed},
		{"peer without power", func(c connection) { c.network.Kill(clientIP, true) }, os.ErrDeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			withConnection(t, func(t *testing.T, c connection) {
				test.end(c)
				c.server.SetReadDeadline(time.Now().Add(time.Second))
				expectReadError(t, c.server, test.want)
			})
		})
	}
}

func TestReadOfNoBytes(t *testing.T) {
	withConnection(t, func(t *testing.T, c connection) {
		write(t, c.client, "x")
		time.Sleep(latency)
		if n, err := c.server.Read(nil); n != 0 || err != nil {
			t.Errorf("Read(nil) = %d, %v", n, err)
		}
		expectRead(t, c.server, "x", 0)
	})
}

func TestHalfOpenConnectionIsResetOnWrite(t *testing.T) {
	withConnection(t, func(t *testing.T, c connection) {
		c.network.Kill(serverIP, true)
		write(t, c.client, "sent without power")
		c.network.PowerOn(serverIP)
		write(t, c.client, "half open")
		expectReadError(t, c.client, syscall.ECONNRESET)
	})
}

func TestDialFailures(t *testing.T) {
	for _, test := range []struct {
		name        string
		prepare     func(n *Network)
		want        error
		wantElapsed time.Duration
	}{
		{"no listener", func(n *Network) { n.Kill(serverIP, false) }, syscall.ECONNREFUSED, 2 * latency},
		{"request partitioned", func(n *Network) { n.SetPartitioned(clientIP, serverIP, true) }, os.ErrDeadlineExceeded, dialTimeout},
		{"reply partitioned", func(n *Network) { n.SetPartitioned(serverIP, clientIP, true) }, os.ErrDeadlineExceeded, dialTimeout},
		{"no power", func(n *Network) { n.Kill(serverIP, true) }, os.ErrDeadlineExceeded, dialTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			withConnection(t, func(t *testing.T, c connection) {
				test.prepare(c.network)
				start := time.Now()
				_, err := c.network.Host(clientIP).Dial(serverAddress, dialTimeout)
				if elapsed := time.Since(start); !errors.Is(err, test.want) || elapsed != test.wantElapsed {
					t.Errorf("Dial fails with %v after %v, want %v after %v", err, elapsed, test.want, test.wantElapsed)
				}
			})
		})
	}
}

func TestListenOnUsedAddress(t *testing.T) {
	withConnection(t, func(t *testing.T, c connection) {
		if _, err := c.network.Host(serverIP).Listen(serverAddress); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("second Listen: %v, want %v", err, syscall.EADDRINUSE)
		}
	})
}
