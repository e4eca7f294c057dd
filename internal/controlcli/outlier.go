package controlcli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/config"
	"oxbowspan/controlapi"
	"oxbowspan/internal/controlclient"
)

// defaultPinDuration is how long a pin lasts unless --for states otherwise.
const defaultPinDuration = 10 * time.Minute

// outlierCommand returns the command with subcommands that show the gateways' verdicts on servers, and pin servers.
func outlierCommand(path *string, out io.Writer) *ffcli.Command {
	const parent = controllerName + " judgement"
	e := &environment{settingsPath: path, out: out}
	var duration time.Duration
	var reason string
	pin := remoteCommand{parent: parent, name: "pin", usage: "INSTANCE in|avoided|out", minArgs: 2, maxArgs: 2,
		help: "keep a server in a state for a time, regardless of what gateways observe",
		setFlags: func(flags *flag.FlagSet) {
			flags.DurationVar(&duration, "for", defaultPinDuration, "how long")
			flags.StringVar(&reason, "why", "", "the `reason`, for other operators")
		},
		run: func(ctx context.Context, client *controlclient.Client, args []string) error {
			return e.updatePin(ctx, client, args[0], &config.Pin{
				Instance:        args[0],
				State:           args[1],
				DurationSeconds: int(duration / time.Second),
				Reason:          reason,
			})
		},
	}
	unpin := remoteCommand{parent: parent, name: "unpin", usage: "INSTANCE", minArgs: 1, maxArgs: 1,
		help: "end a pin",
		run: func(ctx context.Context, client *controlclient.Client, args []string) error {
			return e.updatePin(ctx, client, args[0], nil)
		},
	}
	return &ffcli.Command{
		Name:       "judgement",
		ShortUsage: parent + " list|explain|pin|unpin",
		ShortHelp:  "show the servers that gateways avoid or eject, and pin servers",
		FlagSet:    flag.NewFlagSet("judgement", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			e.command(remoteCommand{parent: parent, name: "list", run: e.outlierList,
				help: "list the servers that some gateways do not find healthy, with the number of gateways"}),
			e.command(remoteCommand{parent: parent, name: "explain", usage: "INSTANCE", minArgs: 1, maxArgs: 1, run: e.outlierExplain,
				help: "show each gateway's verdict on a server, and the observations that it is based on"}),
			e.command(pin),
			e.command(unpin),
		},
		Exec: showUsage,
	}
}

// verdictSummary summarizes the verdicts of all gateways on one server.
type verdictSummary struct {
	Instance     string         `json:"instance"`
	Service      string         `json:"service"`
	States       map[string]int `json:"stances"` // number of gateways by state
	Reason       string         `json:"why"`     // of the verdict that has been in force longest
	SinceSeconds float64        `json:"since_s"` // how long that verdict has been in force
	Pinned       bool           `json:"pinned"`
}

var verdictColumns = []column[*verdictSummary]{
	{"INSTANCE", func(v *verdictSummary) string { return v.Instance }},
	{"SERVICE", func(v *verdictSummary) string { return v.Service }},
	{"GATEWAYS", (*verdictSummary).gateways},
	{"SINCE", func(v *verdictSummary) string { return fmt.Sprintf("%.1f s", v.SinceSeconds) }},
	{"REASON", func(v *verdictSummary) string { return v.Reason }},
}

// gateways returns the number of gateways by state as text.
func (v *verdictSummary) gateways() string {
	var counts []string
	for state, count := range v.States {
		counts = append(counts, fmt.Sprintf("%s by %d", state, count))
	}
	slices.Sort(counts)
	if v.Pinned {
		counts = append(counts, "pinned")
	}
	return strings.Join(counts, ", ")
}

func (e *environment) outlierList(ctx context.Context, client *controlclient.Client, _ []string) error {
	listing, err := client.OutlierVerdicts(ctx)
	if err != nil {
		return err
	}
	summaries := summarizeVerdicts(listing.Items)
	return e.printListing(summaries, listing.Unreachable, func(w io.Writer) {
		if len(summaries) == 0 {
			fmt.Fprintln(w, "all servers are healthy")
			return
		}
		writeTable(w, verdictColumns, summaries)
	})
}

