package idleconn

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// testTimeout limits how long a test waits for an event or for I/O.
const testTimeout = 10 * time.Second

// notification is one call of a set's onReadable.
type notification struct {
	value uint32
	fd    int
}

// newSet starts a set whose notifications are sent to the returned channel.
func newSet(t *testing.T) (*Set, <-chan notification) {
	t.Helper()
	notifications := make(chan notification, 10)
	set, err := New(func(value uint32, fd int) { notifications <- notification{value, fd} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(set.Stop)
	return set, notifications
}

// connect returns both ends of a TCP connection. The client's end is closed at the end of the test; the caller must close or
// park the server's end.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// wait waits for the next notification and checks it.
func wait(t *testing.T, notifications <-chan notification, want notification) {
	t.Helper()
	select {
	case got := <-notifications:
		if got != want {
			t.Fatalf("notified of %+v, want %+v", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatal("not notified")
	}
}

func TestParkAndUnpark(t *testing.T) {
	set, notifications := newSet(t)
	client, server := connect(t)
	address := server.RemoteAddr().String()
	fd, err := set.Park(server, 7)
	if err != nil {
		t.Fatal(err)
	}
	if got := RemoteAddr(fd); got != address {
		t.Errorf("RemoteAddr returned %s, want %s", got, address)
	}
	if readable, closeErr := Peek(fd); readable || closeErr != nil {
		t.Errorf("an idle connection: readable %t, error %v", readable, closeErr)
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	wait(t, notifications, notification{7, fd})
	if readable, closeErr := Peek(fd); !readable || closeErr != nil {
		t.Errorf("after a write: readable %t, error %v", readable, closeErr)
	}
	if err := set.Rearm(fd, 8); err != nil {
		t.Fatal(err)
	}
	wait(t, notifications, notification{8, fd}) // the byte is still unread
	conn, err := set.Unpark(fd)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	var b [1]byte
	if _, err := io.ReadFull(conn, b[:]); err != nil || b[0] != 'x' {
		t.Errorf("after Unpark read %q, %v", b, err)
	}
}

func TestPeekOfClosedConnection(t *testing.T) {
	set, notifications := newSet(t)
	client, server := connect(t)
	fd, err := set.Park(server, 1)
	if err != nil {
		t.Fatal(err)
	}
	client.Close()
	wait(t, notifications, notification{1, fd})
	if readable, closeErr := Peek(fd); readable || !errors.Is(closeErr, io.EOF) {
		t.Errorf("a connection that the peer closed: readable %t, error %v", readable, closeErr)
	}
	set.Close(fd)
}

func TestReject(t *testing.T) {
	set, notifications := newSet(t)
	client, server := connect(t)
	fd, err := set.Park(server, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write([]byte("a request")); err != nil {
		t.Fatal(err)
	}
	wait(t, notifications, notification{1, fd})
	set.Reject(fd, []byte("rejected"))
	if response, err := io.ReadAll(client); err != nil || string(response) != "rejected" {
		t.Errorf("the client received %q, %v", response, err)
	}
}

func TestHasPendingConn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if HasPendingConn(l) {
		t.Error("a connection is pending before any has been opened")
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for deadline := time.Now().Add(testTimeout); !HasPendingConn(l); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection is pending")
		}
	}
}
