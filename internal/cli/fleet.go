package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/gatherer"
	"oxbowspan/internal/command"
	"oxbowspan/internal/raftnode"
	"oxbowspan/maintenance"
)

// joinFleet makes a gatherer a member of the fleet that its operator's file names, and keeps the fleet's log where it is a steward.
// ends is to be called where the gatherer is told to end, and leave once it has. Without a fleet ends drains at once.
func joinFleet(setup gatherer.Config, node *gatherer.Gatherer, found bool, drain func()) (ends, leave func(), err error) {
	if setup.Operator == nil || setup.Operator.Fleet == nil {
		if found {
			return nil, nil, errors.New("--found-fleet needs a section [fleet] in the operator's file")
		}
		return drain, func() {}, nil
	}
	f := *setup.Operator.Fleet
	f.Name, f.Version = setup.Name, cmp.Or(os.Getenv("OXBOWSPAN_VERSION"), version())
	var log *raftnode.Node
	if slices.ContainsFunc(f.Voters, func(a raftnode.Voter) bool { return a.Name == f.Name }) {
		if log, err = raftnode.Start(f, found); err != nil {
			return nil, nil, err
		}
	}
	agent := raftnode.StartAgent(f, node.Ready, func() maintenance.RequestCounts {
		c := node.Counts()
		return maintenance.RequestCounts{Answered: c.Answered, Shed: c.Shed, Errored: c.Errored}
	})
	go func() {
		var agreed bool
		select {
		case agreed = <-agent.Drain():
		case <-agent.Done():
			return
		}
		if agreed {
			slog.Info("fleet_drain", "name", f.Name, "agreed", true)
		} else {
			slog.Warn("fleet_drain", "name", f.Name, "agreed", false, "waited", f.DrainTimeout.String())
		}
		drain()
	}()
	return agent.RequestDrain, func() {
		agent.Close()
		if log != nil {
			log.Close()
		}
	}, nil
}

// newFleetCommand is the operators' way to the fleet's agreed state.
func newFleetCommand(stdout io.Writer) *cobra.Command {
	var file string
	c := &cobra.Command{Use: "fleet", Short: "Look at the fleet, let members go out, and run releases", Args: command.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.PersistentFlags().StringVar(&file, "operator", os.Getenv("OXBOWSPAN_OPERATOR"), "the operator's own file, with [fleet] (OXBOWSPAN_OPERATOR)")
	with := func(do func(context.Context, *raftnode.Client) error) error {
		if file == "" {
			return errors.New("no operator's file: give --operator or set OXBOWSPAN_OPERATOR")
		}
		o, err := gatherer.LoadOperator(file)
		if err != nil {
			return err
		}
		if o.Fleet == nil {
			return fmt.Errorf("%s has no section [fleet]", file)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		client := raftnode.NewClient("operator", *o.Fleet)
		defer client.Close()
		return do(ctx, client)
	}
	one := func(use, short string, make func(string) maintenance.Command, done string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			return with(func(ctx context.Context, c *raftnode.Client) error {
				if _, err := c.Do(ctx, make(args[0])); err != nil {
					return err
				}
				fmt.Fprintf(stdout, "%s %s\n", args[0], done)
				return nil
			})
		}}
	}
	var whole bool
	status := &cobra.Command{Use: "status", Short: "Print members, who is out and why, and releases", Args: command.NoArgs, RunE: func(*cobra.Command, []string) error {
		return with(func(ctx context.Context, c *raftnode.Client) error {
			s, leader, err := c.State(ctx)
			if err != nil {
				return err
			}
			if whole {
				return json.NewEncoder(stdout).Encode(s)
			}
			printFleet(stdout, s, leader)
			return nil
		})
	}}
	status.Flags().BoolVar(&whole, "json", false, "the whole state as JSON")
	c.AddCommand(status,
		one("drain NAME", "Let a gatherer or server go out, where the limits allow it", func(n string) maintenance.Command {
			return maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: maintenance.MemberName(n), Reason: "an operator's word"}}
		}, "may be out; a gatherer drains at its next word to the stewards"),
		one("forget NAME", "Say that a member will not come back", func(n string) maintenance.Command {
			return maintenance.Command{Forget: &maintenance.Forget{Name: maintenance.MemberName(n)}}
		}, "is forgotten"),
		newReleaseCommand(stdout, with, one))
	return c
}

