package controlcli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/config"
	"oxbowspan/controlapi"
	"oxbowspan/internal/controlclient"
)

// tenantCommand returns the command with subcommands that show and replace the tenants document.
func tenantCommand(path *string, out io.Writer) *ffcli.Command {
	const parent = controllerName + " tenant"
	e := &environment{settingsPath: path, out: out}
	var basedOn int64
	set := remoteCommand{parent: parent, name: "set", usage: "FILE", minArgs: 1, maxArgs: 1,
		help:     "commit a tenants document in place of the newest",
		setFlags: func(flags *flag.FlagSet) { basedOnFlag(flags, &basedOn) },
		run: func(ctx context.Context, client *controlclient.Client, args []string) error {
			return e.tenantSet(ctx, client, args[0], basedOn)
		},
	}
	return &ffcli.Command{
		Name:       "tenant",
		ShortUsage: parent + " list|explain|set|dry-run",
		ShortHelp:  "show and replace the tenants that share the servers' connections",
		FlagSet:    flag.NewFlagSet("tenant", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			e.command(remoteCommand{parent: parent, name: "list", run: e.tenantList,
				help: "list the tenants, the connections that they use now, and their waits"}),
			e.command(remoteCommand{parent: parent, name: "explain", usage: "[TENANT]", maxArgs: 1, run: e.tenantExplain,
				help: "show each tenant's connections and queueing times, by gateway and server"}),
			e.command(set),
			e.command(remoteCommand{parent: parent, name: "dry-run", usage: "FILE", minArgs: 1, maxArgs: 1, run: e.tenantDryRun,
				help: "show the shares of connections that a tenants document would give, without committing it"}),
		},
		Exec: showUsage,
	}
}

// defaultWeight is the weight of a tenant without a configured one.
const defaultWeight = 1

func weightOf(tenant *config.Tenant) float64 {
	if tenant.Weight == 0 {
		return defaultWeight
	}
	return tenant.Weight
}

// tenantSummary holds the figures of a tenant, added up over all gateways.
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
	P99MS    float64  `json:"most_p99_ms"` // of the waits; the maximum over all gateways
}

var tenantColumns = []column[*tenantSummary]{
	{"TENANT", func(t *tenantSummary) string { return t.Name }},
	{"WEIGHT", func(t *tenantSummary) string { return fmt.Sprintf("%g", t.Weight) }},
	{"FLOOR", func(t *tenantSummary) string { return fmt.Sprint(t.Floor) }},
	{"MAX", func(t *tenantSummary) string { return fmt.Sprint(t.Max) }},
	{"ROUTES", func(t *tenantSummary) string { return fmt.Sprint(len(t.Routes)) }},
	{"IN USE", func(t *tenantSummary) string { return fmt.Sprint(t.InUse) }},
	{"BORROWED", func(t *tenantSummary) string { return fmt.Sprint(t.Borrowed) }},
	{"WAITING", func(t *tenantSummary) string { return fmt.Sprint(t.Waiting) }},
	{"REQUESTS/MIN", func(t *tenantSummary) string { return fmt.Sprint(t.Requests) }},
	{"WAITED", func(t *tenantSummary) string { return fmt.Sprint(t.Waited) }},
	{"P99 MS", func(t *tenantSummary) string { return fmt.Sprintf("%.1f", t.P99MS) }},
}

// tenantList prints a summary of each tenant.
func (e *environment) tenantList(ctx context.Context, client *controlclient.Client, _ []string) error {
	configuration, _, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	text, version, err := client.Read(ctx, config.TenantsDocumentName)
	if errors.Is(err, controlclient.ErrNotFound) {
		fmt.Fprintln(e.out, "there is no tenants document: connections are not shared")
		return nil
	}
	if err != nil {
		return err
	}
	document, err := config.ParseTenants(text)
	if err != nil {
		return err
	}
	listing, err := client.Tenants(ctx)
	if err != nil {
		return err
	}
	summaries := summarizeTenants(configuration, document, listing.Items)
	return e.printListing(summaries, listing.Unreachable, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, %d gateways\n", version, len(listing.Items))
		writeTable(w, tenantColumns, summaries)
	})
}

