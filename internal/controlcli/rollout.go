package controlcli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/controlapi"
	"oxbowspan/internal/controlclient"
	"oxbowspan/rollout"
)

// defaultRolloutDuration is the default time limit of rollouts that are begun on the command line.
const defaultRolloutDuration = 15 * time.Minute

// rolloutCommand returns the command with subcommands that begin, show and revert rollouts.
func rolloutCommand(path *string, out io.Writer) *ffcli.Command {
	const parent = controllerName + " rollout"
	e := &environment{settingsPath: path, out: out}
	var timeLimit time.Duration
	begin := remoteCommand{parent: parent, name: "begin", usage: "SERVICE VERSION", minArgs: 2, maxArgs: 2,
		help: "shift a service's traffic to servers of another version, in steps, as long as they perform no worse",
		setFlags: func(flags *flag.FlagSet) {
			flags.DurationVar(&timeLimit, "within", defaultRolloutDuration, "the `time` in which it is completed or reverted")
		},
		run: func(ctx context.Context, client *controlclient.Client, args []string) error {
			return client.BeginRollout(ctx, rollout.Order{Service: args[0], TargetVersion: args[1], DurationS: timeLimit.Seconds()})
		},
	}
	return &ffcli.Command{
		Name:       "rollout",
		ShortUsage: parent + " begin|list|show|revert",
		ShortHelp:  "shift a service to a new version in steps, show rollouts, or revert one",
		FlagSet:    flag.NewFlagSet("rollout", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			e.command(begin),
			e.command(remoteCommand{parent: parent, name: "list", run: e.rolloutList,
				help: "list the newest rollout of each service"}),
			e.command(remoteCommand{parent: parent, name: "show", usage: "SERVICE", minArgs: 1, maxArgs: 1, run: e.rolloutList,
				help: "show a service's newest rollout"}),
			e.command(remoteCommand{parent: parent, name: "revert", usage: "SERVICE", minArgs: 1, maxArgs: 1,
				help: "revert a service's running rollout: all its requests go to the previous version again",
				run: func(ctx context.Context, client *controlclient.Client, args []string) error {
					return client.RevertRollout(ctx, args[0])
				}}),
		},
		Exec: showUsage,
	}
}

var rolloutColumns = []column[controlapi.Rollout]{
	{"SERVICE", func(r controlapi.Rollout) string { return r.Service }},
	{"VERSION", func(r controlapi.Rollout) string { return r.TargetVersion }},
	{"STATE", func(r controlapi.Rollout) string { return r.State }},
	{"STEP", func(r controlapi.Rollout) string { return fmt.Sprintf("%d of %d", r.Step, rollout.LastStep) }},
	{"SHARE", func(r controlapi.Rollout) string { return fmt.Sprintf("%g", r.Share) }},
	{"WITHIN", func(r controlapi.Rollout) string { return fmt.Sprintf("%gs", r.DurationS) }},
	{"REASON", func(r controlapi.Rollout) string { return r.Reason }},
}

// rolloutList prints the newest rollout of each service, or of one service if it is named.
func (e *environment) rolloutList(ctx context.Context, client *controlclient.Client, services []string) error {
	rollouts, err := client.Rollouts(ctx)
	if err != nil {
		return err
	}
	if len(services) > 0 {
		rollouts = slices.DeleteFunc(rollouts, func(r controlapi.Rollout) bool { return !slices.Contains(services, r.Service) })
		if len(rollouts) == 0 {
			return fmt.Errorf("no rollout of service %q was begun", services[0])
		}
	}
	return e.print(rollouts, func(w io.Writer) { writeTable(w, rolloutColumns, rollouts) })
}
