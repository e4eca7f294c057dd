package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"oxbowspan/internal/network"
)

// startServer runs a server on a loopback port until the test ends and returns its address.
func startServer(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Serve(l)
	}()
	t.Cleanup(func() {
		l.Close()
		<-stopped
	})
	return l.Addr().String()
}

func pollFrame(slot uint64) *Frame { return &Frame{Body: &Frame_Poll{Poll: &Poll{Slot: slot}}} }

func updateFrame(slot uint64) *Frame { return &Frame{Body: &Frame_Update{Update: &Update{Slot: slot}}} }

func TestClientReceivesTheResponseToItsRequest(t *testing.T) {
	var first *Frame
	server := &Server{Handle: func(c *Conn, f *Frame) {
		if first == nil { // responds to the first request after the second
			first = f
			return
		}
		c.Respond(f.Id, updateFrame(f.GetPoll().GetSlot()))
		c.Respond(first.Id, updateFrame(first.GetPoll().GetSlot()))
	}}
	client := &Client{Address: startServer(t, server), Network: network.TCP{}}
	defer client.Close()
	failures := make(chan error, 2)
	for slot := range uint64(2) {
		go func() {
			response, err := client.Call(t.Context(), pollFrame(slot+1))
			if err == nil && response.GetUpdate().GetSlot() != slot+1 {
				err = errors.New("the response is that of another request")
			}
			failures <- err
		}()
	}
	for range 2 {
		if err := <-failures; err != nil {
			t.Error(err)
		}
	}
	if !client.Connected() {
		t.Error("the client is not connected after the calls")
	}
}

func TestClientCallFails(t *testing.T) {
	t.Run("with ErrTimeout when no response arrives", func(t *testing.T) {
		client := &Client{Address: startServer(t, &Server{Handle: func(*Conn, *Frame) {}}), Network: network.TCP{}}
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := client.Call(ctx, pollFrame(1)); !errors.Is(err, ErrTimeout) {
			t.Errorf("got %v, want %v", err, ErrTimeout)
		}
	})
	t.Run("with ErrClosed when the server closes the connection", func(t *testing.T) {
		client := &Client{Address: startServer(t, &Server{Handle: func(c *Conn, _ *Frame) { c.Close() }}), Network: network.TCP{}}
		defer client.Close()
		if _, err := client.Call(t.Context(), pollFrame(1)); !errors.Is(err, ErrClosed) {
			t.Errorf("got %v, want %v", err, ErrClosed)
		}
	})
	t.Run("with ErrClosed after Close", func(t *testing.T) {
		client := &Client{Address: startServer(t, &Server{Handle: func(*Conn, *Frame) {}}), Network: network.TCP{}}
		client.Close()
		if _, err := client.Call(t.Context(), pollFrame(1)); !errors.Is(err, ErrClosed) {
			t.Errorf("got %v, want %v", err, ErrClosed)
		}
	})
}

func TestServerRejectsConnectionWithoutPreface(t *testing.T) {
	closed := make(chan struct{})
	server := &Server{
		Handle:  func(*Conn, *Frame) { t.Error("a frame was handled without a preface") },
		OnClose: func(*Conn) { close(closed) },
	}
	conn, err := net.Dial("tcp", startServer(t, server))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-closed
	if n := server.HandshakeFailures.Load(); n != 1 {
		t.Errorf("%d handshake failures, want 1", n)
	}
}

func TestReadFrameRejectsOversizedFrame(t *testing.T) {
	header := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	_, _, err := readFrame(bufio.NewReader(bytes.NewReader(header)), nil)
	var tooLarge *FrameTooLargeError
	if !errors.As(err, &tooLarge) || tooLarge.Bytes != MaxFrameBytes+1 {
		t.Errorf("got %v, want a FrameTooLargeError of %d bytes", err, MaxFrameBytes+1)
	}
}
