package experiment

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// BenchmarkAcceptRequest measures the size and the encoding time of an accept request that carries a configuration, by the
// number of earlier versions and of routes, for docs/CAPACITY.md:
//
//	go test -run xxx -bench AcceptRequest -benchmem ./internal/testing/experiment
func BenchmarkAcceptRequest(b *testing.B) {
	for _, routes := range []int{10, 1000, 10_000} {
		body := hollowConfig(1, routes)
		for _, versions := range []int{1, 100, 1000, 10_000} {
			v := consensus.Genesis([]consensus.Member{{ID: 1, Address: "10.0.0.1:7100"}, {ID: 2, Address: "10.0.0.2:7100"}, {ID: 3, Address: "10.0.0.3:7100"}})
			for i := range versions {
				sum := sha256.Sum256(fmt.Append(nil, i))
				v, _ = consensus.ChangeRequest{Version: consensus.Version(i + 1), BasedOn: consensus.Version(i), Digest: string(sum[:]), Body: body}.Evaluate(v)
			}
			b.Run(fmt.Sprintf("routes=%d/versions=%d", routes, versions), func(b *testing.B) {
				b.ReportAllocs()
				var text []byte
				for b.Loop() {
					var err error
					if text, err = proto.Marshal(&rpc.Accept{Value: rpc.ValueToProto(v, "")}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(text)), "bytes")
				b.ReportMetric(float64(len(text)-len(body)), "bytes-beside-the-configuration")
			})
		}
	}
}

// BenchmarkLoadReport measures the size of one report of pending shard calls from a gateway to a subscriber, by the number of
// servers with pending calls:
//
//	go test -run xxx -bench LoadReport -benchmem ./internal/testing/experiment
func BenchmarkLoadReport(b *testing.B) {
	for _, servers := range []int{10, 100, 1000, 16_900} {
		m := &rpc.LoadReport{Incarnation: 1 << 60}
		for i := range servers {
			m.Loads = append(m.Loads, &rpc.ServerLoad{Instance: fmt.Sprintf("i-%08x", uint32(i)*2654435761), PendingMilli: 700})
		}
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := proto.Marshal(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(m)), "bytes")
		})
	}
}
