package controlplane

import (
	"time"

	"oxbowspan/lease"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// milliseconds converts a duration to the milliseconds of a message.
func milliseconds(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

// duration converts the milliseconds of a message to a duration.
func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// encodeReport converts a server's record to a message. Times are converted to ages, as the clocks of machines differ.
func encodeReport(r *registry.Record, now time.Duration) *rpc.ServerReport {
	return &rpc.ServerReport{
		Instance:         string(r.Instance),
		Service:          string(r.Service),
		Address:          r.Address,
		Zone:             r.Zone,
		Version:          r.Version,
		Slots:            uint32(r.Slots),
		State:            uint32(r.State),
		SlowStartMs:      milliseconds(max(r.SlowStartEndsAt-now, 0)),
		Sequence:         uint64(r.Sequence),
		AgeMs:            milliseconds(max(now-r.HeartbeatAt, 0)),
		Unresponsive:     r.Unresponsive,
		HeartbeatMissed:  r.HeartbeatMissed,
		HealthCheckAgeMs: milliseconds(max(now-r.HealthyAt, 0)),
		FencingToken:     r.Lease.FencingToken,
		LeaseHolder:      r.Lease.Holder,
	}
}

// encodeRefresh converts a server's record to a message with only the identity, the sequence, the times and the lease. It is used if
// nothing else has changed since the last report.
func encodeRefresh(r *registry.Record, now time.Duration) *rpc.ServerReport {
	return &rpc.ServerReport{
		Instance:         string(r.Instance),
		Sequence:         uint64(r.Sequence),
		AgeMs:            milliseconds(max(now-r.HeartbeatAt, 0)),
		HeartbeatOnly:    true,
		HealthCheckAgeMs: milliseconds(max(now-r.HealthyAt, 0)),
		FencingToken:     r.Lease.FencingToken,
		LeaseHolder:      r.Lease.Holder,
	}
}

// decodeReport converts a message of encodeReport or encodeRefresh to a record.
func decodeReport(r *rpc.ServerReport, now time.Duration) registry.Record {
	return registry.Record{
		Instance:        registry.InstanceID(r.Instance),
		Service:         registry.ServiceID(r.Service),
		Address:         r.Address,
		Zone:            r.Zone,
		Version:         r.Version,
		Slots:           int(r.Slots),
		State:           registry.State(min(r.State, uint32(registry.Deregistered))),
		HeartbeatOnly:   r.HeartbeatOnly,
		Unresponsive:    r.Unresponsive,
		HeartbeatMissed: r.HeartbeatMissed,
		SlowStartEndsAt: now + duration(r.SlowStartMs),
		Sequence:        registry.Sequence(r.Sequence),
		HeartbeatAt:     now - duration(r.AgeMs),
		HealthyAt:       now - duration(r.HealthCheckAgeMs),
		Lease:           lease.Lease{FencingToken: r.FencingToken, Holder: r.LeaseHolder},
	}
}
