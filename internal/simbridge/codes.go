package simbridge

import (
	"fmt"

	"oxbowspan/balancer"
)

// Codes of the events that the simulator sends.
const (
	eventTimer            = 0
	eventCancelled        = 1
	eventHealthCheckEnded = 2
	eventAttemptEnded     = 3
	eventStreamHead       = 4
	eventServerList       = 5
	eventStop             = 6
	eventWorkItem         = 7
	eventHello            = 8
	eventMail             = 9
	eventListUpdate       = 10
)

// Codes of the actions in replies.
const (
	actionSetTimer    = 0
	actionShed        = 1
	actionFail        = 2
	actionHealthCheck = 4
	actionSubscribe   = 5
	actionCloseIdle   = 7
	actionAnswer      = 9
	actionCancel      = 10
	actionSend        = 11
)

// Flags of a work item.
const (
	flagSizeKnown   = 1
	flagClientRetry = 2
)

// Names of the values in load reports, as the settings list them.
const (
	reportQueued   = "waiting"
	reportInFlight = "active"
)

// serverStateOf decodes the state of a server in a list.
func serverStateOf(phase uint8) (balancer.ServerState, error) {
	switch phase {
	case 0:
		return balancer.Removed, nil
	case 1:
		return balancer.Ready, nil
	case 2:
		return balancer.Draining, nil
	}
	return 0, fmt.Errorf("unknown phase %d", phase)
}

// listKindOf decodes the kind of a server list update.
func listKindOf(scope uint8) (balancer.ServerListKind, error) {
	switch scope {
	case 0:
		return balancer.ListComplete, nil
	case 1:
		return balancer.ListDelta, nil
	case 2:
		return balancer.ListCached, nil
	case 3:
		return balancer.ListFailed, nil
	}
	return 0, fmt.Errorf("unknown scope %d", scope)
}

// outcomeOf decodes the status of an attempt or a health check.
func outcomeOf(status uint8) (balancer.Outcome, error) {
	switch status {
	case 0:
		return balancer.Answered, nil
	case 255:
		return balancer.Errored, nil
	case 254:
		return balancer.Rejected, nil
	case 253:
		return balancer.TimedOut, nil
	case 252:
		return balancer.ConnectFailed, nil
	case 251:
		return balancer.Reset, nil
	case 250:
		return balancer.Cancelled, nil
	case 249:
		return balancer.NotDispatched, nil
	}
	return 0, fmt.Errorf("unknown outcome %d", status)
}
