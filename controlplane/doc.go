// Package controlplane implements a controller of the control plane as a library. A Controller accepts requests from servers and
// operators, agrees with the other controllers on the configuration, and sends updates to the gateways that poll it.
//
// A Controller is composed of components, each of which owns its state:
//
//	eventLoop          runs the components below on one goroutine
//	acceptorEndpoint   the acceptor of the consensus protocol, with its state on this machine's disk
//	proposer           runs proposals until a value is decided; proposalRun exchanges the messages of one proposal
//	learner            holds the newest decided value
//	contactMonitor     tracks contact with a majority of the acceptors; contactVerifier verifies it for a single request
//	membershipManager  determines whether this controller should become a member, and which controller could replace it
//	replicaCompletion  determines whether the members' disks hold the newest value
//	proposalScheduler  starts the proposals that membershipManager, replicaCompletion and the acceptor require
//	peerSet, gossiper  hold the other controllers, and exchange state with them
//	heartbeatService   enters servers' reports into a registry.Table; hintSaver stores them on the disk
//	gatewayDirectory   holds the gateways; pollService answers their long polls
//	resourceAPI        lets operators replace and read the configuration and the other documents
//	statusAPI          shows operators this controller's state; eventLog retains recent events
//	rolloutManager     advances the running rollouts; rolloutAPI lets operators begin, revert and read them
//	drainer            delays the shutdown of a controller until nothing is lost by it
//
// Decisions are made by pure packages: consensus (ballots), registry (reports) and quorum (contact).
package controlplane
