package controlcli

import (
	"context"
	"fmt"
	"io"
	"slices"

	"oxbowspan/config"
	"oxbowspan/internal/controlclient"
	"oxbowspan/quota"
	"oxbowspan/rendezvous"
)

// servicePlan holds the tenants' shares of the connections at each server of a service, while every tenant wants all connections.
type servicePlan struct {
	Service string       `json:"service"`
	Limit   int          `json:"connection_limit"`
	Tenants []tenantPlan `json:"tenants"`
}

// tenantPlan is the share of one tenant.
type tenantPlan struct {
	Name  string  `json:"name"`
	Share float64 `json:"part"` // of the connections at one server, for all gateways together
	Floor int     `json:"floor,omitempty"`
	Max   int     `json:"most,omitempty"`
}

// planRow is a row of the printed plan.
type planRow struct {
	service *servicePlan
	tenant  *tenantPlan
}

var planColumns = []column[planRow]{
	{"SERVICE", func(r planRow) string { return r.service.Service }},
	{"CONNECTIONS PER SERVER", func(r planRow) string { return fmt.Sprint(r.service.Limit) }},
	{"TENANT", func(r planRow) string { return r.tenant.Name }},
	{"SHARE WHILE ALL WANT ALL", func(r planRow) string { return fmt.Sprintf("%.1f", r.tenant.Share) }},
}

// tenantDryRun prints the shares that a tenants document in a file results in with the committed configuration.
func (e *environment) tenantDryRun(ctx context.Context, client *controlclient.Client, args []string) error {
	document, _, err := readTenants(args[0])
	if err != nil {
		return err
	}
	configuration, _, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	if problems := document.Conflicts(configuration); len(problems) > 0 {
		return &problemsError{Problems: problems}
	}
	plans := planTenants(configuration, document)
	return e.print(plans, func(w io.Writer) {
		var rows []planRow
		for i := range plans {
			for j := range plans[i].Tenants {
				rows = append(rows, planRow{&plans[i], &plans[i].Tenants[j]})
			}
		}
		writeTable(w, planColumns, rows)
	})
}

// planTenants returns the plans of the services that have a route.
func planTenants(configuration *config.Configuration, document *config.TenantDocument) (plans []servicePlan) {
	table := document.NewTenantTable()
	for _, service := range configuration.Services {
		policies := servicePolicies(configuration, document, table, service.Name)
		if len(policies) == 0 {
			continue
		}
		plan := servicePlan{Service: service.Name, Limit: service.ConnectionLimit}
		for i, share := range quota.MaxMinShares(rendezvous.ConnectionSlots(service.ConnectionLimit), policies) {
			policy := policies[i]
			plan.Tenants = append(plan.Tenants, tenantPlan{Name: policy.Name, Share: share, Floor: int(policy.Floor), Max: int(policy.Max)})
		}
		plans = append(plans, plan)
	}
	return plans
}

// servicePolicies returns the policies of the tenants with a route to a service, in the order of their first routes.
func servicePolicies(configuration *config.Configuration, document *config.TenantDocument, table *config.TenantTable, service string) (policies []quota.TenantPolicy) {
	seen := map[string]bool{}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if !slices.Contains(route.Services(), service) {
			continue
		}
		policy := quota.TenantPolicy{Name: route.Hostname + route.PathPrefix, Weight: defaultWeight, MaxBorrowed: -1}
		if named, found := table.Lookup(route); found {
			tenant := &document.Tenants[named]
			policy = quota.TenantPolicy{
				Name:        tenant.Name,
				Weight:      weightOf(tenant),
				Floor:       float64(tenant.ReservedConnections),
				Max:         float64(tenant.MaxConnections),
				MaxBorrowed: -1,
			}
		}
		if !seen[policy.Name] {
			seen[policy.Name] = true
			policies = append(policies, policy)
		}
	}
	return policies
}
