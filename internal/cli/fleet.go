package cli

import (
	"cmp"
	"errors"
	"log/slog"
	"os"

	"oxbowspan/gatherer"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/internal/raftnode"
	"oxbowspan/maintenance"
)

// membership is a gatherer's membership in the fleet that its operator's file configures. Without a fleet, node and agent are nil.
type membership struct {
	node  *raftnode.Node // nil = this gatherer is not a voter
	agent *raftnode.Agent
	drain func()
}

// joinFleet makes a gatherer a member of its fleet, and starts a voter if the operator's file lists the gatherer as one. bootstrap makes
// the voter create its log. drain is called when the gatherer must drain.
func joinFleet(config gatherer.Config, g *gatherer.Gatherer, bootstrap bool, drain func()) (*membership, error) {
	m := &membership{drain: drain}
	if config.Operator == nil || config.Operator.Fleet == nil {
		if bootstrap {
			return nil, errors.New("--found-fleet needs a section [fleet] in the operator's file")
		}
		return m, nil
	}
	fleet, voters := config.Operator.Fleet, fleetVoters(config.Operator.Fleet)
	if fleet.HasVoter(config.Name) {
		node, err := raftnode.Start(raftnode.Options{
			Name:      config.Name,
			Listen:    fleet.Listen,
			Voters:    voters,
			Keys:      fleet.Keys,
			LogDir:    fleet.LogDirectory,
			HookPath:  fleet.Hook,
			Limits:    fleet.Limits,
			Bootstrap: bootstrap,
		})
		if err != nil {
			return nil, err
		}
		m.node = node
	}
	m.agent = raftnode.StartAgent(raftnode.AgentOptions{
		Name:          config.Name,
		Zone:          fleet.Zone,
		Version:       cmp.Or(os.Getenv("OXBOWSPAN_VERSION"), version()),
		Voters:        voters,
		Keys:          fleet.Keys,
		DrainTimeout:  fleet.DrainTimeout,
		LeaseDuration: fleet.Limits.LeaseDuration.Std(),
		Ready:         g.Ready,
		Counts: func() maintenance.RequestCounts {
			c := g.Counts()
			return maintenance.RequestCounts{Answered: c.Answered, Shed: c.Shed, Errored: c.Errored}
		},
	})
	go m.awaitDrain(config.Name, fleet)
	return m, nil
}

// fleetVoters converts the voters of the operator's file to those of the fleet's log.
func fleetVoters(f *operatorconfig.Fleet) (voters []raftnode.Voter) {
	for _, v := range f.Voters {
		voters = append(voters, raftnode.Voter{Name: v.Name, Addr: v.Addr})
	}
	return voters
}

// awaitDrain drains the gatherer when its agent requests that. It returns without draining if the agent ends.
func (m *membership) awaitDrain(name string, fleet *operatorconfig.Fleet) {
	var permitted bool
	select {
	case permitted = <-m.agent.Drain():
	case <-m.agent.Done():
		return
	}
	if permitted {
		slog.Info("fleet_drain", "name", name, "permitted", true)
	} else {
		slog.Warn("fleet_drain", "name", name, "permitted", false, "waited", fleet.DrainTimeout.String())
	}
	m.drain()
}

// shutDown requests a permit to drain, after which awaitDrain drains the gatherer; without a fleet it drains at once.
func (m *membership) shutDown() {
	if m.agent == nil {
		m.drain()
		return
	}
	m.agent.RequestDrain()
}

// leave ends the membership; it is called after the gatherer has ended.
func (m *membership) leave() {
	if m.agent != nil {
		m.agent.Close()
	}
	if m.node != nil {
		m.node.Close()
	}
}
