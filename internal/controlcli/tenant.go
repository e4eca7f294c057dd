package controlcli

import (
	"context"
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
	"oxbowspan/quota"
	"oxbowspan/rendezvous"
)

// tenantCommand is what operators do with tenants.
func tenantCommand(path *string, out io.Writer) *ffcli.Command {
	o := &commandContext{settingsPath: path, out: out}
	subcommand := func(name, usage, help string, least, most int, do func(ctx context.Context, k *controlclient.Client, args []string) error) *ffcli.Command {
		return o.command("oxbowspan-control tenant", name, usage, help, least, most, do)
	}
	var basedOn int64
	set := subcommand("set", "FILE", "have a document of tenants agreed on, in place of the newest", 1, 1, func(ctx context.Context, k *controlclient.Client, args []string) error {
		return o.tenantSet(ctx, k, args[0], basedOn)
	})
	set.FlagSet.Int64Var(&basedOn, "based-on", -1, "the `version` that it replaces; else the newest")
	return &ffcli.Command{Name: "tenant", ShortUsage: "oxbowspan-control tenant list|explain|set|dry-run", ShortHelp: "see and set who shares the servers' connections",
		FlagSet: flag.NewFlagSet("tenant", flag.ContinueOnError), Subcommands: []*ffcli.Command{
			subcommand("list", "", "list the tenants and what each has now", 0, 0, o.tenantList),
			subcommand("explain", "[TENANT]", "say who has what on which node and server, lent or its own, and who waited how long", 0, 1, o.tenantExplain),
			set,
			subcommand("dry-run", "FILE", "say what a document of tenants would give to whom, and change nothing", 1, 1, o.tenantDryRun),
		}, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
}

// tenantSummary is a tenant over all nodes.
type tenantSummary struct {
	Name     string   `json:"name"`
	Weight   float64  `json:"weight"`
	Floor    int      `json:"floor,omitempty"`
	Max      int      `json:"most,omitempty"`
	Routes   []string `json:"routes"`
	InUse    uint32   `json:"held"`
	Borrowed uint32   `json:"lent"`
	Waiting  uint32   `json:"waiting"`
	Requests uint64   `json:"requests_last_minute"`
	Waited   uint64   `json:"waited_last_minute"`
	P99MS    float64  `json:"most_p99_ms"` // of any node
}

func (o *commandContext) tenantList(ctx context.Context, k *controlclient.Client, _ []string) error {
	conf, _, err := k.Configuration(ctx)
	if err != nil {
		return err
	}
	text, version, err := k.Read(ctx, config.TenantsDocumentName)
	if eris.Is(err, controlclient.ErrNotFound) {
		fmt.Fprintln(o.out, "no document of tenants is in force: connections go to whoever comes first")
		return nil
	}
	if err != nil {
		return err
	}
	doc, err := config.ParseTenants(text)
	if err != nil {
		return err
	}
	nodes, unreachable, err := k.Tenants(ctx)
	if err != nil {
		return err
	}
	summaries := summarizeTenants(conf, doc, nodes)
	if err := o.print(summaries, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, %d nodes\n", version, len(nodes))
		fmt.Fprintln(w, "TENANT\tWEIGHT\tFLOOR\tMOST\tROUTES\tHELD\tLENT\tWAITING\tREQUESTS/MIN\tWAITED\tP99 MS")
		for _, s := range summaries {
			fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\n", s.Name, s.Weight, s.Floor, s.Max, len(s.Routes), s.InUse, s.Borrowed, s.Waiting, s.Requests, s.Waited, s.P99MS)
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

// summarizeTenants lists the document's tenants, then those that routes in none make by themselves.
func summarizeTenants(conf *config.Configuration, doc *config.TenantDocument, nodes []controlplane.GatewayTenants) []*tenantSummary {
	var summaries []*tenantSummary
	by := map[string]*tenantSummary{}
	add := func(s *tenantSummary) {
		summaries = append(summaries, s)
		by[s.Name] = s
	}
	for _, t := range doc.Tenants {
		weight := t.Weight
		if weight == 0 {
			weight = 1
		}
		add(&tenantSummary{Name: t.Name, Weight: weight, Floor: t.ReservedConnections, Max: t.MaxConnections})
	}
	routeTenants := doc.NewTenantTable()
	for i := range conf.Routes {
		r := &conf.Routes[i]
		key := r.Hostname + r.PathPrefix
		if at, named := routeTenants.Lookup(r); named {
			summaries[at].Routes = append(summaries[at].Routes, key)
		} else {
			add(&tenantSummary{Name: key, Weight: 1, Routes: []string{key}})
		}
	}
	for _, n := range nodes {
		for _, h := range n.Connections {
			if s := by[h.Tenant]; s != nil {
				s.InUse, s.Borrowed = s.InUse+h.InUse, s.Borrowed+h.Borrowed
			}
		}
		for _, w := range n.Waits {
			if s := by[w.Tenant]; s != nil {
				s.Requests, s.Waited, s.Waiting, s.P99MS = s.Requests+w.Requests, s.Waited+w.Waited, s.Waiting+w.Waiting, max(s.P99MS, w.P99MS)
			}
		}
	}
	return summaries
}

func (o *commandContext) tenantExplain(ctx context.Context, k *controlclient.Client, args []string) error {
	nodes, unreachable, err := k.Tenants(ctx)
	if err != nil {
		return err
	}
	if len(args) == 1 {
		for i := range nodes {
			nodes[i].Connections = slices.DeleteFunc(nodes[i].Connections, func(h controlplane.ConnectionUsage) bool { return h.Tenant != args[0] })
			nodes[i].Waits = slices.DeleteFunc(nodes[i].Waits, func(w controlplane.WaitStats) bool { return w.Tenant != args[0] })
		}
	}
	slices.SortFunc(nodes, func(a, b controlplane.GatewayTenants) int { return strings.Compare(a.Gateway, b.Gateway) })
	if err := o.print(nodes, func(w io.Writer) {
		for _, n := range nodes {
			fmt.Fprintf(w, "node %s in %s, tenants of version %d\n", n.Gateway, n.Zone, n.TenantsVersion)
			for _, h := range n.Connections {
				wants := ""
				if h.WantsMore {
					wants = ", wants another"
				}
				fmt.Fprintf(w, "  %s\tat %s of %s\tholds %d of %d\town part %.1f, lent %d%s\n", h.Tenant, h.Instance, h.Service, h.InUse, h.Limit, h.Share, h.Borrowed, wants)
			}
			for _, t := range n.Waits {
				fmt.Fprintf(w, "  %s\t%d requests in the last minute\t%d waited, %d wait now\tp50 %.1f ms, p99 %.1f ms, longest %.1f ms\n", t.Tenant, t.Requests, t.Waited, t.Waiting, t.P50MS, t.P99MS, t.MaxMS)
			}
		}
	}); err != nil {
		return err
	}
	o.reportUnreachable(unreachable)
	return nil
}

func readTenantsFile(name string) (*config.TenantDocument, []byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, fmt.Errorf("the document of tenants can't be read: %w", err)
	}
	doc, err := config.ParseTenants(text)
	if err != nil {
		return nil, nil, err
	}
	if problems := doc.Validate(); len(problems) > 0 {
		return nil, nil, fmt.Errorf("%s", strings.Join(problems, "\n"))
	}
	return doc, text, nil
}

func (o *commandContext) tenantSet(ctx context.Context, k *controlclient.Client, file string, basedOn int64) error {
	_, text, err := readTenantsFile(file)
	if err != nil {
		return err
	}
	if basedOn < 0 {
		_, newest, err := k.Read(ctx, config.TenantsDocumentName)
		if err != nil && !eris.Is(err, controlclient.ErrNotFound) {
			return err
		}
		basedOn = int64(newest)
	}
	version, err := k.Replace(ctx, config.TenantsDocumentName, uint64(basedOn), text)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.out, "version %d of the tenants is agreed\n", version)
	return nil
}

// servicePlan is what a document of tenants gives at each server of a service while all want everything.
type servicePlan struct {
	Service string       `json:"service"`
	Limit   int          `json:"connection_limit"`
	Tenants []tenantPlan `json:"tenants"`
}

type tenantPlan struct {
	Name  string  `json:"name"`
	Share float64 `json:"part"` // of the connections at one server, of all gatherers together
	Floor int     `json:"floor,omitempty"`
	Max   int     `json:"most,omitempty"`
}

func (o *commandContext) tenantDryRun(ctx context.Context, k *controlclient.Client, args []string) error {
	doc, _, err := readTenantsFile(args[0])
	if err != nil {
		return err
	}
	conf, _, err := k.Configuration(ctx)
	if err != nil {
		return err
	}
	if problems := doc.Conflicts(conf); len(problems) > 0 {
		return fmt.Errorf("%s", strings.Join(problems, "\n"))
	}
	plans := planTenants(conf, doc)
	return o.print(plans, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tCONNECTIONS A SERVER\tTENANT\tPART WHILE ALL WANT ALL")
		for _, s := range plans {
			for _, t := range s.Tenants {
				fmt.Fprintf(w, "%s\t%d\t%s\t%.1f\n", s.Service, s.Limit, t.Name, t.Share)
			}
		}
	})
}

func planTenants(conf *config.Configuration, doc *config.TenantDocument) (plans []servicePlan) {
	routeTenants := doc.NewTenantTable()
	for _, s := range conf.Services {
		var policies []quota.TenantPolicy
		seen := map[string]bool{}
		for i := range conf.Routes {
			r := &conf.Routes[i]
			if !slices.Contains(r.Services(), s.Name) {
				continue
			}
			t := quota.TenantPolicy{Name: r.Hostname + r.PathPrefix, Weight: 1, MaxBorrowed: -1}
			if at, named := routeTenants.Lookup(r); named {
				d := doc.Tenants[at]
				t = quota.TenantPolicy{Name: d.Name, Weight: d.Weight, Floor: float64(d.ReservedConnections), Max: float64(d.MaxConnections), MaxBorrowed: -1}
				if t.Weight == 0 {
					t.Weight = 1
				}
			}
			if !seen[t.Name] {
				seen[t.Name] = true
				policies = append(policies, t)
			}
		}
		if len(policies) == 0 {
			continue
		}
		plan := servicePlan{Service: s.Name, Limit: s.ConnectionLimit}
		for i, part := range quota.Shares(rendezvous.ConnectionSlots(s.ConnectionLimit), policies) {
			plan.Tenants = append(plan.Tenants, tenantPlan{policies[i].Name, part, int(policies[i].Floor), int(policies[i].Max)})
		}
		plans = append(plans, plan)
	}
	return plans
}
