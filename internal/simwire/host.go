package simwire

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
	evWakeup, evAbandoned, evPingResult, evReply, evHead    = 0, 1, 2, 3, 4
	evSheet, evStop, evWorkItem, evHello, evMail, evEntries = 5, 6, 7, 8, 9, 10

	acWake, acTurnAway, acLose, acLog, acInspect, acKeepInformed = 0, 1, 2, 3, 4, 5
	acCloseIdle, acAnswer, acStopAttempt, acTry                  = 7, 9, 10, 11
)

const entrySize = 22

const hintValid, clientRepeats = 1, 2

// instance is one gatherer's decisions and what the wire needs to name things for it.
type instance struct {
	id      uint32
	g       *balancer.Balancer
	reports []string // names of a load report's figures
	types   int      // how many query types and shards its settings name
	shards  int
	// A search with its parts comes as several records; they are gathered here until the next other record.
	search *balancer.RequestArrived
	more   *balancer.SecondPhaseArrived
}

// host runs the instances of one process. Nothing is shared among them but the sheets, which the wire
// makes valid for the whole process.
type host struct {
	instances map[uint32]*instance
	sheets    map[uint32][]balancer.Server
	out       reply
	now       balancer.Time
}

// Serve reads batches until the end of input and answers each.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	h := &host{instances: map[uint32]*instance{}, sheets: map[uint32][]balancer.Server{}}
	var buf []byte
	for batch := 1; ; batch++ {
		var err error
		if buf, err = readFrame(in, buf); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		h.out.reset()
		if err := h.batch(buf); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if _, err := out.Write(h.out.frame()); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

func (h *host) batch(b []byte) error {
	f := &fields{b: b, at: 4}
	clock := f.f64("clock")
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return fmt.Errorf("the clock at byte 4 is not a number")
	}
	h.now = balancerconfig.TimeFromMillis(clock)
	var open *instance // the one whose search is being gathered
	count := f.u32("number of records")
	for i := uint32(1); i <= count; i++ {
		at := f.at
		code, size := f.u8("code"), f.u32("record length")
		if f.short != "" || uint64(size) > uint64(len(f.b)) {
			return fmt.Errorf("record %d of %d at byte %d: its %d bytes do not fit the batch", i, count, at, size)
		}
		rec := &fields{b: f.b[:size], at: f.at}
		f.b, f.at = f.b[size:], f.at+int(size)
		if code == evSheet {
			if err := h.sheet(rec); err != nil {
				return fmt.Errorf("record %d (sheet) at byte %d: %w", i, at, err)
			}
			continue
		}
		id := rec.u32("gathererId")
		if open != nil && (code != evWorkItem || open.id != id) {
			h.flush(open)
			open = nil
		}
		in, err := h.record(code, id, rec)
		if err == nil && rec.short != "" {
			err = errors.New(rec.short)
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d, instance %d) at byte %d: %w", i, code, id, at, err)
		}
		if code == evWorkItem {
			open = in
		}
	}
	if len(f.b) > 0 {
		return fmt.Errorf("%d bytes stand after the last of %d records", len(f.b), count)
	}
	if open != nil {
		h.flush(open)
	}
	return nil
}

// record turns one record into an event.
func (h *host) record(code uint8, id uint32, f *fields) (*instance, error) {
	if code == evHello {
		return nil, h.hello(id, f)
	}
	in := h.instances[id]
	if in == nil {
		return nil, fmt.Errorf("an event for an instance that has had no hello")
	}
	var ev balancer.Event
	switch code {
	case evStop:
		delete(h.instances, id)
		return nil, nil
	case evWakeup:
		ev = balancer.TimerFired{Timer: balancer.TimerID(f.u32("keyBack"))}
	case evAbandoned:
		ev = balancer.RequestCancelled{Request: balancer.RequestID(f.u64("handle"))}
	case evPingResult:
		p := balancer.HealthCheckEnded{Server: balancer.ServerID(f.u32("server"))}
		status := f.u8("status")
		f.f64("elapsed")
		p.Report = in.report(f)
		var err error
		if p.Outcome, err = outcome(status); err != nil {
			return nil, err
		}
		ev = p
	case evReply:
		s := balancer.AttemptEnded{Call: balancer.ShardCallID(f.u64("handle")), Server: balancer.ServerID(f.u32("server")),
			Attempt: balancer.AttemptNumber(f.u16("sendNo")), Elapsed: balancerconfig.TimeFromMillis(f.f64("elapsed"))}
		status := f.u8("status")
		f.u8("closed")
		s.Report = in.report(f)
		var err error
		if s.Outcome, err = outcome(status); err != nil {
			return nil, err
		}
		ev = s
	case evWorkItem:
		return in, h.workItem(in, f)
	case evEntries:
		l, err := h.entries(f)
		if err != nil {
			return nil, err
		}
		ev = l
	case evHead, evMail:
		return in, nil // no streams here; gatherers tell each other nothing (docs/standing.md has what it gave)
	default:
		return nil, fmt.Errorf("unknown event code")
	}
	if f.short == "" {
		h.act(in, ev)
	}
	return in, nil
}

func (h *host) hello(id uint32, f *fields) error {
	seed := f.u64("salt")
	text := f.take(int(f.u32("settings length")), "settings")
	if f.short != "" {
		return nil // the caller reports it
	}
	d, err := balancerconfig.FromPairs(string(text), seed)
	if err != nil {
		return err
	}
	h.instances[id] = &instance{id: id, g: balancer.New(d.Balancer), reports: d.LoadReportFields,
		types: len(d.Balancer.QueryTypes), shards: d.Balancer.Shards}
	return nil
}

