package controlcli

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"oxbowspan/config"
	"oxbowspan/controlplane"
	"oxbowspan/internal/controlclient"
)

// outlierCommand is what operators do with the judgement of replicas.
func outlierCommand(path *string, out io.Writer) *ffcli.Command {
	o := &commandContext{settingsPath: path, out: out}
	var duration time.Duration
	var reason string
	pin := o.command("oxbowspan-control judgement", "pin", "INSTANCE in|avoided|out", "hold a server at a stance for a time, whatever is seen of it", 2, 2,
		func(ctx context.Context, k *controlclient.Client, args []string) error {
			return o.updatePin(ctx, k, args[0], &config.Pin{Instance: args[0], State: args[1], DurationSeconds: int(duration / time.Second), Reason: reason})
		})
	pin.FlagSet.DurationVar(&duration, "for", 10*time.Minute, "how long")
	pin.FlagSet.StringVar(&reason, "why", "", "the `reason`, for those who come after")
	return &ffcli.Command{Name: "judgement", ShortUsage: "oxbowspan-control judgement list|explain|pin|unpin", ShortHelp: "see what the gatherers hold of servers, and pin it",
		FlagSet: flag.NewFlagSet("judgement", flag.ContinueOnError), Subcommands: []*ffcli.Command{
			o.command("oxbowspan-control judgement", "list", "", "list the servers that are not simply in, and by how many gatherers", 0, 0, o.outlierList),
			o.command("oxbowspan-control judgement", "explain", "INSTANCE", "say which gatherer holds what of a server since when and why, and who saw it", 1, 1, o.outlierExplain),
			pin,
			o.command("oxbowspan-control judgement", "unpin", "INSTANCE", "end a pin", 1, 1, func(ctx context.Context, k *controlclient.Client, args []string) error {
				return o.updatePin(ctx, k, args[0], nil)
			}),
		}, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
}

// serverVerdicts is a server over all gatherers.
type serverVerdicts struct {
	Instance string         `json:"instance"`
	Service  string         `json:"service"`
	States   map[string]int `json:"stances"` // gatherers by what they hold
	Reason   string         `json:"why"`
	SinceS   float64        `json:"since_s"` // the longest
	Pinned   bool           `json:"pinned"`
}

func (o *commandContext) outlierList(ctx context.Context, k *controlclient.Client, _ []string) error {
	nodes, unreachable, err := k.OutlierVerdicts(ctx)
	if err != nil {
		return err
	}
	all := summarizeVerdicts(nodes)
	if err := o.print(all, func(w io.Writer) {
		if len(all) == 0 {
			fmt.Fprintln(w, "every server is in")
			return
		}
		fmt.Fprintln(w, "INSTANCE\tSERVICE\tGATHERERS\tSINCE\tWHY")
		for _, j := range all {
			var held []string
			for stance, n := range j.States {
				held = append(held, fmt.Sprintf("%s by %d", stance, n))
			}
			slices.Sort(held)
			if j.Pinned {
				held = append(held, "pinned")
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1f s\t%s\n", j.Instance, j.Service, strings.Join(held, ", "), j.SinceS, j.Reason)
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

func summarizeVerdicts(nodes []controlplane.GatewayOutliers) []*serverVerdicts {
	by := map[string]*serverVerdicts{}
	all := []*serverVerdicts{}
	for _, n := range nodes {
		for _, s := range n.Servers {
			j := by[s.Instance]
			if j == nil {
				j = &serverVerdicts{Instance: s.Instance, Service: s.Service, States: map[string]int{}}
				by[s.Instance] = j
				all = append(all, j)
			}
			j.States[s.State]++
			j.Pinned = j.Pinned || s.Pinned
			if s.SinceSeconds >= j.SinceS {
				j.SinceS, j.Reason = s.SinceSeconds, s.Reason
			}
		}
	}
	slices.SortFunc(all, func(a, b *serverVerdicts) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}

func (o *commandContext) outlierExplain(ctx context.Context, k *controlclient.Client, args []string) error {
	nodes, unreachable, err := k.OutlierVerdicts(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(nodes, func(a, b controlplane.GatewayOutliers) int { return cmp.Compare(a.Gateway, b.Gateway) })
	for i := range nodes {
		nodes[i].Servers = slices.DeleteFunc(nodes[i].Servers, func(j controlplane.OutlierVerdict) bool { return j.Instance != args[0] })
	}
	nodes = slices.DeleteFunc(nodes, func(n controlplane.GatewayOutliers) bool { return len(n.Servers) == 0 })
	if err := o.print(nodes, func(w io.Writer) {
		if len(nodes) == 0 {
			fmt.Fprintf(w, "no gatherer holds anything against %s\n", args[0])
		}
		for _, n := range nodes {
			j := n.Servers[0]
			fmt.Fprintf(w, "%s in %s\t%s for %.1f s\tpredicted %.2f times slower\t%s\n", n.Gateway, n.Zone, j.State, j.SinceSeconds, j.Factor, j.Reason)
			for _, v := range j.Observations {
				fmt.Fprintf(w, "  gatherer %s said %s\t%.1f s ago\t\t\n", v.Observer, v.Kind, v.AgeSeconds)
			}
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

// updatePin has the pins agreed on with one instance's pin set, or ended. Of two operators at once one is told to begin again.
func (o *commandContext) updatePin(ctx context.Context, k *controlclient.Client, instance string, pin *config.Pin) error {
	doc := &config.PinDocument{}
	text, version, err := k.Read(ctx, config.PinsDocumentName)
	if err == nil {
		if doc, err = config.ParsePins(text); err != nil {
			return err
		}
	} else if !eris.Is(err, controlclient.ErrNotFound) {
		return err
	}
	had := len(doc.Pins)
	doc.Pins = slices.DeleteFunc(doc.Pins, func(p config.Pin) bool { return p.Instance == instance })
	if pin != nil {
		doc.Pins = append(doc.Pins, *pin)
	} else if len(doc.Pins) == had {
		return eris.Errorf("%s is not pinned", instance)
	}
	if problems := doc.Validate(); len(problems) > 0 {
		return eris.New(strings.Join(problems, "; "))
	}
	if text, err = json.Marshal(doc); err != nil {
		return err
	}
	if version, err = k.Replace(ctx, config.PinsDocumentName, version, text); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "version %d of the pins is agreed\n", version)
	return nil
}
