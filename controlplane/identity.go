package controlplane

import (
	"github.com/cespare/xxhash/v2"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// identity holds the properties of a controller's process that don't change while it runs.
type identity struct {
	id             consensus.AcceptorID
	incarnation    uint64
	address        string // for other processes of the system
	controlAddress string // of its HTTP API, for servers and operators
	zone           string
}

// describe returns the identity as a message for other processes. voter states whether the controller is a member.
func (i identity) describe(voter bool) *rpc.Controller {
	return &rpc.Controller{
		Id:             uint64(i.id),
		Address:        i.address,
		ControlAddress: i.controlAddress,
		Zone:           i.zone,
		Voter:          voter,
		RestoresBodies: true,

		StoresDepartures: true,
	}
}

// genesisMembers returns the initial members, and this controller's identifier among them, or 0 if it isn't one of them. At the
// first start all controllers have the same seeds, so that each derives the same members.
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

// genesisID derives the identifier of the initial member at a control address. It is never 0.
func genesisID(controlAddress string) consensus.AcceptorID {
	return consensus.AcceptorID(xxhash.Sum64String("genesis "+controlAddress) | 1)
}
