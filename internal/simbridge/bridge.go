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

// bufferSize is the size of the input and output buffers, in bytes.
const bufferSize = 1 << 16

// Errors of malformed batches.
var (
	errClock           = errors.New("the clock at byte 4 is not a number")
	errUnknownInstance = errors.New("an event for an instance that has had no hello")
	errUnknownEvent    = errors.New("unknown event code")
)

// instance is one simulated instance.
type instance struct {
	id           uint32
	balancer     *balancer.Balancer
	reportFields []string // names of the values in load reports, in order
	queryTypes   int
	shards       int
	// A request and its calls arrive in several consecutive records. They are collected in request or secondPhase until a
	// record of another kind or of another instance follows, or the batch ends.
	request     *balancer.RequestArrived
	secondPhase *balancer.SecondPhaseArrived
}

// bridge runs the instances of one process. They share only the server lists, which any instance may refer to.
type bridge struct {
	instances   map[uint32]*instance
	serverLists map[uint32][]balancer.Server
	reply       replyWriter
	now         balancer.Time
}

// Serve reads batches until the end of the input and writes a reply to each. It returns an error for the first batch that is
// malformed or whose reply can't be written.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, bufferSize), bufio.NewWriterSize(w, bufferSize)
	b := &bridge{instances: map[uint32]*instance{}, serverLists: map[uint32][]balancer.Server{}}
	var buf []byte
	for batch := 1; ; batch++ {
		var err error
		if buf, err = readBatch(in, buf); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		b.reply.reset()
		if err := b.handleBatch(buf); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if _, err := out.Write(b.reply.frame()); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch processes the records of a batch in order and appends the resulting actions to the reply.
func (b *bridge) handleBatch(content []byte) error {
	r := &recordReader{data: content, offset: lengthBytes}
	clock := r.f64("clock")
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return errClock
	}
	b.now = balancerconfig.TimeFromMillis(clock)
	var collecting *instance // the instance whose request or calls are being collected
	count := r.u32("number of records")
	for i := uint32(1); i <= count; i++ {
		at := r.offset
		code, size := r.u8("code"), r.u32("record length")
		if r.err != nil || uint64(size) > uint64(len(r.data)) {
			return fmt.Errorf("record %d of %d at byte %d: its %d bytes do not fit the batch", i, count, at, size)
		}
		record := &recordReader{data: r.data[:size], offset: r.offset}
		r.data, r.offset = r.data[size:], r.offset+int(size)
		if code == eventServerList {
			if err := b.readServerList(record); err != nil {
				return fmt.Errorf("record %d (server list) at byte %d: %w", i, at, err)
			}
			continue
		}
		id := record.u32("gathererId")
		if collecting != nil && (code != eventWorkItem || collecting.id != id) {
			b.deliverPending(collecting)
			collecting = nil
		}
		in, err := b.handleRecord(code, id, record)
		if err == nil {
			err = record.err
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d, instance %d) at byte %d: %w", i, code, id, at, err)
		}
		if code == eventWorkItem {
			collecting = in
		}
	}
	if len(r.data) > 0 {
		return fmt.Errorf("%d bytes after the last of %d records", len(r.data), count)
	}
	if collecting != nil {
		b.deliverPending(collecting)
	}
	return nil
}

// handleRecord processes one record that belongs to an instance. It returns the instance, or nil if the record starts or stops it.
func (b *bridge) handleRecord(code uint8, id uint32, r *recordReader) (*instance, error) {
	if code == eventHello {
		return nil, b.startInstance(id, r)
	}
	in := b.instances[id]
	if in == nil {
		return nil, errUnknownInstance
	}
	switch code {
	case eventStop:
		delete(b.instances, id)
		return nil, nil
	case eventWorkItem:
		return in, b.readWorkItem(in, r)
	case eventStreamHead, eventMail:
		return in, nil // ignored: streams are not used, and instances do not communicate (docs/standing.md has the reason)
	}
	event, err := b.readEvent(code, in, r)
	if err != nil {
		return nil, err
	}
	if r.err == nil {
		b.handleEvent(in, event)
	}
	return in, nil
}

// startInstance starts an instance with the settings in its hello record. It replaces an instance with the same id.
func (b *bridge) startInstance(id uint32, r *recordReader) error {
	seed := r.u64("salt")
	text := r.next(int(r.u32("settings length")), "settings")
	if r.err != nil {
		return r.err
	}
	d, err := balancerconfig.FromPairs(string(text), seed)
	if err != nil {
		return err
	}
	b.instances[id] = &instance{id: id, balancer: balancer.New(d.Balancer), reportFields: d.LoadReportFields,
		queryTypes: len(d.Balancer.QueryTypes), shards: d.Balancer.Shards}
	return nil
}

// deliverPending passes the collected request or second-phase calls of an instance to its balancer.
func (b *bridge) deliverPending(in *instance) {
	if in.request != nil {
		event := *in.request
		in.request = nil
		b.handleEvent(in, event)
	}
	if in.secondPhase != nil {
		event := *in.secondPhase
		in.secondPhase = nil
		b.handleEvent(in, event)
	}
}

// handleEvent passes an event to the balancer and appends the resulting actions to the reply.
func (b *bridge) handleEvent(in *instance, event balancer.Event) {
	for _, a := range in.balancer.Handle(b.now, event) {
		b.reply.action(in.id, a)
	}
}

// action appends an action as a record.
func (w *replyWriter) action(instance uint32, action balancer.Action) {
	switch a := action.(type) {
	case balancer.Send:
		w.begin(actionSend, instance)
		w.u64(uint64(a.Call))
		w.u32(uint32(a.Server))
		w.f64(balancerconfig.Millis(a.Timeout))
	case balancer.Cancel:
		w.begin(actionCancel, instance)
		w.u64(uint64(a.Call))
		w.u16(uint16(a.Attempt))
	case balancer.Answer:
		w.begin(actionAnswer, instance)
		w.u64(uint64(a.Request))
		w.flag(a.Complete)
	case balancer.Shed:
		w.begin(actionShed, instance)
		w.u64(uint64(a.Request))
		w.f64(balancerconfig.Millis(a.RetryAfter))
	case balancer.Fail:
		w.begin(actionFail, instance)
		w.u64(uint64(a.Request))
	case balancer.SetTimer:
		w.begin(actionSetTimer, instance)
		w.f64(balancerconfig.Millis(a.At))
		w.u32(uint32(a.Timer))
	case balancer.Subscribe:
		w.begin(actionSubscribe, instance)
		w.flag(true)
	case balancer.HealthCheck:
		w.begin(actionHealthCheck, instance)
		w.u32(uint32(a.Server))
	case balancer.CloseIdle:
		w.begin(actionCloseIdle, instance)
		w.u32(uint32(a.Server))
	}
	w.end()
}
