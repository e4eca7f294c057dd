package rpc_test

import "oxbowspan/rpc"

// The messages recorded in testdata/compat; the README there describes how they were recorded.

func compatBallot(number, proposer uint64) *rpc.Ballot {
	return &rpc.Ballot{Number: number, Proposer: proposer}
}

func compatValue() *rpc.Value {
	member := func(id uint64, address string) *rpc.Member { return &rpc.Member{Id: id, Address: address} }
	return &rpc.Value{
		Slot:           11,
		Members:        []*rpc.Member{member(1, "10.0.0.1:7000"), member(2, "10.0.0.2:7000"), member(4, "10.0.0.4:7000")},
		PriorMembers:   []*rpc.Member{member(1, "10.0.0.1:7000"), member(2, "10.0.0.2:7000"), member(3, "10.0.0.3:7000")},
		Version:        12,
		BasedOn:        13,
		Digest:         []byte("digest-12"),
		Body:           []byte(`{"version":12}`),
		PriorRevisions: []*rpc.Revision{{Version: 14, BasedOn: 15, Digest: []byte("digest-14")}},
		BodyOmitted:    true,
		Documents:      []*rpc.Document{compatDocument()},
	}
}

func compatDocument() *rpc.Document {
	return &rpc.Document{
		Name:           "tenants",
		Version:        16,
		Digest:         []byte("digest-16"),
		Body:           []byte(`{"tenants":[]}`),
		PriorRevisions: []*rpc.Revision{{Version: 17, BasedOn: 18, Digest: []byte("digest-17")}},
		AgeMs:          19,
		BodyOmitted:    true,
	}
}

func compatReport() *rpc.ServerReport {
	return &rpc.ServerReport{
		Instance:         "i-1",
		Service:          "service-1",
		Address:          "10.1.0.1:8080",
		Zone:             "zone-1",
		Version:          "v1",
		Slots:            21,
		State:            1,
		SlowStartMs:      22,
		Sequence:         23,
		AgeMs:            24,
		Unresponsive:     true,
		HeartbeatOnly:    true,
		HeartbeatMissed:  true,
		HealthCheckAgeMs: 25,
		FencingToken:     26,
		LeaseHolder:      27,
	}
}

func compatGateway() *rpc.Gateway {
	return &rpc.Gateway{Incarnation: 31, Address: "10.2.0.1:7100", Zone: "zone-2", AgeMs: 32, Left: true}
}

func compatController() *rpc.Controller {
	return &rpc.Controller{
		Id:                   41,
		Address:              "10.0.0.1:7000",
		ControlAddress:       "10.0.0.1:7001",
		Zone:                 "zone-3",
		AgeMs:                42,
		Voter:                true,
		RestoresBodies:       true,
		StoredBallot:         compatBallot(43, 44),
		StoredSlot:           45,
		LowestDecidedBallot:  compatBallot(46, 47),
		Draining:             true,
		HighestDecidedBallot: compatBallot(48, 49),
	}
}

func compatObservation() *rpc.Observation {
	return &rpc.Observation{
		Instance:   "i-2",
		Observer:   51,
		Sequence:   52,
		Kind:       3,
		RatioMilli: 53,
		Responses:  54,
		BackoffMs:  55,
		AgeMs:      56,
		Hops:       57,
		Text:       "refused",
	}
}

func compatStats() *rpc.GatewayStats {
	return &rpc.GatewayStats{
		Verdicts: []*rpc.OutlierVerdict{{
			Instance:     "i-3",
			Service:      "service-2",
			State:        "out",
			Reason:       "refused",
			SinceMs:      61,
			FactorMilli:  62,
			Pinned:       true,
			Observations: []*rpc.Observation{compatObservation()},
		}},
		Connections: []*rpc.ConnectionUsage{{
			Tenant:     "tenant-1",
			Instance:   "i-4",
			Service:    "service-3",
			InUse:      63,
			Borrowed:   64,
			Limit:      65,
			ShareMilli: 66,
			WantsMore:  true,
		}},
		Waits: []*rpc.WaitStats{{
			Tenant:   "tenant-2",
			Requests: 71,
			Waited:   72,
			P50Us:    73,
			P99Us:    74,
			MaxUs:    75,
			Waiting:  76,
		}},
		Version:        77,
		TenantsVersion: 78,
	}
}

// compatExchange is a request and its reply, with the names of the files that contain their encoded frames.
type compatExchange struct {
	name      string
	replyName string
	request   *rpc.Frame
	reply     *rpc.Frame
	pushed    bool // the reply is a one-way message without the request's id
}

