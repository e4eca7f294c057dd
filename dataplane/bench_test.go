package dataplane

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/rs/zerolog"

	"oxbowspan/config"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// BenchmarkRequest sends requests sequentially from a client through a gateway to a server over loopback, with the names of header fields in
// canonical and in lower case.
func BenchmarkRequest(b *testing.B) {
	for _, form := range []struct{ name, header string }{
		{"canonical", "Host: h\r\nX-Deadline-Remaining: 900\r\nX-Attempt-Id: "},
		{"lower case", "host: h\r\nx-deadline-remaining: 900\r\nx-attempt-id: "},
	} {
		b.Run(form.name, func(b *testing.B) { benchmarkRequest(b, form.header) })
	}
}

// benchmarkRequest sends requests whose header ends with the attempt id.
func benchmarkRequest(b *testing.B, header string) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go answerRequests(c)
		}
	}()
	options := &settings.Settings{IPAddress: "127.0.0.1", Zone: "z", InternalPorts: []int{7000, 7010}, FirstStart: true}
	g := New(options, network.TCP{}, zerolog.Nop())
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g.process.goroutines.Go(func() { g.loop.run(g) })
	g.process.goroutines.Go(func() { g.front.serve(front) })
	g.loop.post(func() {
		g.activateConfig(&config.Configuration{Version: 1, Services: []config.Service{{Name: "s"}}, Routes: []config.Route{
			{Hostname: "h", PathPrefix: "/", RouteKind: config.Retryable, TimeoutMS: 900, TargetMS: 90, Service: "s", Attempts: 2}}}, nil, 1)
		g.applyReports(&rpc.Update{Full: true, HasQuorum: true, Warm: true, Reports: []*rpc.ServerReport{
			{Instance: "i", Service: "s", Address: server.Addr().String(), Zone: "z", State: uint32(registry.Ready), Sequence: 1}}})
	})
	c, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	r := bufio.NewReader(c)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c.Write([]byte("GET /x HTTP/1.1\r\n" + header + strconv.Itoa(1000000+i) + "\r\n\r\n"))
		if err := skipResponse(r); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	c.Close()
	front.Close()
	server.Close()
	g.front.conns.closeAll()
	g.loop.stop()
	g.process.goroutines.Wait()
}

// answerRequests responds to requests without a body and returns the attempt id of each.
func answerRequests(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	id := ""
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		const name = "X-Attempt-Id: "
		if len(line) > len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			id = string(bytes.TrimSpace(line[len(name):]))
		}
		if len(line) == 2 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nab")
		}
	}
}

// skipResponse reads a response with a body of two bytes.
func skipResponse(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 {
			_, err := r.Discard(2)
			return err
		}
	}
}