func (h *host) sheet(f *fields) error {
	ref, n := f.u32("ref"), f.u32("number of entries")
	if f.short != "" {
		return errors.New(f.short)
	}
	if uint64(n)*entrySize > uint64(len(f.b)) {
		return fmt.Errorf("%d entries of %d bytes do not fit the %d bytes left", n, entrySize, len(f.b))
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
			return fmt.Errorf("entry %d at byte %d: unknown phase %d", i, f.at-1, phase)
		}
		f.f32("weight")
		s.StartedAt = balancerconfig.TimeFromMillis(f.f64("upSince"))
	}
	h.sheets[ref] = list
	return nil
}

func (h *host) entries(f *fields) (balancer.ServerList, error) {
	f.u64("version")
	ref, scope := f.u32("ref"), f.u8("scope")
	l := balancer.ServerList{}
	if f.short != "" {
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
	list, ok := h.sheets[ref]
	if !ok {
		return l, fmt.Errorf("sheet %d was never given", ref)
	}
	l.Servers = list
	return l, nil
}

// workItem gathers a search with its parts, or the parts of a second step.
func (h *host) workItem(in *instance, f *fields) error {
	id := f.u64("handle")
	lane, realm := f.u8("lane"), f.u16("realm")
	f.u64("nameKey")
	budget, effort := f.f64("budget"), f.f64("effort")
	number, shard, heft := balancer.RequestNumber(f.f32("jobNo")), f.f32("rangeNo"), f.f32("heft")
	flags := f.u8("stateBits")
	if f.short != "" {
		return nil
	}
	if int(lane) >= in.types {
		return fmt.Errorf("type %d is not among the %d of the settings", lane, in.types)
	}
	if math.IsNaN(shard) || shard >= float64(in.shards) || math.IsNaN(heft) || math.IsNaN(budget) {
		return fmt.Errorf("shard %v, weight %v or budget %v is out of range", shard, heft, budget)
	}
	if shard < 0 {
		h.flush(in)
		in.search = &balancer.RequestArrived{Request: balancer.RequestID(id), Number: number,
			Type: balancer.QueryType(lane), Customer: balancer.CustomerIndex(realm), Timeout: balancerconfig.TimeFromMillis(budget),
			Retry: flags&clientRepeats != 0}
		return nil
	}
	part := balancer.ShardCall{ID: balancer.ShardCallID(id), Shard: balancer.ShardIndex(shard), Weight: heft}
	if flags&hintValid != 0 {
		part.Size = effort
	}
	switch {
	case in.search != nil && in.search.Number == number:
		in.search.Calls = append(in.search.Calls, part)
	case in.more != nil && in.more.Number == number:
		in.more.Calls = append(in.more.Calls, part)
	default:
		h.flush(in)
		in.more = &balancer.SecondPhaseArrived{Number: number, Calls: []balancer.ShardCall{part}}
	}
	return nil
}

// flush hands over the search or parts gathered so far.
func (h *host) flush(in *instance) {
	if in.search != nil {
		ev := *in.search
		in.search = nil
		h.act(in, ev)
	}
	if in.more != nil {
		ev := *in.more
		in.more = nil
		h.act(in, ev)
	}
}

// report reads a load report; nil where none came.
func (in *instance) report(f *fields) *balancer.LoadReport {
	n := int(f.u8("pressure count"))
	if n == 0 {
		return nil
	}
	r := &balancer.LoadReport{Queued: -1, InFlight: -1}
	for i := range n {
		v := f.f32("pressure")
		if i >= len(in.reports) || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		switch in.reports[i] {
		case "waiting":
			r.Queued = v
		case "active":
			r.InFlight = v
		}
	}
	return r
}

func outcome(status uint8) (balancer.Outcome, error) {
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

// act hands one event to the module and writes its actions.
func (h *host) act(in *instance, ev balancer.Event) {
	for _, a := range in.g.Handle(h.now, ev) {
		h.out.action(in.id, a)
	}
}

// action writes one action as a record.
func (o *reply) action(id uint32, a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		o.begin(acTry, id)
		o.u64(uint64(a.Call))
		o.u32(uint32(a.Server))
		o.f64(balancerconfig.Millis(a.Timeout))
	case balancer.Cancel:
		o.begin(acStopAttempt, id)
		o.u64(uint64(a.Call))
		o.u16(uint16(a.Attempt))
	case balancer.Answer:
		o.begin(acAnswer, id)
		o.u64(uint64(a.Request))
		if a.Complete {
			o.u8(1)
		} else {
			o.u8(0)
		}
	case balancer.Shed:
		o.begin(acTurnAway, id)
		o.u64(uint64(a.Request))
		o.f64(balancerconfig.Millis(a.RetryAfter))
	case balancer.Fail:
		o.begin(acLose, id)
		o.u64(uint64(a.Request))
	case balancer.SetTimer:
		o.begin(acWake, id)
		o.f64(balancerconfig.Millis(a.At))
		o.u32(uint32(a.Timer))
	case balancer.Subscribe:
		o.begin(acKeepInformed, id)
		o.u8(1)
	case balancer.HealthCheck:
		o.begin(acInspect, id)
		o.u32(uint32(a.Server))
	case balancer.CloseIdle:
		o.begin(acCloseIdle, id)
		o.u32(uint32(a.Server))
	}
	o.end()
}
