package simbridge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"

	"oxbowspan/balancer"
	"oxbowspan/internal/balancerconfig"
)

// Codes of events and actions on the wire.
const (
	eventTimer, eventCancelled, eventHealthCheckEnded, eventAttemptEnded, eventStreamHead = 0, 1, 2, 3, 4
	eventServerList, eventStop, eventWorkItem, eventHello, eventMail, eventListUpdate     = 5, 6, 7, 8, 9, 10

	actionSetTimer, actionShed, actionFail, actionLog, actionHealthCheck, actionSubscribe = 0, 1, 2, 3, 4, 5
	actionCloseIdle, actionAnswer, actionCancel, actionSend                               = 7, 9, 10, 11
)

const serverEntryBytes = 22

const flagSizeKnown, flagClientRetry = 1, 2

// instance is one gatherer's decisions and what the wire needs to name things for it.
type instance struct {
	id           uint32
	balancer     *balancer.Balancer
	reportFields []string // names of a load report's figures
	queryTypes   int      // how many query types and shards its settings name
	shards       int
	// A search with its parts comes as several records; they are gathered here until the next other record.
	request     *balancer.RequestArrived
	secondPhase *balancer.SecondPhaseArrived
}

// bridge runs the instances of one process. Nothing is shared among them but the sheets, which the wire
// makes valid for the whole process.
type bridge struct {
	instances   map[uint32]*instance
	serverLists map[uint32][]balancer.Server
	reply       replyWriter
	now         balancer.Time
}

// Serve reads batches until the end of input and answers each.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	h := &bridge{instances: map[uint32]*instance{}, serverLists: map[uint32][]balancer.Server{}}
	var buf []byte
	for batch := 1; ; batch++ {
		var err error
		if buf, err = readFrame(in, buf); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		h.reply.reset()
		if err := h.handleBatch(buf); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if _, err := out.Write(h.reply.frame()); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

func (h *bridge) handleBatch(b []byte) error {
	f := &recordReader{data: b, offset: 4}
	clock := f.f64("clock")
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return fmt.Errorf("the clock at byte 4 is not a number")
	}
	h.now = balancerconfig.TimeFromMillis(clock)
	var open *instance // the one whose search is being gathered
	count := f.u32("number of records")
	for i := uint32(1); i <= count; i++ {
		at := f.offset
		code, size := f.u8("code"), f.u32("record length")
		if f.truncated != "" || uint64(size) > uint64(len(f.data)) {
			return fmt.Errorf("record %d of %d at byte %d: its %d bytes do not fit the batch", i, count, at, size)
		}
		rec := &recordReader{data: f.data[:size], offset: f.offset}
		f.data, f.offset = f.data[size:], f.offset+int(size)
		if code == eventServerList {
			if err := h.readServerList(rec); err != nil {
				return fmt.Errorf("record %d (sheet) at byte %d: %w", i, at, err)
			}
			continue
		}
		id := rec.u32("gathererId")
		if open != nil && (code != eventWorkItem || open.id != id) {
			h.deliverPending(open)
			open = nil
		}
		in, err := h.handleRecord(code, id, rec)
		if err == nil && rec.truncated != "" {
			err = errors.New(rec.truncated)
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d, instance %d) at byte %d: %w", i, code, id, at, err)
		}
		if code == eventWorkItem {
			open = in
		}
	}
	if len(f.data) > 0 {
		return fmt.Errorf("%d bytes stand after the last of %d records", len(f.data), count)
	}
	if open != nil {
		h.deliverPending(open)
	}
	return nil
}

