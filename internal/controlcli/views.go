package controlcli

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"oxbowspan/config"
	"oxbowspan/controlplane"
	"oxbowspan/internal/controlclient"
)

// viewCommands are those that show what the hives know.
func viewCommands(path *string, out io.Writer) []*ffcli.Command {
	o := &commandContext{settingsPath: path, out: out}
	return []*ffcli.Command{
		o.command("oxbowspan-control", "nodes", "", "list the gatherers, and which have the newest version in force", 0, 0, o.nodes),
		o.command("oxbowspan-control", "servers", "[SERVICE]", "list the servers, as their heartbeats tell", 0, 1, o.servers),
		o.command("oxbowspan-control", "members", "", "say who votes, as each hive sees it, and what loss is borne now", 0, 0, o.members),
		o.command("oxbowspan-control", "events", "", "say what the system did and saw, all hives together, the newest last", 0, 0, o.events),
	}
}

func (o *commandContext) nodes(ctx context.Context, k *controlclient.Client, _ []string) error {
	all, unreachable, err := controlclient.ListAll(ctx, k, "/-/nodes/read", func(n controlplane.GatewayStatus) string { return n.Address }, func(a, b controlplane.GatewayStatus) bool {
		return a.PollsHere && !b.PollsHere || a.PollsHere == b.PollsHere && a.AgeSeconds < b.AgeSeconds
	})
	if err != nil {
		return err
	}
	slices.SortFunc(all, func(a, b controlplane.GatewayStatus) int { return cmp.Compare(a.Address, b.Address) })
	if err := o.print(all, func(w io.Writer) {
		fmt.Fprintln(w, "ADDRESS\tZONE\tHEARD S AGO\tTURN IN FORCE\tNEWEST")
		for _, n := range all {
			turn, newest := "not known", ""
			if n.PollsHere {
				turn, newest = fmt.Sprint(n.Slot), map[bool]string{true: "yes", false: "no"}[n.UpToDate]
			}
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%s\n", n.Address, n.Zone, n.AgeSeconds, turn, newest)
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

func (o *commandContext) servers(ctx context.Context, k *controlclient.Client, args []string) error {
	all, unreachable, err := controlclient.ListAll(ctx, k, "/-/servers/read", func(s controlplane.ServerStatus) string { return s.Instance }, func(a, b controlplane.ServerStatus) bool { return a.AgeSeconds < b.AgeSeconds })
	if err != nil {
		return err
	}
	if len(args) == 1 {
		all = slices.DeleteFunc(all, func(s controlplane.ServerStatus) bool { return s.Service != args[0] })
	}
	slices.SortFunc(all, func(a, b controlplane.ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	if err := o.print(all, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tINSTANCE\tADDRESS\tZONE\tVERSION\tSLOTS\tSTATE\tHEARD S AGO")
		for _, s := range all {
			state := s.State
			if s.Unresponsive {
				state += ", silent"
			}
			if s.SlowStartSeconds > 0 {
				state += fmt.Sprintf(", cold for %.1f s", s.SlowStartSeconds)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%.1f\n", s.Service, s.Instance, s.Address, s.Zone, s.Version, s.Slots, state, s.AgeSeconds)
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

func (o *commandContext) members(ctx context.Context, k *controlclient.Client, _ []string) error {
	all := []controlplane.MembershipStatus{}
	unreachable, err := k.ForEach(ctx, "/-/members/read", func(_ string, text []byte) error {
		var m controlplane.MembershipStatus
		if err := json.Unmarshal(text, &m); err != nil {
			return err
		}
		all = append(all, m)
		return nil
	})
	if err != nil {
		return err
	}
	if err := o.print(all, func(w io.Writer) {
		for _, m := range all {
			state := "in contact with a majority"
			if !m.HasQuorum {
				state = "not in contact with a majority"
			}
			if !m.Stable {
				state += ", the acceptors are being changed"
			}
			fmt.Fprintf(w, "%s: turn %d, version %d, %s; disks that may be lost now: %d\n", m.Controller, m.Slot, m.Version, state, m.TolerableLosses)
			for _, v := range m.Members {
				holds := ""
				if !v.Complete {
					holds = ", not known to hold what is agreed"
				}
				fmt.Fprintf(w, "  %s\t%s\theard %.1f s ago%s\n", v.Identity, v.Address, v.SilentSeconds, holds)
			}
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

func (o *commandContext) events(ctx context.Context, k *controlclient.Client, _ []string) error {
	all, unreachable, err := controlclient.ListAll(ctx, k, "/-/events/read", func(e controlplane.Event) string { return fmt.Sprint(e.Controller, " ", e.Sequence) }, func(_, _ controlplane.Event) bool { return false })
	if err != nil {
		return err
	}
	slices.SortFunc(all, func(a, b controlplane.Event) int {
		return cmp.Or(cmp.Compare(b.AgeSeconds, a.AgeSeconds), cmp.Compare(a.Controller, b.Controller), cmp.Compare(a.Sequence, b.Sequence))
	})
	if err := o.print(all, func(w io.Writer) {
		for _, e := range all {
			fmt.Fprintf(w, "%.1f s ago\t%s\t%s\t%s\n", e.AgeSeconds, e.Controller, e.Kind, e.Text)
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

// configCommand is what operators do with the configuration.
func configCommand(path *string, out io.Writer) *ffcli.Command {
	o := &commandContext{settingsPath: path, out: out}
	var basedOn int64
	put := o.command("oxbowspan-control config", "put", "FILE", "have a configuration agreed on, in place of the newest", 1, 1, func(ctx context.Context, k *controlclient.Client, args []string) error {
		return o.configPut(ctx, k, args[0], basedOn)
	})
	put.FlagSet.Int64Var(&basedOn, "based-on", -1, "the `version` that it replaces; else the newest")
	return &ffcli.Command{Name: "config", ShortUsage: "oxbowspan-control config get|put|diff|history|explain", ShortHelp: "see and set the configuration",
		FlagSet: flag.NewFlagSet("config", flag.ContinueOnError), Subcommands: []*ffcli.Command{
			o.command("oxbowspan-control config", "get", "", "print the newest configuration", 0, 0, func(ctx context.Context, k *controlclient.Client, _ []string) error {
				_, text, err := k.Configuration(ctx)
				if err == nil {
					_, err = o.out.Write(append(bytes.TrimRight(text, "\n"), '\n'))
				}
				return err
			}),
			put,
			o.command("oxbowspan-control config", "diff", "FILE", "say what a file would change", 1, 1, o.configDiff),
			o.command("oxbowspan-control config", "history", "", "list the versions that are remembered, the oldest first", 0, 0, o.configHistory),
			o.command("oxbowspan-control config", "explain", "HOST/PATH", "say which route a request takes, to which services, and which gatherers have that version", 1, 1, o.configExplain),
		}, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
}

func readConfigurationFile(name string) (*config.Configuration, []byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, fmt.Errorf("the configuration can't be read: %w", err)
	}
	c, err := config.Parse(text)
	if err != nil {
		return nil, nil, err
	}
	if problems := c.Validate(); len(problems) > 0 {
		return nil, nil, fmt.Errorf("%s", strings.Join(problems, "\n"))
	}
	return c, text, nil
}

func (o *commandContext) configPut(ctx context.Context, k *controlclient.Client, file string, basedOn int64) error {
	_, text, err := readConfigurationFile(file)
	if err != nil {
		return err
	}
	if basedOn < 0 {
		basedOn = 0
		newest, _, err := k.Configuration(ctx)
		if err == nil {
			basedOn = int64(newest.Version)
		} else if !eris.Is(err, controlclient.ErrNotFound) {
			return err
		}
	}
	version, err := k.Replace(ctx, "configuration", uint64(basedOn), text)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.out, "version %d is agreed, on top of %d\n", version, basedOn)
	return nil
}

// configChange is what a configuration has that another has not, or has otherwise.
type configChange struct {
	Kind   string `json:"what"` // route, service, limits
	Name   string `json:"name"`
	Change string `json:"how"` // added, removed, changed
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}

func (o *commandContext) configDiff(ctx context.Context, k *controlclient.Client, args []string) error {
	next, _, err := readConfigurationFile(args[0])
	if err != nil {
		return err
	}
	now, _, err := k.Configuration(ctx)
	if eris.Is(err, controlclient.ErrNotFound) {
		now, err = &config.Configuration{}, nil
	}
	if err != nil {
		return err
	}
	changes := diffConfigurations(now, next)
	return o.print(changes, func(w io.Writer) {
		fmt.Fprintf(w, "version %d to %d, %d changes\n", now.Version, next.Version, len(changes))
		for _, c := range changes {
			fmt.Fprintf(w, "%s %s\t%s\n", c.Kind, c.Name, c.Change)
			if c.From != "" {
				fmt.Fprintf(w, "  from %s\n", c.From)
			}
			if c.To != "" {
				fmt.Fprintf(w, "  to %s\n", c.To)
			}
		}
	})
}

func diffConfigurations(a, b *config.Configuration) []configChange {
	out := []configChange{}
	compare := func(what string, from, to map[string]string) {
		names := map[string]bool{}
		for n := range from {
			names[n] = true
		}
		for n := range to {
			names[n] = true
		}
		sorted := make([]string, 0, len(names))
		for n := range names {
			sorted = append(sorted, n)
		}
		slices.Sort(sorted)
		for _, n := range sorted {
			switch f, t := from[n], to[n]; {
			case f == t:
			case f == "":
				out = append(out, configChange{what, n, "added", "", t})
			case t == "":
				out = append(out, configChange{what, n, "removed", f, ""})
			default:
				out = append(out, configChange{what, n, "changed", f, t})
			}
		}
	}
	text := func(v any) string {
		b, _ := json.Marshal(v)
		return string(b)
	}
	routes := func(c *config.Configuration) map[string]string {
		m := map[string]string{}
		for _, r := range c.Routes {
			m[strings.ToLower(r.Hostname)+r.PathPrefix] = text(r)
		}
		return m
	}
	services := func(c *config.Configuration) map[string]string {
		m := map[string]string{}
		for _, s := range c.Services {
			m[s.Name] = text(s)
		}
		return m
	}
	compare("route", routes(a), routes(b))
	compare("service", services(a), services(b))
	compare("limits", map[string]string{"": text(a.Limits)}, map[string]string{"": text(b.Limits)})
	return out
}

func (o *commandContext) configHistory(ctx context.Context, k *controlclient.Client, _ []string) error {
	all, unreachable, err := controlclient.ListAll(ctx, k, "/-/configuration/history", func(v controlplane.HistoryEntry) string { return fmt.Sprint(v.Version) }, func(_, _ controlplane.HistoryEntry) bool { return false })
	if err != nil {
		return err
	}
	slices.SortFunc(all, func(a, b controlplane.HistoryEntry) int { return cmp.Compare(a.Version, b.Version) })
	if err := o.print(all, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tON TOP OF\tDIGEST")
		for _, v := range all {
			fmt.Fprintf(w, "%d\t%d\t%.16s\n", v.Version, v.BasedOn, v.Digest)
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

// routeExplanation is the way of a request.
type routeExplanation struct {
	Route          *config.Route `json:"route"` // null = none: 404
	Version        uint64        `json:"version"`
	Tenant         string        `json:"tenant,omitempty"`
	Servers        int           `json:"servers"` // ready, over the route's services
	WithVersion    int           `json:"gatherers_with_it"`
	WithoutVersion []string      `json:"gatherers_without,omitempty"`
	Services       []string      `json:"services"`
}

func (o *commandContext) configExplain(ctx context.Context, k *controlclient.Client, args []string) error {
	host, path, found := strings.Cut(args[0], "/")
	if !found || host == "" {
		return eris.New("a request is named by its host and path, as in h.example/a/b")
	}
	c, _, err := k.Configuration(ctx)
	if err != nil {
		return err
	}
	path, _, _ = strings.Cut("/"+path, "?")
	e := routeExplanation{Route: config.NewRouteTable(c).Find(host, path), Version: c.Version, Services: []string{}}
	if e.Route != nil {
		e.Services = e.Route.Services()
		if text, _, err := k.Read(ctx, config.TenantsDocumentName); err == nil {
			if doc, err := config.ParseTenants(text); err == nil {
				if at, named := doc.NewTenantTable().Lookup(e.Route); named {
					e.Tenant = doc.Tenants[at].Name
				}
			}
		}
	}
	servers, unreachable, err := controlclient.ListAll(ctx, k, "/-/servers/read", func(s controlplane.ServerStatus) string { return s.Instance }, func(a, b controlplane.ServerStatus) bool { return a.AgeSeconds < b.AgeSeconds })
	if err != nil {
		return err
	}
	for _, s := range servers {
		if s.State == "ready" && !s.Unresponsive && slices.Contains(e.Services, s.Service) {
			e.Servers++
		}
	}
	nodes, _, err := controlclient.ListAll(ctx, k, "/-/nodes/read", func(n controlplane.GatewayStatus) string { return n.Address }, func(a, b controlplane.GatewayStatus) bool { return a.PollsHere && !b.PollsHere })
	if err != nil {
		return err
	}
	for _, n := range nodes {
		if n.UpToDate {
			e.WithVersion++
		} else {
			e.WithoutVersion = append(e.WithoutVersion, n.Address)
		}
	}
	if err := o.print(e, func(w io.Writer) {
		if e.Route == nil {
			fmt.Fprintf(w, "no route of version %d leads there: 404\n", e.Version)
			return
		}
		fmt.Fprintf(w, "route %s (%s%s) of version %d, %s\n", e.Route.Name, e.Route.Hostname, e.Route.PathPrefix, e.Version, e.Route.RouteKind)
		fmt.Fprintf(w, "services %s, %d servers ready\n", strings.Join(e.Services, ", "), e.Servers)
		if e.Tenant != "" {
			fmt.Fprintf(w, "tenant %s\n", e.Tenant)
		}
		fmt.Fprintf(w, "in force on %d gatherers", e.WithVersion)
		if len(e.WithoutVersion) > 0 {
			fmt.Fprintf(w, "; not, or not known, on %s", strings.Join(e.WithoutVersion, ", "))
		}
		fmt.Fprintln(w)
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}