// summarizeTenants returns the document's tenants, followed by a tenant for each route that belongs to none of them.
func summarizeTenants(configuration *config.Configuration, document *config.TenantDocument, gateways []controlapi.GatewayTenants) []*tenantSummary {
	var summaries []*tenantSummary
	byName := map[string]*tenantSummary{}
	add := func(summary *tenantSummary) {
		summaries = append(summaries, summary)
		byName[summary.Name] = summary
	}
	for i := range document.Tenants {
		tenant := &document.Tenants[i]
		add(&tenantSummary{Name: tenant.Name, Weight: weightOf(tenant), Floor: tenant.ReservedConnections, Max: tenant.MaxConnections})
	}
	table := document.NewTenantTable()
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		key := route.Hostname + route.PathPrefix
		if tenant, named := table.Lookup(route); named {
			summaries[tenant].Routes = append(summaries[tenant].Routes, key)
		} else {
			add(&tenantSummary{Name: key, Weight: defaultWeight, Routes: []string{key}})
		}
	}
	for _, gateway := range gateways {
		addUsage(byName, gateway)
	}
	return summaries
}

// addUsage adds a gateway's figures to the summaries. It skips tenants that are no longer configured.
func addUsage(byName map[string]*tenantSummary, gateway controlapi.GatewayTenants) {
	for _, usage := range gateway.Connections {
		if summary := byName[usage.Tenant]; summary != nil {
			summary.InUse += usage.InUse
			summary.Borrowed += usage.Borrowed
		}
	}
	for _, stats := range gateway.Waits {
		if summary := byName[stats.Tenant]; summary != nil {
			summary.Requests += stats.Requests
			summary.Waited += stats.Waited
			summary.Waiting += stats.Waiting
			summary.P99MS = max(summary.P99MS, stats.P99MS)
		}
	}
}

// tenantExplain prints the figures of all tenants, or of one if it is named, by gateway and server.
func (e *environment) tenantExplain(ctx context.Context, client *controlclient.Client, args []string) error {
	listing, err := client.Tenants(ctx)
	if err != nil {
		return err
	}
	gateways := listing.Items
	if len(args) == 1 {
		for i := range gateways {
			selectTenant(&gateways[i], args[0])
		}
	}
	slices.SortFunc(gateways, func(a, b controlapi.GatewayTenants) int { return strings.Compare(a.Gateway, b.Gateway) })
	return e.printListing(gateways, listing.Unreachable, func(w io.Writer) {
		for _, gateway := range gateways {
			writeGatewayTenants(w, gateway)
		}
	})
}

// selectTenant removes the figures of all other tenants.
func selectTenant(gateway *controlapi.GatewayTenants, tenant string) {
	gateway.Connections = slices.DeleteFunc(gateway.Connections, func(u controlapi.ConnectionUsage) bool { return u.Tenant != tenant })
	gateway.Waits = slices.DeleteFunc(gateway.Waits, func(w controlapi.WaitStats) bool { return w.Tenant != tenant })
}

func writeGatewayTenants(w io.Writer, gateway controlapi.GatewayTenants) {
	fmt.Fprintf(w, "gateway %s in %s, tenants of version %d\n", gateway.Gateway, gateway.Zone, gateway.TenantsVersion)
	for _, u := range gateway.Connections {
		wantsMore := ""
		if u.WantsMore {
			wantsMore = ", wants more"
		}
		fmt.Fprintf(w, "  %s\tat %s of %s\tuses %d of %d\tshare %.1f, borrowed %d%s\n",
			u.Tenant, u.Instance, u.Service, u.InUse, u.Limit, u.Share, u.Borrowed, wantsMore)
	}
	for _, s := range gateway.Waits {
		fmt.Fprintf(w, "  %s\t%d requests in the last minute\t%d waited, %d waiting now\tp50 %.1f ms, p99 %.1f ms, max %.1f ms\n",
			s.Tenant, s.Requests, s.Waited, s.Waiting, s.P50MS, s.P99MS, s.MaxMS)
	}
}

// tenantSet commits the tenants document in a file.
func (e *environment) tenantSet(ctx context.Context, client *controlclient.Client, file string, basedOn int64) error {
	_, text, err := readTenants(file)
	if err != nil {
		return err
	}
	return e.replace(ctx, replacement{
		basedOn: basedOn,
		newest: func(ctx context.Context) (uint64, error) {
			_, version, err := client.Read(ctx, config.TenantsDocumentName)
			return version, err
		},
		commit: func(ctx context.Context, basedOn uint64) (uint64, error) {
			return client.Replace(ctx, config.TenantsDocumentName, basedOn, text)
		},
		report: func(out io.Writer, version, _ uint64) {
			fmt.Fprintf(out, "version %d of the tenants is committed\n", version)
		},
	})
}