func compatExchanges() []compatExchange {
	return []compatExchange{
		{
			name: "prepare",
			request: &rpc.Frame{Body: &rpc.Frame_Prepare{Prepare: &rpc.Prepare{
				Acceptor:    1,
				Ballot:      compatBallot(2, 3),
				KnownDigest: []byte("digest-12"),
				KnownBodies: [][]byte{[]byte("digest-12"), []byte("digest-16")},
			}}},
			replyName: "prepare_reply",
			reply: &rpc.Frame{Body: &rpc.Frame_PrepareReply{PrepareReply: &rpc.PrepareReply{
				Ok:          true,
				Promised:    compatBallot(4, 5),
				Accepted:    compatBallot(6, 7),
				Value:       compatValue(),
				Acceptor:    8,
				KnownBodies: [][]byte{[]byte("digest-12")},
			}}},
		},
		{
			name:      "accept",
			request:   &rpc.Frame{Body: &rpc.Frame_Accept{Accept: &rpc.Accept{Acceptor: 1, Ballot: compatBallot(2, 3), Value: compatValue()}}},
			replyName: "accept_reply",
			reply:     &rpc.Frame{Body: &rpc.Frame_AcceptReply{AcceptReply: &rpc.AcceptReply{Ok: true, Promised: compatBallot(4, 5), Acceptor: 6}}},
		},
		{
			name: "gossip",
			request: &rpc.Frame{Body: &rpc.Frame_Gossip{Gossip: &rpc.Gossip{
				From:           compatController(),
				Incarnation:    81,
				Slot:           82,
				Value:          compatValue(),
				Reports:        []*rpc.ServerReport{compatReport()},
				Gateways:       []*rpc.Gateway{compatGateway()},
				Controllers:    []*rpc.Controller{compatController()},
				RangeDigests:   []uint64{83, 84},
				DigestedCursor: 85,
				MissingBody:    true,
			}}},
			replyName: "gossip_reply",
			reply: &rpc.Frame{Body: &rpc.Frame_GossipReply{GossipReply: &rpc.GossipReply{
				From:            compatController(),
				Incarnation:     86,
				Slot:            87,
				DifferingRanges: []uint32{88, 89},
				Value:           compatValue(),
				VotedSlot:       90,
				MissingBody:     true,
				UnknownGateway:  true,
			}}},
		},
		{
			name: "poll",
			request: &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{
				From:                  compatGateway(),
				Slot:                  91,
				ControllerIncarnation: 92,
				Cursor:                93,
				WaitMs:                94,
				HealthChecks:          []*rpc.ServerReport{compatReport()},
				MembershipEpoch:       95,
				Stats:                 compatStats(),
			}}},
			replyName: "update",
			reply: &rpc.Frame{Body: &rpc.Frame_Update{Update: &rpc.Update{
				ControllerIncarnation: 96,
				Cursor:                97,
				HasQuorum:             true,
				Full:                  true,
				Slot:                  98,
				Version:               99,
				Config:                []byte(`{"version":99}`),
				HasConfig:             true,
				Reports:               []*rpc.ServerReport{compatReport()},
				Gateways:              []*rpc.Gateway{compatGateway()},
				HasGateways:           true,
				Controllers:           []*rpc.Controller{compatController()},
				Warm:                  true,
				MembershipEpoch:       100,
				Documents:             []*rpc.Document{compatDocument()},
			}}},
		},
		{
			name: "load_subscription",
			request: &rpc.Frame{Body: &rpc.Frame_LoadSubscription{LoadSubscription: &rpc.LoadSubscription{
				From:             compatGateway(),
				ObservationsOnly: true,
			}}},
			replyName: "load_report",
			reply: &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: &rpc.LoadReport{
				Loads:        []*rpc.ServerLoad{{Instance: "i-5", PendingMilli: 101}},
				Incarnation:  102,
				Observations: []*rpc.Observation{compatObservation()},
			}}},
			pushed: true,
		},
		{
			name: "quota_request",
			request: &rpc.Frame{Body: &rpc.Frame_QuotaRequest{QuotaRequest: &rpc.QuotaRequest{
				Service:     "service-4",
				From:        "gateway-1",
				Incarnation: 111,
				Demands:     []*rpc.Demand{{Tenant: "tenant-3", ConnectionsMilli: 112, WeightMilli: 113}},
				InUse:       114,
			}}},
			replyName: "quota_grant",
			reply:     &rpc.Frame{Body: &rpc.Frame_QuotaGrant{QuotaGrant: &rpc.QuotaGrant{Connections: 115, Granted: true}}},
		},
	}
}