// summarizeVerdicts returns a summary for each server with a verdict, sorted by service and instance.
func summarizeVerdicts(gateways []controlapi.GatewayOutliers) []*verdictSummary {
	byInstance := map[string]*verdictSummary{}
	summaries := []*verdictSummary{}
	for _, gateway := range gateways {
		for _, verdict := range gateway.Servers {
			summary := byInstance[verdict.Instance]
			if summary == nil {
				summary = &verdictSummary{Instance: verdict.Instance, Service: verdict.Service, States: map[string]int{}}
				byInstance[verdict.Instance] = summary
				summaries = append(summaries, summary)
			}
			summary.States[verdict.State]++
			summary.Pinned = summary.Pinned || verdict.Pinned
			if verdict.SinceSeconds >= summary.SinceSeconds {
				summary.SinceSeconds, summary.Reason = verdict.SinceSeconds, verdict.Reason
			}
		}
	}
	slices.SortFunc(summaries, func(a, b *verdictSummary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return summaries
}

func (e *environment) outlierExplain(ctx context.Context, client *controlclient.Client, args []string) error {
	listing, err := client.OutlierVerdicts(ctx)
	if err != nil {
		return err
	}
	instance, gateways := args[0], listing.Items
	slices.SortFunc(gateways, func(a, b controlapi.GatewayOutliers) int { return cmp.Compare(a.Gateway, b.Gateway) })
	for i := range gateways {
		gateways[i].Servers = slices.DeleteFunc(gateways[i].Servers, func(v controlapi.OutlierVerdict) bool { return v.Instance != instance })
	}
	gateways = slices.DeleteFunc(gateways, func(g controlapi.GatewayOutliers) bool { return len(g.Servers) == 0 })
	return e.printListing(gateways, listing.Unreachable, func(w io.Writer) {
		if len(gateways) == 0 {
			fmt.Fprintf(w, "all gateways find %s healthy\n", instance)
		}
		for _, gateway := range gateways {
			writeVerdict(w, gateway, gateway.Servers[0])
		}
	})
}

func writeVerdict(w io.Writer, gateway controlapi.GatewayOutliers, verdict controlapi.OutlierVerdict) {
	fmt.Fprintf(w, "%s in %s\t%s for %.1f s\tpredicted %.2f times slower\t%s\n",
		gateway.Gateway, gateway.Zone, verdict.State, verdict.SinceSeconds, verdict.Factor, verdict.Reason)
	for _, observation := range verdict.Observations {
		fmt.Fprintf(w, "  gateway %s observed %s\t%.1f s ago\t\t\n", observation.Observer, observation.Kind, observation.AgeSeconds)
	}
}

// updatePin commits the pins document with one instance's pin replaced, or removed if pin is nil. If two operators update pins at the same
// time, one of them is rejected.
func (e *environment) updatePin(ctx context.Context, client *controlclient.Client, instance string, pin *config.Pin) error {
	document, basedOn, err := readPins(ctx, client)
	if err != nil {
		return err
	}
	before := len(document.Pins)
	document.Pins = slices.DeleteFunc(document.Pins, func(p config.Pin) bool { return p.Instance == instance })
	if pin != nil {
		document.Pins = append(document.Pins, *pin)
	} else if len(document.Pins) == before {
		return fmt.Errorf("%s is not pinned", instance)
	}
	if problems := document.Validate(); len(problems) > 0 {
		return &problemsError{Problems: problems}
	}
	text, err := json.Marshal(document)
	if err != nil {
		return err
	}
	version, err := client.Replace(ctx, config.PinsDocumentName, basedOn, text)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "version %d of the pins is committed\n", version)
	return nil
}

// readPins returns the newest pins document and its version. Before the first version, the document is empty.
func readPins(ctx context.Context, client *controlclient.Client) (document *config.PinDocument, version uint64, err error) {
	text, version, err := client.Read(ctx, config.PinsDocumentName)
	if errors.Is(err, controlclient.ErrNotFound) {
		return &config.PinDocument{}, version, nil
	}
	if err != nil {
		return nil, 0, err
	}
	document, err = config.ParsePins(text)
	return document, version, err
}
