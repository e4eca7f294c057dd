package experiment

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

// faultKind is a kind of faulty response of a shard server.
type faultKind int

const (
	faultDelayed faultKind = iota
	faultStalled           // no response
	faultReset             // the connection is reset within the response
	faultCorrupted
	faultUnsorted
	faultWrongSchema
	faultDuplicated // the response is sent twice
	faultTooFew     // fewer rows than requested
	faultTooMany    // more rows than requested
	faultKinds      // number of kinds
	noFault         = faultKinds
)

// faultRates is the rate of each kind of fault in thousandths of all calls.
type faultRates [faultKinds]int

var (
	noFaults    = faultRates{}
	mixedFaults = faultRates{faultDelayed: 40, faultStalled: 6, faultReset: 6, faultCorrupted: 15, faultUnsorted: 10, faultWrongSchema: 6,
		faultDuplicated: 4, faultTooMany: 30}
	truncatingFaults   = faultRates{faultTooFew: 250, faultDelayed: 20, faultCorrupted: 10}
	unresponsiveFaults = faultRates{faultStalled: 25, faultReset: 15, faultDelayed: 60}
)

// kind maps a number below 1000 to a fault according to the rates.
func (r faultRates) kind(perMille int) faultKind {
	for kind, rate := range r {
		if perMille < rate {
			return faultKind(kind)
		}
		perMille -= rate
	}
	return noFault
}

// additionalRows is the number of rows that faultTooMany sends in excess of the requested ones.
const additionalRows = 7

// drawPerMille derives a number below 1000 from a call's id, so that repeated calls have the same fault.
func (r *mergeRun) drawPerMille(call standin.ShardCall, purpose string) int {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %s %s", r.env.Seed, call.ID, purpose)
	return int(hash.Sum64() >> 11 % 1000)
}

// handleCall handles a call at a shard server with the active faults.
func (r *mergeRun) handleCall(conn *standin.ShardConn, call standin.ShardCall) {
	respond := func(value string) { conn.Respond(call.ID, standin.OutcomeServed, value) }
	switch r.activeFaults.Load().kind(r.drawPerMille(call, conn.Server.Host)) {
	case faultDelayed:
		delay := time.Duration(20+r.drawPerMille(call, "wait")%600) * time.Millisecond
		time.AfterFunc(delay, func() { respond(r.value(call, 0, 0)) })
	case faultStalled:
	case faultReset:
		conn.RespondTruncated(call.ID, r.value(call, 0, 0), 10+r.drawPerMille(call, "cut")/4)
	case faultCorrupted:
		respond(corrupt(r.value(call, 0, 0), 20+r.drawPerMille(call, "spoil")%20))
	case faultUnsorted:
		respond(unsort(r.value(call, 0, 0)))
	case faultWrongSchema:
		respond(strings.Replace(r.value(call, 0, 0), standin.DatasetSchemaName, "arrears/9", 1))
	case faultDuplicated:
		value := r.value(call, 0, 0)
		respond(value)
		respond(value)
	case faultTooFew:
		respond(r.value(call, 1+r.drawPerMille(call, "less")%9, 0))
	case faultTooMany:
		respond(r.value(call, 0, additionalRows))
	default:
		respond(r.value(call, 0, 0))
	}
}

// value returns a segment's value with at most limit rows (0 = as many as requested), or with a number of additional rows. A
// malformed call ends the run.
func (r *mergeRun) value(call standin.ShardCall, limit, additional int) string {
	item := call.Attributes["m"]
	value, err := r.segmentValue(call.Shard, item, limit, additional)
	if err != nil {
		r.fail(fmt.Errorf("segment %d is asked for %q: %w", call.Shard, item, err))
	}
	return value
}

func (r *mergeRun) segmentValue(segment int, item string, limit, additional int) (string, error) {
	if additional > 0 {
		request, err := merge.ParseSegmentRequest(item)
		if err != nil {
			return "", err
		}
		if request.Kind == merge.Ranked {
			request.Limit += additional
			item = request.Encode()
		}
	}
	return r.dataset.Respond(segment, item, limit)
}

// corrupt removes a number of bytes from the end of a value, or adds an invalid first byte to a short value.
func corrupt(value string, bytes int) string {
	if len(value) > 40 {
		return value[:len(value)-bytes]
	}
	return "?" + value
}

// unsort swaps the last two rows of a value, or misspells a field of the header of a value with fewer rows.
func unsort(value string) string {
	lines := strings.Split(strings.TrimSuffix(value, "\n"), "\n")
	if len(lines) < 3 {
		lines[0] = strings.Replace(lines[0], `"as_of"`, `"as_off"`, 1)
	} else {
		last := len(lines) - 1
		lines[last], lines[last-1] = lines[last-1], lines[last]
	}
	return strings.Join(lines, "\n") + "\n"
}
