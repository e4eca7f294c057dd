// Package controlapi has the JSON forms of the operator API: what controllers answer to questions about versions, members,
// gateways, servers, tenants, outliers and events. Controllers write them, the operators' client reads them. Field names are part
// of the API and stay as they are; ages and durations count by the steady clock of the machine that reports them.
package controlapi
