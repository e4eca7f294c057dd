// Package controlapi defines the JSON responses of the operator API: versions, members, gateways, servers, tenants, outliers, rollouts
// and events. Controllers encode them, the operators' client decodes them. The JSON field names are part of the API and must not
// change. Ages and durations are measured with the monotonic clock of the machine that reports them.
package controlapi
