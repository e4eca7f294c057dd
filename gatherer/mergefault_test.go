package gatherer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

// corruptionBudget limits how many responses are corrupted.
type corruptionBudget struct {
	mu        sync.Mutex
	remaining map[string]int // responses still to be corrupted, by kind of corruption
}

// use reports whether to corrupt a response, and counts it if so.
func (s *corruptionBudget) use(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remaining[kind] == 0 {
		return false
	}
	s.remaining[kind]--
	return true
}

// Responses whose rows cannot be decoded are retried at the other replica, so that the answer is complete.
func TestUndecodableRowsAreRetriedElsewhere(t *testing.T) {
	for kind, corrupt := range map[string]func(string) string{
		"cut": func(v string) string { return v[:len(v)-9] },
		"unsorted": func(v string) string {
			l := strings.Split(v, "\n")
			l[1], l[2] = l[2], l[1]
			return strings.Join(l, "\n")
		},
		"schema": func(v string) string { return strings.Replace(v, "arrears/1", "arrears/2", 1) },
	} {
		t.Run(kind, func(t *testing.T) {
			budget := &corruptionBudget{remaining: map[string]int{kind: 2}}
			s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120},
				func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
					if !budget.use(kind) {
						return false
					}
					c.Respond(p.ID, "served", corrupt(rows))
					return true
				}, nil)
			order := []string{"due", "amount"}
			m := s.sendMerge("report", merge.Request{Kind: "ranked", Order: order, Limit: 60})
			if err := s.oracle(true).CheckRanked(m, order, 0, 60, true); err != nil || !m.Full {
				t.Errorf("full %t: %v", m.Full, err)
			}
			s.awaitLogLine("event=part_unusable", "server=s-")
		})
	}
}

// If one segment sends only corrupt rows, a query type that requires complete answers fails, and another one reports the
// segment as unusable.
func TestCorruptSegmentIsNeverMerged(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			if p.Shard == 2 {
				c.Respond(p.ID, "served", rows[:len(rows)-9])
			}
			return p.Shard == 2
		}, nil)
	order := []string{"due"}
	terms := merge.Request{Kind: "ranked", Order: order, Limit: 60}
	q := s.newSearch("report", terms)
	q.Timeout = 900 * time.Millisecond
	r, err := q.Send(context.Background(), http.DefaultClient, s.addr)
	if err != nil || r.Status != http.StatusServiceUnavailable && r.Status != http.StatusGatewayTimeout {
		t.Errorf("got %d %.200s, error %v", r.Status, r.Body, err)
	}
	m := s.sendMerge("loose", terms)
	if err := s.oracle(false).CheckRanked(m, order, 0, 60, true); err != nil {
		t.Error(err)
	}
	if state := m.Result.Complete.Segments[2].State; state != "unusable" || m.Full || m.Result.Certain != 0 {
		t.Errorf("the segment is %s, full %t, certain %d", state, m.Full, m.Result.Certain)
	}
}

// Both replicas of a segment fail during the first three pages, and then recover.
func TestSegmentMissingOnOnePage(t *testing.T) {
	var failing atomic.Bool
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 90},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			if p.Shard == 1 && failing.Load() {
				c.Respond(p.ID, "broke", "")
				return true
			}
			return false
		}, nil)
	w := s.readPages("loose", []string{"due"}, 10, func(page int) { failing.Store(page < 3) })
	if w.Late == 0 || w.Rows != 90 {
		t.Errorf("%d rows, %d of them late, the data set has 90", w.Rows, w.Late)
	}
}

// A server that holds one replica of two segments crashes between two pages: the next pages come from the other replicas.
func TestServerFailureBetweenPages(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 90}, nil, nil)
	w := s.readPages("report", []string{"-amount"}, 10, func(page int) {
		if page == 2 {
			s.shards[1].Stop()
		}
	})
	if w.Late != 0 || w.Rows != 90 {
		t.Errorf("%d rows, %d of them late, the data set has 90", w.Rows, w.Late)
	}
}

// The data of a segment changes between two pages: the second page reports which segment has changed, and no later page
// claims to be full.
func TestDataChangeBetweenPagesIsReported(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 60}, nil, nil)
	first := s.sendMerge("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 10})
	s.dataset.Advance(2)
	second := s.sendMerge("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 10, Cursor: first.Result.Next})
	if !first.Full || second.Full || !second.Result.Moved || !second.Result.Complete.Segments[2].Moved ||
		second.Result.Complete.Segments[1].Moved {
		t.Errorf("full %t, moved %t, segments %+v", second.Full, second.Result.Moved, second.Result.Complete.Segments)
	}
	third := s.sendMerge("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 10, Cursor: second.Result.Next})
	if third.Full || !third.Result.Moved {
		t.Errorf("on the next page full %t, moved %t", third.Full, third.Result.Moved)
	}
}

// The first attempt is late and hedged, and then both attempts answer: the segment is merged only once.
func TestHedgeAndOriginalBothAnswer(t *testing.T) {
	var held sync.Map
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			first, hedged := held.LoadOrStore(p.ID, func() { c.Respond(p.ID, "served", rows) })
			if p.Shard != 3 {
				return false
			}
			if hedged { // the first attempt answers just before the hedge does
				first.(func())()
				c.Respond(p.ID, "served", rows)
			}
			return true
		}, nil)
	terms := merge.Request{Kind: "aggregated", Limit: 1, Aggregates: []string{"count", "sum(amount)"}}
	m := s.sendMerge("report", terms)
	if err := s.oracle(true).CheckAggregated(m, terms, true); err != nil || !m.Full {
		t.Errorf("full %t: %v", m.Full, err)
	}
}

// One segment answers before, at and after the latency target, at which type loose is answered without late segments.
func TestLateSegmentIsMergedOrReportedMissing(t *testing.T) {
	var delay atomic.Int64
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			if p.Shard != 0 || delay.Load() == 0 {
				return false
			}
			time.AfterFunc(time.Duration(delay.Load())*time.Millisecond, func() { c.Respond(p.ID, "served", rows) })
			return true
		}, nil)
	terms := merge.Request{Kind: "aggregated", Limit: 100, Group: []string{"customer"}, Aggregates: []string{"count", "sum(amount)", "min(due)"}}
	states := map[string]bool{}
	for _, ms := range []int64{0, 60, 270, 285, 290, 295, 300, 310, 700} {
		delay.Store(ms)
		m := s.sendMerge("loose", terms)
		if err := s.oracle(false).CheckAggregated(m, terms, true); err != nil {
			t.Errorf("%d ms late: %v", ms, err)
		}
		states[m.Result.Complete.Segments[0].State] = true
	}
	if !states["in"] || !states["missing"] {
		t.Errorf("the states of the delayed segment were %v", states)
	}
}