func newReleaseCommand(stdout io.Writer, with func(func(context.Context, *raftnode.Client) error) error,
	one func(string, string, func(string) maintenance.Command, string) *cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: "release", Short: "Change the fleet's version in steps", Args: command.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	var p maintenance.Plan
	var steps, kind, from, to string
	var dwell, within time.Duration
	var dry bool
	start := &cobra.Command{Use: "start NAME", Short: "Begin a release; --dry-run prints its steps", Args: cobra.ExactArgs(1),
		Example: "  oxbowspan fleet release start r42 --from v1 --to v2 --steps 0.05,0.25,1 --dwell 5m",
		RunE: func(_ *cobra.Command, args []string) error {
			p.ID, p.Kind, p.From, p.To = maintenance.ReleaseID(args[0]), maintenance.Kind(kind), maintenance.Version(from), maintenance.Version(to)
			p.Dwell, p.ChangeTimeout = maintenance.Duration(dwell.Milliseconds()), maintenance.Duration(within.Milliseconds())
			for _, text := range strings.Split(steps, ",") {
				share, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
				if err != nil {
					return fmt.Errorf("--steps: %.40q is no share", text)
				}
				p.Steps = append(p.Steps, share)
			}
			return with(func(ctx context.Context, c *raftnode.Client) error {
				if !dry {
					if _, err := c.Do(ctx, maintenance.Command{StartRelease: &p}); err != nil {
						return err
					}
					fmt.Fprintf(stdout, "release %s begins: it watches the fleet for %s first\n", p.ID, dwell)
					return nil
				}
				s, _, err := c.State(ctx)
				if err != nil {
					return err
				}
				names, err := s.PlanSteps(p)
				if err != nil {
					return err
				}
				for i, step := range names {
					fmt.Fprintf(stdout, "step %d: %d: %v\n", i+1, len(step), step)
				}
				return nil
			})
		}}
	f := start.Flags()
	f.StringVar(&kind, "kind", string(maintenance.Gatherer), "gatherer or server")
	f.StringVar(&from, "from", "", "the version that is changed")
	f.StringVar(&to, "to", "", "the version it becomes")
	f.StringVar(&steps, "steps", "0.05,0.25,1", "rising shares, the last is 1")
	f.DurationVar(&dwell, "dwell", 5*time.Minute, "how long each step is watched")
	f.DurationVar(&within, "within", 5*time.Minute, "how long one change may take")
	f.Float64Var(&p.MaxLoss, "most-loss", 0.01, "the changed ones' share answered in time may be so much lower")
	f.Uint64Var(&p.MinRequests, "least", 1000, "searches of the changed ones that a step is judged by")
	f.BoolVar(&p.ByZone, "by-zone", false, "zone after zone, else spread over the zones")
	f.BoolVar(&dry, "dry-run", false, "only print the steps")
	id := func(n string) maintenance.ReleaseID { return maintenance.ReleaseID(n) }
	c.AddCommand(start,
		one("halt NAME", "Stop a release where it is", func(n string) maintenance.Command {
			return maintenance.Command{HaltRelease: &maintenance.HaltRelease{ID: id(n)}}
		}, "is halted"),
		one("resume NAME", "Let a halted release go on", func(n string) maintenance.Command {
			return maintenance.Command{ResumeRelease: &maintenance.ResumeRelease{ID: id(n)}}
		}, "goes on"),
		one("back NAME", "Bring the changed ones back", func(n string) maintenance.Command {
			return maintenance.Command{RollBack: &maintenance.RollBack{ID: id(n)}}
		}, "goes back"))
	return c
}

func printFleet(w io.Writer, s *maintenance.State, leader string) {
	if leader == "" {
		fmt.Fprintln(w, "no steward leads: nothing new is granted; this is what one of them knew last")
	} else {
		fmt.Fprintf(w, "leader %s, %d commands applied\n", leader, s.Applied)
	}
	var names []maintenance.MemberName
	for n := range s.Members {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		m := s.Members[n]
		fmt.Fprintf(w, "%s %s zone %s version %s: %s\n", m.Kind, n, m.Zone, m.Version, cmp.Or(s.OutReason(m), "in"))
	}
	for _, r := range s.Releases {
		count := map[string]int{}
		for _, t := range r.Targets {
			count[t.State]++
		}
		fmt.Fprintf(w, "release %s: %s, step %d of %d, %d changed, %d changing, %d to do", r.Plan.ID, r.Phase, min(r.Step+1, len(r.Plan.Steps)), len(r.Plan.Steps),
			count["changed"], count["changing"], count["todo"])
		if r.HaltReason != "" {
			fmt.Fprintf(w, ": %s", r.HaltReason)
		}
		fmt.Fprintln(w)
	}
}