// handleRecord turns one record into an event.
func (h *bridge) handleRecord(code uint8, id uint32, f *recordReader) (*instance, error) {
	if code == eventHello {
		return nil, h.startInstance(id, f)
	}
	in := h.instances[id]
	if in == nil {
		return nil, fmt.Errorf("an event for an instance that has had no hello")
	}
	var ev balancer.Event
	switch code {
	case eventStop:
		delete(h.instances, id)
		return nil, nil
	case eventTimer:
		ev = balancer.TimerFired{Timer: balancer.TimerID(f.u32("keyBack"))}
	case eventCancelled:
		ev = balancer.RequestCancelled{Request: balancer.RequestID(f.u64("handle"))}
	case eventHealthCheckEnded:
		p := balancer.HealthCheckEnded{Server: balancer.ServerID(f.u32("server"))}
		status := f.u8("status")
		f.f64("elapsed")
		p.Report = in.readLoadReport(f)
		var err error
		if p.Outcome, err = outcomeOf(status); err != nil {
			return nil, err
		}
		ev = p
	case eventAttemptEnded:
		s := balancer.AttemptEnded{Call: balancer.ShardCallID(f.u64("handle")), Server: balancer.ServerID(f.u32("server")),
			Attempt: balancer.AttemptNumber(f.u16("sendNo")), Elapsed: balancerconfig.TimeFromMillis(f.f64("elapsed"))}
		status := f.u8("status")
		f.u8("closed")
		s.Report = in.readLoadReport(f)
		var err error
		if s.Outcome, err = outcomeOf(status); err != nil {
			return nil, err
		}
		ev = s
	case eventWorkItem:
		return in, h.readWorkItem(in, f)
	case eventListUpdate:
		l, err := h.readListUpdate(f)
		if err != nil {
			return nil, err
		}
		ev = l
	case eventStreamHead, eventMail:
		return in, nil // no streams here; gatherers tell each other nothing (docs/standing.md has what it gave)
	default:
		return nil, fmt.Errorf("unknown event code")
	}
	if f.truncated == "" {
		h.handleEvent(in, ev)
	}
	return in, nil
}

func (h *bridge) startInstance(id uint32, f *recordReader) error {
	seed := f.u64("salt")
	text := f.take(int(f.u32("settings length")), "settings")
	if f.truncated != "" {
		return nil // the caller reports it
	}
	d, err := balancerconfig.FromPairs(string(text), seed)
	if err != nil {
		return err
	}
	h.instances[id] = &instance{id: id, balancer: balancer.New(d.Balancer), reportFields: d.LoadReportFields,
		queryTypes: len(d.Balancer.QueryTypes), shards: d.Balancer.Shards}
	return nil
}

func (h *bridge) readServerList(f *recordReader) error {
	ref, n := f.u32("ref"), f.u32("number of entries")
	if f.truncated != "" {
		return errors.New(f.truncated)
	}
	if uint64(n)*serverEntryBytes > uint64(len(f.data)) {
		return fmt.Errorf("%d entries of %d bytes do not fit the %d bytes left", n, serverEntryBytes, len(f.data))
	}
	list := make([]balancer.Server, n)
	for i := range list {
		s := &list[i]
		s.ID = balancer.ServerID(f.u32("server"))
		s.Zone = balancer.ZoneIndex(f.u16("regionPart"))
		f.u8("hw")
		s.Cell = balancer.CellIndex(f.u16("position"))
		switch phase := f.u8("phase"); phase {
		case 0:
			s.State = balancer.Removed
		case 1:
			s.State = balancer.Ready
		case 2:
			s.State = balancer.Draining
		default:
			return fmt.Errorf("entry %d at byte %d: unknown phase %d", i, f.offset-1, phase)
		}
		f.f32("weight")
		s.StartedAt = balancerconfig.TimeFromMillis(f.f64("upSince"))
	}
	h.serverLists[ref] = list
	return nil
}

func (h *bridge) readListUpdate(f *recordReader) (balancer.ServerList, error) {
	f.u64("version")
	ref, scope := f.u32("ref"), f.u8("scope")
	l := balancer.ServerList{}
	if f.truncated != "" {
		return l, nil
	}
	switch scope {
	case 0:
		l.Kind = balancer.ListComplete
	case 1:
		l.Kind = balancer.ListDelta
	case 2:
		l.Kind = balancer.ListCached
	case 3:
		l.Kind = balancer.ListFailed
		return l, nil
	default:
		return l, fmt.Errorf("unknown scope %d", scope)
	}
	list, ok := h.serverLists[ref]
	if !ok {
		return l, fmt.Errorf("sheet %d was never given", ref)
	}
	l.Servers = list
	return l, nil
}

