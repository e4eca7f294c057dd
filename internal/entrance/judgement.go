package entrance

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
	"oxbowspan/internal/beekeeper"
)

// judgementCommand is what operators do with the judgement of replicas.
func judgementCommand(path *string, out io.Writer) *ffcli.Command {
	o := &operator{path: path, out: out}
	var last time.Duration
	var why string
	pin := o.command("hive judgement", "pin", "INSTANCE in|avoided|out", "hold a server at a stance for a time, whatever is seen of it", 2, 2,
		func(ctx context.Context, k *beekeeper.Keeper, args []string) error {
			return o.repin(ctx, k, args[0], &config.Pin{Instance: args[0], State: args[1], DurationSeconds: int(last / time.Second), Reason: why})
		})
	pin.FlagSet.DurationVar(&last, "for", 10*time.Minute, "how long")
	pin.FlagSet.StringVar(&why, "why", "", "the `reason`, for those who come after")
	return &ffcli.Command{Name: "judgement", ShortUsage: "hive judgement list|explain|pin|unpin", ShortHelp: "see what the gatherers hold of servers, and pin it",
		FlagSet: flag.NewFlagSet("judgement", flag.ContinueOnError), Subcommands: []*ffcli.Command{
			o.command("hive judgement", "list", "", "list the servers that are not simply in, and by how many gatherers", 0, 0, o.judgementList),
			o.command("hive judgement", "explain", "INSTANCE", "say which gatherer holds what of a server since when and why, and who saw it", 1, 1, o.judgementExplain),
			pin,
			o.command("hive judgement", "unpin", "INSTANCE", "end a pin", 1, 1, func(ctx context.Context, k *beekeeper.Keeper, args []string) error {
				return o.repin(ctx, k, args[0], nil)
			}),
		}, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
}

// judged is a server over all gatherers.
type judged struct {
	Instance string         `json:"instance"`
	Service  string         `json:"service"`
	Stances  map[string]int `json:"stances"` // gatherers by what they hold
	Why      string         `json:"why"`
	SinceS   float64        `json:"since_s"` // the longest
	Pinned   bool           `json:"pinned"`
}

func (o *operator) judgementList(ctx context.Context, k *beekeeper.Keeper, _ []string) error {
	nodes, silent, err := k.Judgements(ctx)
	if err != nil {
		return err
	}
	all := sumJudgements(nodes)
	if err := o.print(all, func(w io.Writer) {
		if len(all) == 0 {
			fmt.Fprintln(w, "every server is in")
			return
		}
		fmt.Fprintln(w, "INSTANCE\tSERVICE\tGATHERERS\tSINCE\tWHY")
		for _, j := range all {
			var held []string
			for stance, n := range j.Stances {
				held = append(held, fmt.Sprintf("%s by %d", stance, n))
			}
			slices.Sort(held)
			if j.Pinned {
				held = append(held, "pinned")
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1f s\t%s\n", j.Instance, j.Service, strings.Join(held, ", "), j.SinceS, j.Why)
		}
	}); err != nil {
		return err
	}
	o.silent(silent)
	return nil
}

func sumJudgements(nodes []controlplane.GatewayOutliers) []*judged {
	by := map[string]*judged{}
	all := []*judged{}
	for _, n := range nodes {
		for _, s := range n.Servers {
			j := by[s.Instance]
			if j == nil {
				j = &judged{Instance: s.Instance, Service: s.Service, Stances: map[string]int{}}
				by[s.Instance] = j
				all = append(all, j)
			}
			j.Stances[s.State]++
			j.Pinned = j.Pinned || s.Pinned
			if s.SinceSeconds >= j.SinceS {
				j.SinceS, j.Why = s.SinceSeconds, s.Reason
			}
		}
	}
	slices.SortFunc(all, func(a, b *judged) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}

func (o *operator) judgementExplain(ctx context.Context, k *beekeeper.Keeper, args []string) error {
	nodes, silent, err := k.Judgements(ctx)
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
	o.silent(silent)
	return nil
}

// repin has the pins agreed on with one instance's pin set, or ended. Of two operators at once one is told to begin again.
func (o *operator) repin(ctx context.Context, k *beekeeper.Keeper, instance string, pin *config.Pin) error {
	doc := &config.PinDocument{}
	text, version, err := k.Read(ctx, config.PinsDocumentName)
	if err == nil {
		if doc, err = config.ParsePins(text); err != nil {
			return err
		}
	} else if !eris.Is(err, beekeeper.ErrNone) {
		return err
	}
	had := len(doc.Pins)
	doc.Pins = slices.DeleteFunc(doc.Pins, func(p config.Pin) bool { return p.Instance == instance })
	if pin != nil {
		doc.Pins = append(doc.Pins, *pin)
	} else if len(doc.Pins) == had {
		return eris.Errorf("%s is not pinned", instance)
	}
	if faults := doc.Validate(); len(faults) > 0 {
		return eris.New(strings.Join(faults, "; "))
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
