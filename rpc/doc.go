// Package rpc is the transport between controllers and gateways: protobuf messages in length-prefixed frames over TCP.
// It owns the frame format and its size limit, connections and their time limits, and the matching of responses to
// requests. The contents of requests and responses belong to the programs.
//
// A connection begins with [Preface], sent by the side that dialed. Each frame that follows is its length as four
// big-endian bytes and then that many bytes of an encoded [Frame], [MaxFrameBytes] at most.
//
// # Adding a field
//
// Add it to rpc.proto under a number that the message never used, and run go generate. Programs of the release before
// ignore it and leave it unset, so its zero value must mean what these programs do. Then set it where the message is built
// and read it where the message arrives: values of the register are converted in convert.go, server reports in
// controlplane/reports.go and dataplane/endpoints.go, all other messages where they are sent and handled.
package rpc

//go:generate protoc --proto_path=.. --go_out=.. --go_opt=module=oxbowspan rpc/rpc.proto
