package controlcli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/controlapi"
	"oxbowspan/internal/controlclient"
)

// statusCommands returns the commands that show the controllers' view of the cluster.
func statusCommands(path *string, out io.Writer) []*ffcli.Command {
	e := &environment{settingsPath: path, out: out}
	return []*ffcli.Command{
		e.command(remoteCommand{parent: controllerName, name: "nodes", run: e.gateways,
			help: "list the gateways, and which have the newest version in force"}),
		e.command(remoteCommand{parent: controllerName, name: "servers", usage: "[SERVICE]", maxArgs: 1, run: e.servers,
			help: "list the servers, as reported by their heartbeats"}),
		e.command(remoteCommand{parent: controllerName, name: "members", run: e.members,
			help: "list the acceptors, as each controller sees them, and the losses that can be tolerated now"}),
		e.command(remoteCommand{parent: controllerName, name: "events", run: e.events,
			help: "list the events of all controllers, the newest last"}),
	}
}

// seconds formats a duration in seconds.
func seconds(s float64) string { return fmt.Sprintf("%.1f", s) }

var gatewayColumns = []column[controlapi.GatewayStatus]{
	{"ADDRESS", func(g controlapi.GatewayStatus) string { return g.Address }},
	{"ZONE", func(g controlapi.GatewayStatus) string { return g.Zone }},
	{"LAST CONTACT S AGO", func(g controlapi.GatewayStatus) string { return seconds(g.AgeSeconds) }},
	{"SLOT IN FORCE", func(g controlapi.GatewayStatus) string {
		if !g.PollsHere {
			return "not known"
		}
		return fmt.Sprint(g.Slot)
	}},
	{"NEWEST", func(g controlapi.GatewayStatus) string {
		switch {
		case !g.PollsHere:
			return ""
		case g.UpToDate:
			return "yes"
		}
		return "no"
	}},
}

func (e *environment) gateways(ctx context.Context, client *controlclient.Client, _ []string) error {
	listing, err := client.Gateways(ctx, controlclient.PreferPollingThenRecent)
	if err != nil {
		return err
	}
	gateways := listing.Items
	slices.SortFunc(gateways, func(a, b controlapi.GatewayStatus) int { return cmp.Compare(a.Address, b.Address) })
	return e.printListing(gateways, listing.Unreachable, func(w io.Writer) { writeTable(w, gatewayColumns, gateways) })
}

var serverColumns = []column[controlapi.ServerStatus]{
	{"SERVICE", func(s controlapi.ServerStatus) string { return s.Service }},
	{"INSTANCE", func(s controlapi.ServerStatus) string { return s.Instance }},
	{"ADDRESS", func(s controlapi.ServerStatus) string { return s.Address }},
	{"ZONE", func(s controlapi.ServerStatus) string { return s.Zone }},
	{"VERSION", func(s controlapi.ServerStatus) string { return s.Version }},
	{"SLOTS", func(s controlapi.ServerStatus) string { return fmt.Sprint(s.Slots) }},
	{"STATE", serverState},
	{"LAST HEARTBEAT S AGO", func(s controlapi.ServerStatus) string { return seconds(s.AgeSeconds) }},
}

// serverState describes the state of a server, with an overdue heartbeat and the remaining slow start.
func serverState(s controlapi.ServerStatus) string {
	state := s.State
	if s.Unresponsive {
		state += ", heartbeat overdue"
	}
	if s.SlowStartSeconds > 0 {
		state += fmt.Sprintf(", slow start for %.1f s", s.SlowStartSeconds)
	}
	return state
}

func (e *environment) servers(ctx context.Context, client *controlclient.Client, args []string) error {
	listing, err := client.Servers(ctx)
	if err != nil {
		return err
	}
	servers := listing.Items
	if len(args) == 1 {
		servers = slices.DeleteFunc(servers, func(s controlapi.ServerStatus) bool { return s.Service != args[0] })
	}
	slices.SortFunc(servers, func(a, b controlapi.ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return e.printListing(servers, listing.Unreachable, func(w io.Writer) { writeTable(w, serverColumns, servers) })
}

func (e *environment) members(ctx context.Context, client *controlclient.Client, _ []string) error {
	listing, err := client.Memberships(ctx)
	if err != nil {
		return err
	}
	return e.printListing(listing.Items, listing.Unreachable, func(w io.Writer) {
		for _, status := range listing.Items {
			writeMembership(w, status)
		}
	})
}

// writeMembership writes one controller's view of the membership.
func writeMembership(w io.Writer, status controlapi.MembershipStatus) {
	state := "in contact with a majority"
	if !status.HasQuorum {
		state = "not in contact with a majority"
	}
	if !status.Stable {
		state += ", the membership is changing"
	}
	fmt.Fprintf(w, "%s: slot %d, version %d, %s; tolerable disk losses: %d, zones: %d, regions: %d\n",
		status.Controller, status.Slot, status.Version, state, status.TolerableLosses, status.TolerableZones, status.TolerableRegions)
	for _, member := range status.Members {
		replicaState := ""
		if !member.Complete {
			replicaState = ", not known to store the newest decided value"
		}
		fmt.Fprintf(w, "  %s\t%s\tlast contact %.1f s ago%s\n", member.Identity, member.Address, member.SilentSeconds, replicaState)
	}
}

func (e *environment) events(ctx context.Context, client *controlclient.Client, _ []string) error {
	listing, err := client.Events(ctx)
	if err != nil {
		return err
	}
	events := listing.Items
	slices.SortFunc(events, func(a, b controlapi.Event) int {
		return cmp.Or(cmp.Compare(b.AgeSeconds, a.AgeSeconds), cmp.Compare(a.Controller, b.Controller), cmp.Compare(a.Sequence, b.Sequence))
	})
	return e.printListing(events, listing.Unreachable, func(w io.Writer) {
		for _, event := range events {
			fmt.Fprintf(w, "%.1f s ago\t%s\t%s\t%s\n", event.AgeSeconds, event.Controller, event.Kind, event.Text)
		}
	})
}
