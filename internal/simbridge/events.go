package simbridge

import (
	"fmt"
	"math"

	"oxbowspan/balancer"
	"oxbowspan/internal/balancerconfig"
)

// serverEntryBytes is the size of one entry of a server list.
const serverEntryBytes = 22

// readEvent decodes an event that consists of one record. Fields that the balancer does not use are skipped.
func (b *bridge) readEvent(code uint8, in *instance, r *recordReader) (balancer.Event, error) {
	switch code {
	case eventTimer:
		return balancer.TimerFired{Timer: balancer.TimerID(r.u32("keyBack"))}, nil
	case eventCancelled:
		return balancer.RequestCancelled{Request: balancer.RequestID(r.u64("handle"))}, nil
	case eventHealthCheckEnded:
		return in.readHealthCheckEnded(r)
	case eventAttemptEnded:
		return in.readAttemptEnded(r)
	case eventListUpdate:
		return b.readListUpdate(r)
	}
	return nil, errUnknownEvent
}

func (in *instance) readHealthCheckEnded(r *recordReader) (balancer.Event, error) {
	e := balancer.HealthCheckEnded{Server: balancer.ServerID(r.u32("server"))}
	status := r.u8("status")
	r.f64("elapsed")
	e.Report = in.readLoadReport(r)
	var err error
	e.Outcome, err = outcomeOf(status)
	return e, err
}

func (in *instance) readAttemptEnded(r *recordReader) (balancer.Event, error) {
	e := balancer.AttemptEnded{
		Call:    balancer.ShardCallID(r.u64("handle")),
		Server:  balancer.ServerID(r.u32("server")),
		Attempt: balancer.AttemptNumber(r.u16("sendNo")),
		Elapsed: balancerconfig.TimeFromMillis(r.f64("elapsed")),
	}
	status := r.u8("status")
	r.u8("closed")
	e.Report = in.readLoadReport(r)
	var err error
	e.Outcome, err = outcomeOf(status)
	return e, err
}

// readLoadReport reads a load report, or returns nil if the record has none. A value that is not reported, or is not finite,
// is -1.
func (in *instance) readLoadReport(r *recordReader) *balancer.LoadReport {
	n := int(r.u8("pressure count"))
	if n == 0 {
		return nil
	}
	report := &balancer.LoadReport{Queued: -1, InFlight: -1}
	for i := range n {
		v := r.f32("pressure")
		if i >= len(in.reportFields) || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		switch in.reportFields[i] {
		case reportQueued:
			report.Queued = v
		case reportInFlight:
			report.InFlight = v
		}
	}
	return report
}

// readServerList reads a server list and stores it under its reference, in place of any earlier list with that reference.
func (b *bridge) readServerList(r *recordReader) error {
	ref, n := r.u32("ref"), r.u32("number of entries")
	if r.err != nil {
		return r.err
	}
	if uint64(n)*serverEntryBytes > uint64(len(r.data)) {
		return fmt.Errorf("%d entries of %d bytes do not fit the %d bytes left", n, serverEntryBytes, len(r.data))
	}
	list := make([]balancer.Server, n)
	for i := range list {
		s := &list[i]
		s.ID = balancer.ServerID(r.u32("server"))
		s.Zone = balancer.ZoneIndex(r.u16("regionPart"))
		r.u8("hw")
		s.Cell = balancer.CellIndex(r.u16("position"))
		var err error
		if s.State, err = serverStateOf(r.u8("phase")); err != nil {
			return fmt.Errorf("entry %d at byte %d: %w", i, r.offset-1, err)
		}
		r.f32("weight")
		s.StartedAt = balancerconfig.TimeFromMillis(r.f64("upSince"))
	}
	b.serverLists[ref] = list
	return nil
}

// readListUpdate decodes an update that refers to a server list sent before.
func (b *bridge) readListUpdate(r *recordReader) (balancer.Event, error) {
	r.u64("version")
	ref, scope := r.u32("ref"), r.u8("scope")
	if r.err != nil {
		return balancer.ServerList{}, r.err
	}
	kind, err := listKindOf(scope)
	if err != nil || kind == balancer.ListFailed {
		return balancer.ServerList{Kind: kind}, err
	}
	list, ok := b.serverLists[ref]
	if !ok {
		return nil, fmt.Errorf("server list %d was never sent", ref)
	}
	return balancer.ServerList{Kind: kind, Servers: list}, nil
}

// workItem is the content of a work item record: a request or one of its shard calls.
type workItem struct {
	id        uint64
	number    balancer.RequestNumber
	shard     float64 // negative if the record is the request itself
	queryType uint8
	customer  uint16
	timeout   float64 // milliseconds
	size      float64
	weight    float64
	flags     uint8
}

func readWorkItem(r *recordReader) (w workItem) {
	w.id = r.u64("handle")
	w.queryType, w.customer = r.u8("lane"), r.u16("realm")
	r.u64("nameKey")
	w.timeout, w.size = r.f64("budget"), r.f64("effort")
	w.number = balancer.RequestNumber(r.f32("jobNo"))
	w.shard, w.weight = r.f32("rangeNo"), r.f32("heft")
	w.flags = r.u8("stateBits")
	return w
}

// validate checks the fields that index into the settings, and those that must be numbers.
func (w *workItem) validate(in *instance) error {
	if int(w.queryType) >= in.queryTypes {
		return fmt.Errorf("query type %d is not among the %d of the settings", w.queryType, in.queryTypes)
	}
	if math.IsNaN(w.shard) || w.shard >= float64(in.shards) || math.IsNaN(w.weight) || math.IsNaN(w.timeout) {
		return fmt.Errorf("shard %v, weight %v or budget %v is out of range", w.shard, w.weight, w.timeout)
	}
	return nil
}

// readWorkItem adds a record to the request or the second phase that is being collected. A record that belongs to neither
// starts a new one, after the collected one was delivered.
func (b *bridge) readWorkItem(in *instance, r *recordReader) error {
	w := readWorkItem(r)
	if r.err != nil {
		return r.err
	}
	if err := w.validate(in); err != nil {
		return err
	}
	if w.shard < 0 {
		b.deliverPending(in)
		in.request = &balancer.RequestArrived{
			Request:  balancer.RequestID(w.id),
			Number:   w.number,
			Type:     balancer.QueryType(w.queryType),
			Customer: balancer.CustomerIndex(w.customer),
			Timeout:  balancerconfig.TimeFromMillis(w.timeout),
			Retry:    w.flags&flagClientRetry != 0,
		}
		return nil
	}
	call := balancer.ShardCall{ID: balancer.ShardCallID(w.id), Shard: balancer.ShardIndex(w.shard), Weight: w.weight}
	if w.flags&flagSizeKnown != 0 {
		call.Size = w.size
	}
	switch {
	case in.request != nil && in.request.Number == w.number:
		in.request.Calls = append(in.request.Calls, call)
	case in.secondPhase != nil && in.secondPhase.Number == w.number:
		in.secondPhase.Calls = append(in.secondPhase.Calls, call)
	default:
		b.deliverPending(in)
		in.secondPhase = &balancer.SecondPhaseArrived{Number: w.number, Calls: []balancer.ShardCall{call}}
	}
	return nil
}
