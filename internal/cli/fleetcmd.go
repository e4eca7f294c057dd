package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/gatherer"
	"oxbowspan/internal/command"
	"oxbowspan/internal/raftnode"
	"oxbowspan/maintenance"
)

// fleetCommandTimeout limits the duration of an operator's command to the fleet.
const fleetCommandTimeout = 10 * time.Second

// fleetCommands holds the options shared by the operators' commands to the fleet.
type fleetCommands struct {
	stdout       io.Writer
	operatorPath string
}

func newFleetCommand(stdout io.Writer) *cobra.Command {
	f := &fleetCommands{stdout: stdout}
	c := command.NewGroup("fleet", "Show the fleet, permit members to go out of service, and run releases")
	c.PersistentFlags().StringVar(&f.operatorPath, "operator", os.Getenv("OXBOWSPAN_OPERATOR"),
		"the operator's own file, with [fleet] (OXBOWSPAN_OPERATOR)")
	drain := f.newCommand("drain NAME", "Permit a gatherer or server to go out of service, if the limits allow it",
		"may be out; a gatherer drains when it renews its lease", func(name string) maintenance.Command {
			request := &maintenance.RequestPermit{Name: maintenance.MemberName(name), Reason: "requested by an operator"}
			return maintenance.Command{RequestPermit: request}
		})
	forget := f.newCommand("forget NAME", "Remove a member that will not come back", "is forgotten", func(name string) maintenance.Command {
		return maintenance.Command{RemoveMember: &maintenance.Forget{Name: maintenance.MemberName(name)}}
	})
	c.AddCommand(f.newStatusCommand(), drain, forget, f.newReleaseCommand())
	return c
}

// withClient calls do with a client of the fleet and a context that expires after fleetCommandTimeout.
func (f *fleetCommands) withClient(do func(context.Context, *raftnode.Client) error) error {
	if f.operatorPath == "" {
		return errors.New("no operator's file: give --operator or set OXBOWSPAN_OPERATOR")
	}
	operator, err := gatherer.LoadOperator(f.operatorPath)
	if err != nil {
		return err
	}
	if operator.Fleet == nil {
		return fmt.Errorf("%s has no section [fleet]", f.operatorPath)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetCommandTimeout)
	defer cancel()
	client := raftnode.NewClient("operator", fleetVoters(operator.Fleet), operator.Fleet.Keys)
	defer client.Close()
	return do(ctx, client)
}

// newCommand returns a cobra command with one argument. It executes the fleet command for the argument, then prints the argument and a
// message.
func (f *fleetCommands) newCommand(use, short, message string, fleetCommand func(arg string) maintenance.Command) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		return f.withClient(func(ctx context.Context, client *raftnode.Client) error {
			if _, err := client.Do(ctx, fleetCommand(args[0])); err != nil {
				return err
			}
			fmt.Fprintf(f.stdout, "%s %s\n", args[0], message)
			return nil
		})
	}}
}

func (f *fleetCommands) newStatusCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Print the members, which of them are out of service and why, and the releases",
		Args:  command.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return f.withClient(func(ctx context.Context, client *raftnode.Client) error {
				state, leader, err := client.State(ctx)
				if err != nil {
					return err
				}
				if asJSON {
					return json.NewEncoder(f.stdout).Encode(state)
				}
				printFleet(f.stdout, state, leader)
				return nil
			})
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "the complete state as JSON")
	return c
}

// printFleet prints a state of the fleet; an empty leader means that there is none.
func printFleet(w io.Writer, s *maintenance.State, leader string) {
	if leader == "" {
		fmt.Fprintln(w, "no voter is the leader: no permits are granted; this is the latest state from a voter")
	} else {
		fmt.Fprintf(w, "leader %s, %d commands applied\n", leader, s.Applied)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[name]
		fmt.Fprintf(w, "%s %s zone %s version %s: %s\n", m.Kind, name, m.Zone, m.Version, cmp.Or(s.UnavailableReason(m), "in"))
	}
	for _, r := range s.Releases {
		printRelease(w, r)
	}
}

func printRelease(w io.Writer, r *maintenance.Release) {
	count := map[maintenance.TargetState]int{}
	for _, t := range r.Targets {
		count[t.State]++
	}
	fmt.Fprintf(w, "release %s: %s, step %d of %d, %d changed, %d changing, %d to do", r.Plan.ID, r.Phase,
		min(r.Step+1, len(r.Plan.Steps)), len(r.Plan.Steps),
		count[maintenance.TargetChanged], count[maintenance.TargetChanging], count[maintenance.TargetPending])
	if r.HaltReason != "" {
		fmt.Fprintf(w, ": %s", r.HaltReason)
	}
	fmt.Fprintln(w)
}