// readWorkItem gathers a search with its parts, or the parts of a second step.
func (h *bridge) readWorkItem(in *instance, f *recordReader) error {
	id := f.u64("handle")
	lane, realm := f.u8("lane"), f.u16("realm")
	f.u64("nameKey")
	budget, effort := f.f64("budget"), f.f64("effort")
	number, shard, heft := balancer.RequestNumber(f.f32("jobNo")), f.f32("rangeNo"), f.f32("heft")
	flags := f.u8("stateBits")
	if f.truncated != "" {
		return nil
	}
	if int(lane) >= in.queryTypes {
		return fmt.Errorf("type %d is not among the %d of the settings", lane, in.queryTypes)
	}
	if math.IsNaN(shard) || shard >= float64(in.shards) || math.IsNaN(heft) || math.IsNaN(budget) {
		return fmt.Errorf("shard %v, weight %v or budget %v is out of range", shard, heft, budget)
	}
	if shard < 0 {
		h.deliverPending(in)
		in.request = &balancer.RequestArrived{Request: balancer.RequestID(id), Number: number,
			Type: balancer.QueryType(lane), Customer: balancer.CustomerIndex(realm), Timeout: balancerconfig.TimeFromMillis(budget),
			Retry: flags&flagClientRetry != 0}
		return nil
	}
	part := balancer.ShardCall{ID: balancer.ShardCallID(id), Shard: balancer.ShardIndex(shard), Weight: heft}
	if flags&flagSizeKnown != 0 {
		part.Size = effort
	}
	switch {
	case in.request != nil && in.request.Number == number:
		in.request.Calls = append(in.request.Calls, part)
	case in.secondPhase != nil && in.secondPhase.Number == number:
		in.secondPhase.Calls = append(in.secondPhase.Calls, part)
	default:
		h.deliverPending(in)
		in.secondPhase = &balancer.SecondPhaseArrived{Number: number, Calls: []balancer.ShardCall{part}}
	}
	return nil
}

// deliverPending hands over the search or parts gathered so far.
func (h *bridge) deliverPending(in *instance) {
	if in.request != nil {
		ev := *in.request
		in.request = nil
		h.handleEvent(in, ev)
	}
	if in.secondPhase != nil {
		ev := *in.secondPhase
		in.secondPhase = nil
		h.handleEvent(in, ev)
	}
}

// readLoadReport reads a load report; nil where none came.
func (in *instance) readLoadReport(f *recordReader) *balancer.LoadReport {
	n := int(f.u8("pressure count"))
	if n == 0 {
		return nil
	}
	r := &balancer.LoadReport{Queued: -1, InFlight: -1}
	for i := range n {
		v := f.f32("pressure")
		if i >= len(in.reportFields) || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		switch in.reportFields[i] {
		case "waiting":
			r.Queued = v
		case "active":
			r.InFlight = v
		}
	}
	return r
}

func outcomeOf(status uint8) (balancer.Outcome, error) {
	switch status {
	case 0:
		return balancer.Answered, nil
	case 255:
		return balancer.Errored, nil
	case 254:
		return balancer.Rejected, nil
	case 253:
		return balancer.TimedOut, nil
	case 252:
		return balancer.ConnectFailed, nil
	case 251:
		return balancer.Reset, nil
	case 250:
		return balancer.Cancelled, nil
	case 249:
		return balancer.NotDispatched, nil
	}
	return 0, fmt.Errorf("unknown outcome %d", status)
}

// handleEvent hands one event to the module and writes its actions.
func (h *bridge) handleEvent(in *instance, ev balancer.Event) {
	for _, a := range in.balancer.Handle(h.now, ev) {
		h.reply.action(in.id, a)
	}
}

// action writes one action as a record.
func (o *replyWriter) action(id uint32, a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		o.begin(actionSend, id)
		o.u64(uint64(a.Call))
		o.u32(uint32(a.Server))
		o.f64(balancerconfig.Millis(a.Timeout))
	case balancer.Cancel:
		o.begin(actionCancel, id)
		o.u64(uint64(a.Call))
		o.u16(uint16(a.Attempt))
	case balancer.Answer:
		o.begin(actionAnswer, id)
		o.u64(uint64(a.Request))
		if a.Complete {
			o.u8(1)
		} else {
			o.u8(0)
		}
	case balancer.Shed:
		o.begin(actionShed, id)
		o.u64(uint64(a.Request))
		o.f64(balancerconfig.Millis(a.RetryAfter))
	case balancer.Fail:
		o.begin(actionFail, id)
		o.u64(uint64(a.Request))
	case balancer.SetTimer:
		o.begin(actionSetTimer, id)
		o.f64(balancerconfig.Millis(a.At))
		o.u32(uint32(a.Timer))
	case balancer.Subscribe:
		o.begin(actionSubscribe, id)
		o.u8(1)
	case balancer.HealthCheck:
		o.begin(actionHealthCheck, id)
		o.u32(uint32(a.Server))
	case balancer.CloseIdle:
		o.begin(actionCloseIdle, id)
		o.u32(uint32(a.Server))
	}
	o.end()
}
