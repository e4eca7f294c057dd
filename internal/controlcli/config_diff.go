package controlcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"oxbowspan/config"
	"oxbowspan/internal/controlclient"
)

// Kinds of changes.
const (
	changeAdded    = "added"
	changeRemoved  = "removed"
	changeModified = "changed"
)

// configChange is a difference between two configurations: a part that was added, removed or changed.
type configChange struct {
	Kind   string `json:"what"`           // route, service or limits
	Name   string `json:"name"`           // of the route or service; "" for limits
	Change string `json:"how"`            // added, removed or changed
	From   string `json:"from,omitempty"` // JSON
	To     string `json:"to,omitempty"`   // JSON
}

// configDiff prints the differences between the committed configuration, or an empty one if there is none, and that in a file.
func (e *environment) configDiff(ctx context.Context, client *controlclient.Client, args []string) error {
	next, _, err := readConfiguration(args[0])
	if err != nil {
		return err
	}
	current, _, err := client.Configuration(ctx)
	if errors.Is(err, controlclient.ErrNotFound) {
		current, err = &config.Configuration{}, nil
	}
	if err != nil {
		return err
	}
	changes := diffConfigurations(current, next)
	return e.print(changes, func(w io.Writer) {
		fmt.Fprintf(w, "version %d to %d, %d changes\n", current.Version, next.Version, len(changes))
		for _, change := range changes {
			writeChange(w, change)
		}
	})
}

func writeChange(w io.Writer, change configChange) {
	fmt.Fprintf(w, "%s %s\t%s\n", change.Kind, change.Name, change.Change)
	if change.From != "" {
		fmt.Fprintf(w, "  from %s\n", change.From)
	}
	if change.To != "" {
		fmt.Fprintf(w, "  to %s\n", change.To)
	}
}

// diffConfigurations returns the differences in routes, services and limits, in this order.
func diffConfigurations(from, to *config.Configuration) []configChange {
	changes := []configChange{}
	changes = appendChanges(changes, "route", routesByKey(from), routesByKey(to))
	changes = appendChanges(changes, "service", servicesByName(from), servicesByName(to))
	return appendChanges(changes, "limits", map[string]string{"": encode(from.Limits)}, map[string]string{"": encode(to.Limits)})
}

// appendChanges appends the differences between two sets of parts, ordered by name. The maps hold the JSON of each part by its name; the JSON
// of a part is never "", which stands for a part that does not exist.
func appendChanges(changes []configChange, kind string, from, to map[string]string) []configChange {
	names := map[string]bool{}
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		change := configChange{Kind: kind, Name: name, From: from[name], To: to[name]}
		switch {
		case change.From == change.To:
			continue
		case change.From == "":
			change.Change = changeAdded
		case change.To == "":
			change.Change = changeRemoved
		default:
			change.Change = changeModified
		}
		changes = append(changes, change)
	}
	return changes
}

// routesByKey returns the JSON of each route by its hostname, in lower case, and path prefix.
func routesByKey(c *config.Configuration) map[string]string {
	routes := map[string]string{}
	for _, route := range c.Routes {
		routes[strings.ToLower(route.Hostname)+route.PathPrefix] = encode(route)
	}
	return routes
}

// servicesByName returns the JSON of each service by its name.
func servicesByName(c *config.Configuration) map[string]string {
	services := map[string]string{}
	for _, service := range c.Services {
		services[service.Name] = encode(service)
	}
	return services
}

// encode returns the JSON of a part of a configuration. Encoding can't fail for any part.
func encode(part any) string {
	text, _ := json.Marshal(part)
	return string(text)
}
