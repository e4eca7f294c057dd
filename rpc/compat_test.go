package rpc_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"oxbowspan/internal/network"
	"oxbowspan/rpc"
)

// compatFile returns a recorded frame.
func compatFile(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "compat", name+".bin"))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// compatFrame returns a copy of a frame with the id and response flag that its receiver is expected to read.
func compatFrame(f *rpc.Frame, id uint64, response bool) *rpc.Frame {
	clone := proto.Clone(f).(*rpc.Frame)
	clone.Id, clone.Response = id, response
	return clone
}

// checkCompatFrame compares a decoded frame with the one that the earlier release sent.
func checkCompatFrame(t *testing.T, got, want *rpc.Frame) {
	t.Helper()
	if !proto.Equal(got, want) {
		t.Errorf("read\n%v\nwant\n%v", got, want)
	}
	checkNoUnknownFields(t, got.ProtoReflect())
}

// checkNoUnknownFields reports fields whose numbers this release does not define.
func checkNoUnknownFields(t *testing.T, m protoreflect.Message) {
	t.Helper()
	if len(m.GetUnknown()) > 0 {
		t.Errorf("%s has unknown fields %x", m.Descriptor().Name(), m.GetUnknown())
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil:
		case f.IsList():
			for i := range v.List().Len() {
				checkNoUnknownFields(t, v.List().Get(i).Message())
			}
		default:
			checkNoUnknownFields(t, v.Message())
		}
		return true
	})
}

// compatTimeout limits how long a test waits for its peer.
const compatTimeout = 10 * time.Second

func listenCompat(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// TestCompatClient checks the client against recorded frames: its requests must be the bytes that the earlier release
// sent, and it must decode that release's replies.
func TestCompatClient(t *testing.T) {
	for _, e := range compatExchanges() {
		t.Run(e.name, func(t *testing.T) {
			l := listenCompat(t)
			wantRequest, reply := compatFile(t, e.name), compatFile(t, e.replyName)
			received := make(chan []byte, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					close(received)
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(compatTimeout))
				request := make([]byte, len(wantRequest))
				n, _ := io.ReadFull(c, request)
				received <- request[:n]
				c.Write(reply)
				io.Copy(io.Discard, c) // until the client ends the connection
			}()
			pushed := make(chan *rpc.Frame, 1)
			client := &rpc.Client{Address: l.Addr().String(), Network: network.TCP{}, OnMessage: func(f *rpc.Frame) { pushed <- f }}
			defer client.Close()
			got := callCompat(t, client, e, pushed)
			if request := <-received; !bytes.Equal(request, wantRequest) {
				t.Errorf("request:\n%x, want\n%x", request, wantRequest)
			}
			if e.pushed {
				checkCompatFrame(t, got, compatFrame(e.reply, 0, false))
				return
			}
			checkCompatFrame(t, got, compatFrame(e.reply, 1, true))
		})
	}
}

// callCompat sends an exchange's request and returns the frame that comes back.
func callCompat(t *testing.T, client *rpc.Client, e compatExchange, pushed <-chan *rpc.Frame) *rpc.Frame {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), compatTimeout)
	defer cancel()
	if !e.pushed {
		got, err := client.Call(ctx, e.request)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	go client.Call(ctx, e.request) // it gets no response, so its result is not awaited
	select {
	case got := <-pushed:
		return got
	case <-ctx.Done():
		t.Fatal("no message was pushed")
		return nil
	}
}

// TestCompatServer checks the server against recorded frames: it must decode the requests of the earlier release, and
// its replies must be the bytes that that release sent.
func TestCompatServer(t *testing.T) {
	for _, e := range compatExchanges() {
		t.Run(e.name, func(t *testing.T) {
			l := listenCompat(t)
			requests := make(chan *rpc.Frame, 1)
			server := &rpc.Server{Handle: func(c *rpc.Conn, f *rpc.Frame) {
				requests <- f
				if e.pushed {
					c.Send(e.reply)
					return
				}
				c.Respond(f.Id, e.reply)
			}}
			go server.Serve(l)
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(compatTimeout))
			if _, err := c.Write(compatFile(t, e.name)); err != nil {
				t.Fatal(err)
			}
			wantReply := compatFile(t, e.replyName)
			reply := make([]byte, len(wantReply))
			if _, err := io.ReadFull(c, reply); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(reply, wantReply) {
				t.Errorf("reply:\n%x, want\n%x", reply, wantReply)
			}
			if int(binary.BigEndian.Uint32(reply)) != len(reply)-4 {
				t.Errorf("the reply's length is %d of %d bytes", binary.BigEndian.Uint32(reply), len(reply)-4)
			}
			checkCompatFrame(t, <-requests, compatFrame(e.request, 1, false))
		})
	}
}

// TestCompatExchangesSetEveryField checks that the recorded frames cover the schema: every message kind of a frame and
// every field of every message. Fields added since the recording must be listed here, as the earlier release does not
// have them.
func TestCompatExchangesSetEveryField(t *testing.T) {
	added := map[protoreflect.FullName]bool{
		"rpc.Gossip.rollouts":              true,
		"rpc.Poll.rollouts":                true,
		"rpc.GatewayRollouts.incarnation":  true,
		"rpc.GatewayRollouts.sequence":     true,
		"rpc.GatewayRollouts.rollouts":     true,
		"rpc.RolloutReport.service":        true,
		"rpc.RolloutReport.number":         true,
		"rpc.RolloutReport.step":           true,
		"rpc.RolloutReport.open_old":       true,
		"rpc.RolloutReport.routes":         true,
		"rpc.RouteOutcomes.route":          true,
		"rpc.RouteOutcomes.old_answers":    true,
		"rpc.RouteOutcomes.old_bad":        true,
		"rpc.RouteOutcomes.new_answers":    true,
		"rpc.RouteOutcomes.new_bad":        true,
		"rpc.Controller.stores_departures": true,
		"rpc.Gossip.reports_cursor":        true,
		"rpc.Gossip.stored_cursor":         true,
		"rpc.Gossip.complete_reports":      true,
		"rpc.Gossip.to_incarnation":        true,
		"rpc.GossipReply.stored_cursor":    true,
	}
	set := map[protoreflect.FullName]bool{}
	var visit func(m protoreflect.Message)
	visit = func(m protoreflect.Message) {
		m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
			set[f.FullName()] = true
			switch {
			case f.Message() == nil:
			case f.IsList():
				for i := range v.List().Len() {
					visit(v.List().Get(i).Message())
				}
			default:
				visit(v.Message())
			}
			return true
		})
	}
	for _, e := range compatExchanges() {
		visit(compatFrame(e.request, 1, false).ProtoReflect())
		visit(compatFrame(e.reply, 1, true).ProtoReflect())
	}
	messages := (&rpc.Frame{}).ProtoReflect().Descriptor().ParentFile().Messages()
	for i := range messages.Len() {
		fields := messages.Get(i).Fields()
		for k := range fields.Len() {
			if name := fields.Get(k).FullName(); !set[name] && !added[name] {
				t.Errorf("%s is set in no recorded frame", name)
			}
		}
	}
}
