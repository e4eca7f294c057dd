// Package rpc is the transport between controllers and gateways: protobuf messages in length-prefixed frames over TCP.
// It implements the frame format and its size limit, connections and their timeouts, and the matching of responses to
// requests. It does not interpret the contents of requests and responses.
//
// A connection begins with [Preface], sent by the side that dialed. Each frame that follows consists of its length as four
// big-endian bytes and that many bytes of an encoded [Frame], at most [MaxFrameBytes].
//
// # Adding a field
//
// Add it to rpc.proto under a number that the message has never used, and run go generate. Programs of the previous release
// ignore the field and leave it unset, so its zero value must mean the behaviour of these programs. Then set it where the
// message is built and read it where the message is received: values of the replicated register are converted in
// convert.go, server reports in controlplane/reports.go and dataplane/endpoints.go, and all other messages where they are
// sent and handled.
package rpc

//go:generate protoc --proto_path=.. --go_out=.. --go_opt=module=oxbowspan rpc/rpc.proto
