package controlplane

import (
	"github.com/cespare/xxhash/v2"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// identity is what doesn't change of a controller's process while it runs.
type identity struct {
	id             consensus.AcceptorID
	incarnation    uint64
	address        string // where other processes of the system reach it
	controlAddress string // of its HTTP API
	zone           string
}

// describe returns the identity as it is described to other processes. Voter says whether it is a member.
func (i identity) describe(voter bool) *rpc.Controller {
	return &rpc.Controller{
		Id:             uint64(i.id),
		Address:        i.address,
		ControlAddress: i.controlAddress,
		Zone:           i.zone,
		Voter:          voter,
		RestoresBodies: true,
	}
}

// genesisMembers returns the first members, and this controller's identifier among them, 0 = none. At the first start all
// controllers have the same seeds, so that each derives the same members.
func genesisMembers(s *settings.Settings) (members []consensus.Member, self consensus.AcceptorID) {
	for i, address := range s.SeedControllers() {
		id := genesisID(s.SeedAddresses[i])
		members = append(members, consensus.Member{ID: id, Address: address})
		if s.SeedAddresses[i] == s.Listen.Control {
			self = id
		}
	}
	return members, self
}

// genesisID derives the identifier of the first member at a control address. It is never 0.
func genesisID(controlAddress string) consensus.AcceptorID {
	return consensus.AcceptorID(xxhash.Sum64String("genesis "+controlAddress) | 1)
}
