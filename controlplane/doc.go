// Package controlplane is the control plane as a library: a Controller takes the requests of servers and operators, agrees with the
// other controllers on the configuration, and sends the gateways that poll it what they need.
//
// A Controller is wired from components, each of which owns its state:
//
//	eventLoop          runs everything below on one goroutine
//	acceptorEndpoint   the acceptor of the consensus protocol, on this machine's disk
//	proposer           has values decided; proposalRun carries the messages of one proposal
//	learner            the newest decided value
//	contactMonitor     contact with a majority of the acceptors; contactVerifier proves it anew
//	membershipManager  whether this controller should become a member, and who could replace it
//	replicaCompletion  whether the members' disks hold the newest value
//	proposalScheduler  starts the proposals that these two and the acceptor call for
//	peerSet, gossiper  the other controllers, and what is exchanged with them
//	heartbeatService   servers' reports, in a registry.Table; hintSaver keeps them on the disk
//	gatewayDirectory   the gateways; pollService answers their long polls
//	resourceAPI        the operators' requests to replace and read the configuration and the documents beside it
//	statusAPI          what operators may read of this controller's state; eventLog retains what happened
//	drainer            what must be done before a controller ends
//
// Decisions are made by pure packages: consensus (ballots), registry (reports) and quorum (contact).
package controlplane
