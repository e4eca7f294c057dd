package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
	"oxbowspan/internal/raftnode"
	"oxbowspan/maintenance"
)

func (f *fleetCommands) newReleaseCommand() *cobra.Command {
	c := command.NewGroup("release", "Change the fleet's version in steps")
	halt := f.newCommand("halt NAME", "Halt a release at its current step", "is halted", func(name string) maintenance.Command {
		return maintenance.Command{HaltRelease: &maintenance.HaltRelease{ID: maintenance.ReleaseID(name)}}
	})
	resume := f.newCommand("resume NAME", "Resume a halted release", "is resumed", func(name string) maintenance.Command {
		return maintenance.Command{ResumeRelease: &maintenance.ResumeRelease{ID: maintenance.ReleaseID(name)}}
	})
	rollBack := f.newCommand("back NAME", "Roll the changed members back to the old version", "is being rolled back",
		func(name string) maintenance.Command {
			return maintenance.Command{RollBack: &maintenance.RollBack{ID: maintenance.ReleaseID(name)}}
		})
	c.AddCommand(f.newReleaseStartCommand(), halt, resume, rollBack)
	return c
}

// releaseFlags holds the flags of the command that starts a release.
type releaseFlags struct {
	kind, from, to       string
	steps                string
	dwell, changeTimeout time.Duration
	maxLoss              float64
	minRequests          uint64
	byZone               bool
	dryRun               bool
}

func (f *fleetCommands) newReleaseStartCommand() *cobra.Command {
	var flags releaseFlags
	c := &cobra.Command{
		Use:     "start NAME",
		Short:   "Start a release; --dry-run only prints its steps",
		Args:    cobra.ExactArgs(1),
		Example: "  oxbowspan fleet release start r42 --from v1 --to v2 --steps 0.05,0.25,1 --dwell 5m",
		RunE: func(_ *cobra.Command, args []string) error {
			plan, err := flags.plan(args[0])
			if err != nil {
				return err
			}
			if flags.dryRun {
				return f.printPlan(plan)
			}
			return f.startRelease(plan)
		},
	}
	s := c.Flags()
	s.StringVar(&flags.kind, "kind", string(maintenance.Gatherer), "gatherer or server")
	s.StringVar(&flags.from, "from", "", "version to change from")
	s.StringVar(&flags.to, "to", "", "version to change to")
	s.StringVar(&flags.steps, "steps", "0.05,0.25,1", "rising shares of the members that are changed by the end of each step; the last is 1")
	s.DurationVar(&flags.dwell, "dwell", 5*time.Minute, "how long each step is observed")
	s.DurationVar(&flags.changeTimeout, "within", 5*time.Minute, "how long the change of one member may take")
	s.Float64Var(&flags.maxLoss, "most-loss", 0.01, "by how much the success ratio of the changed members may be lower than that of the others")
	s.Uint64Var(&flags.minRequests, "least", 1000, "requests of the changed members that are needed to evaluate a step")
	s.BoolVar(&flags.byZone, "by-zone", false, "change zone by zone; otherwise the members of a step are spread over the zones")
	s.BoolVar(&flags.dryRun, "dry-run", false, "only print the steps")
	return c
}

// plan returns the plan that the flags describe.
func (flags *releaseFlags) plan(name string) (maintenance.Plan, error) {
	p := maintenance.Plan{
		ID:            maintenance.ReleaseID(name),
		Kind:          maintenance.Kind(flags.kind),
		From:          maintenance.Version(flags.from),
		To:            maintenance.Version(flags.to),
		ByZone:        flags.byZone,
		Dwell:         maintenance.Duration(flags.dwell.Milliseconds()),
		ChangeTimeout: maintenance.Duration(flags.changeTimeout.Milliseconds()),
		MaxLoss:       flags.maxLoss,
		MinRequests:   flags.minRequests,
	}
	for _, text := range strings.Split(flags.steps, ",") {
		share, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil {
			return p, fmt.Errorf("--steps: %.40q is not a number; steps are rising shares, the last is 1", text)
		}
		p.Steps = append(p.Steps, share)
	}
	return p, nil
}

func (f *fleetCommands) startRelease(plan maintenance.Plan) error {
	return f.withClient(func(ctx context.Context, client *raftnode.Client) error {
		if _, err := client.Do(ctx, maintenance.Command{StartRelease: &plan}); err != nil {
			return err
		}
		fmt.Fprintf(f.stdout, "release %s begins: it observes the fleet for %s first\n", plan.ID, plan.Dwell.Std())
		return nil
	})
}

// printPlan prints the members that each step of a plan would change.
func (f *fleetCommands) printPlan(plan maintenance.Plan) error {
	return f.withClient(func(ctx context.Context, client *raftnode.Client) error {
		state, _, err := client.State(ctx)
		if err != nil {
			return err
		}
		steps, err := state.PlanSteps(plan)
		if err != nil {
			return err
		}
		for i, names := range steps {
			fmt.Fprintf(f.stdout, "step %d: %d: %v\n", i+1, len(names), names)
		}
		return nil
	})
}
