package controlcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"oxbowspan/config"
	"oxbowspan/internal/controlclient"
)

// serverReady is the state of a server that accepts requests.
const serverReady = "ready"

var errNotHostPath = errors.New("a request is named by its host and path, as in h.example/a/b")

// routeExplanation describes how a request is routed.
type routeExplanation struct {
	Route          *config.Route `json:"route"` // null = no route matches, and the response is 404
	Version        uint64        `json:"version"`
	Tenant         string        `json:"tenant,omitempty"`
	Servers        int           `json:"servers"`                     // number of ready servers in all services of the route
	WithVersion    int           `json:"gatherers_with_it"`           // number of gateways that have the version in force
	WithoutVersion []string      `json:"gatherers_without,omitempty"` // addresses of the other gateways
	Services       []string      `json:"services"`
}

// configExplain prints the route of a request that is stated as HOST/PATH.
func (e *environment) configExplain(ctx context.Context, client *controlclient.Client, args []string) error {
	host, path, found := strings.Cut(args[0], "/")
	if !found || host == "" {
		return errNotHostPath
	}
	path, _, _ = strings.Cut("/"+path, "?")
	configuration, _, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	explanation := routeExplanation{
		Route:    config.NewRouteTable(configuration).Find(host, path),
		Version:  configuration.Version,
		Services: []string{},
	}
	if explanation.Route != nil {
		explanation.Services = explanation.Route.Services()
		explanation.Tenant = tenantOf(ctx, client, explanation.Route)
	}
	servers, err := client.Servers(ctx)
	if err != nil {
		return err
	}
	for _, server := range servers.Items {
		if server.State == serverReady && !server.Unresponsive && slices.Contains(explanation.Services, server.Service) {
			explanation.Servers++
		}
	}
	gateways, err := client.Gateways(ctx, controlclient.PreferPolling)
	if err != nil {
		return err
	}
	for _, gateway := range gateways.Items {
		if gateway.UpToDate {
			explanation.WithVersion++
		} else {
			explanation.WithoutVersion = append(explanation.WithoutVersion, gateway.Address)
		}
	}
	return e.printListing(explanation, servers.Unreachable, func(w io.Writer) { writeExplanation(w, explanation) })
}

// tenantOf returns the name of the tenant that a route belongs to. It returns "" if there is none or the tenants document can't be read.
func tenantOf(ctx context.Context, client *controlclient.Client, route *config.Route) string {
	text, _, err := client.Read(ctx, config.TenantsDocumentName)
	if err != nil {
		return ""
	}
	document, err := config.ParseTenants(text)
	if err != nil {
		return ""
	}
	if i, named := document.NewTenantTable().Lookup(route); named {
		return document.Tenants[i].Name
	}
	return ""
}

func writeExplanation(w io.Writer, e routeExplanation) {
	if e.Route == nil {
		fmt.Fprintf(w, "no route of version %d matches: 404\n", e.Version)
		return
	}
	fmt.Fprintf(w, "route %s (%s%s) of version %d, %s\n", e.Route.Name, e.Route.Hostname, e.Route.PathPrefix, e.Version, e.Route.RouteKind)
	fmt.Fprintf(w, "services %s, %d servers ready\n", strings.Join(e.Services, ", "), e.Servers)
	if e.Tenant != "" {
		fmt.Fprintf(w, "tenant %s\n", e.Tenant)
	}
	fmt.Fprintf(w, "in force on %d gateways", e.WithVersion)
	if len(e.WithoutVersion) > 0 {
		fmt.Fprintf(w, "; not, or not known to be, on %s", strings.Join(e.WithoutVersion, ", "))
	}
	fmt.Fprintln(w)
}
