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

// corruptor counts how often a kind of corruption is still to be applied.
type corruptor struct {
	mu   sync.Mutex
	left map[string]int // by kind
}

func (s *corruptor) take(what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left[what] == 0 {
		return false
	}
	s.left[what]--
	return true
}

func TestUndecodableRowsAreRetriedElsewhere(t *testing.T) {
	for what, corrupt := range map[string]func(string) string{
		"cut": func(v string) string { return v[:len(v)-9] },
		"unsorted": func(v string) string {
			l := strings.Split(v, "\n")
			l[1], l[2] = l[2], l[1]
			return strings.Join(l, "\n")
		},
		"schema": func(v string) string { return strings.Replace(v, "arrears/1", "arrears/2", 1) },
	} {
		t.Run(what, func(t *testing.T) {
			once := &corruptor{left: map[string]int{what: 2}}
			s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120},
				func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
					if !once.take(what) {
						return false
					}
					c.Respond(p.ID, "served", corrupt(rows))
					return true
				}, nil)
			order := []string{"due", "amount"}
			m := s.merged("report", merge.Request{Kind: "ranked", Order: order, Limit: 60})
			if err := s.expected(true).CheckRanked(m, order, 0, 60, true); err != nil || !m.Full {
				t.Errorf("full %t: %v", m.Full, err)
			}
			s.line("event=part_unusable", "server=s-")
		})
	}
}

// With only corrupt rows from one segment a type that requires complete answers fails, another reports what is missing.
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
	q := s.search("report", terms)
	q.Timeout = 900 * time.Millisecond
	r, err := q.Send(context.Background(), http.DefaultClient, s.addr)
	if err != nil || r.Status != http.StatusServiceUnavailable && r.Status != http.StatusGatewayTimeout {
		t.Errorf("got %d %.200s, error %v", r.Status, r.Body, err)
	}
	m := s.merged("loose", terms)
	if err := s.expected(false).CheckRanked(m, order, 0, 60, true); err != nil {
		t.Error(err)
	}
	if state := m.Result.Complete.Segments[2].State; state != "unusable" || m.Full || m.Result.Certain != 0 {
		t.Errorf("the segment is %s, full %t, certain %d", state, m.Full, m.Result.Certain)
	}
}

// Both replicas of a segment are silent during the first pages, and then recover.
func TestSegmentMissingOnOnePage(t *testing.T) {
	var out atomic.Bool
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 90},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			if p.Shard == 1 && out.Load() {
				c.Respond(p.ID, "broke", "")
				return true
			}
			return false
		}, nil)
	w := s.walk("loose", []string{"due"}, 10, func(page int) { out.Store(page < 3) })
	if w.Late == 0 || w.Rows != 90 {
		t.Errorf("%d rows, %d of them late, the data set has 90", w.Rows, w.Late)
	}
}

// A server crashes between two pages, with one replica of two segments: the walk continues at the others.
func TestServerFailureBetweenPages(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 90}, nil, nil)
	w := s.walk("report", []string{"-amount"}, 10, func(page int) {
		if page == 2 {
			s.shards[1].Stop()
		}
	})
	if w.Late != 0 || w.Rows != 90 {
		t.Errorf("%d rows, %d of them late, the data set has 90", w.Rows, w.Late)
	}
}

func TestDataChangeBetweenPagesIsReported(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 60}, nil, nil)
	first := s.merged("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 10})
	s.dataset.Advance(2)
	second := s.merged("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 10, Cursor: first.Result.Next})
	if !first.Full || second.Full || !second.Result.Moved || !second.Result.Complete.Segments[2].Moved ||
		second.Result.Complete.Segments[1].Moved {
		t.Errorf("full %t, moved %t, segments %+v", second.Full, second.Result.Moved, second.Result.Complete.Segments)
	}
	third := s.merged("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 10, Cursor: second.Result.Next})
	if third.Full || !third.Result.Moved {
		t.Errorf("a page later full %t, moved %t", third.Full, third.Result.Moved)
	}
}

// The first attempt is late and hedged, and then both answer: the segment counts once.
func TestHedgeAndOriginalBothAnswer(t *testing.T) {
	var held sync.Map
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			first, copied := held.LoadOrStore(p.ID, func() { c.Respond(p.ID, "served", rows) })
			if p.Shard != 3 {
				return false
			}
			if copied { // the first attempt answers just before the hedge does
				first.(func())()
				c.Respond(p.ID, "served", rows)
			}
			return true
		}, nil)
	terms := merge.Request{Kind: "aggregated", Limit: 1, Aggregates: []string{"count", "sum(amount)"}}
	m := s.merged("report", terms)
	if err := s.expected(true).CheckAggregated(m, terms, true); err != nil || !m.Full {
		t.Errorf("full %t: %v", m.Full, err)
	}
}

// One segment answers before, at and after the latency target, when this type is answered.
func TestLateSegmentIsMergedOrReportedMissing(t *testing.T) {
	var wait atomic.Int64
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			if p.Shard != 0 || wait.Load() == 0 {
				return false
			}
			time.AfterFunc(time.Duration(wait.Load())*time.Millisecond, func() { c.Respond(p.ID, "served", rows) })
			return true
		}, nil)
	terms := merge.Request{Kind: "aggregated", Limit: 100, Group: []string{"customer"}, Aggregates: []string{"count", "sum(amount)", "min(due)"}}
	states := map[string]bool{}
	for _, ms := range []int64{0, 60, 270, 285, 290, 295, 300, 310, 700} {
		wait.Store(ms)
		m := s.merged("loose", terms)
		if err := s.expected(false).CheckAggregated(m, terms, true); err != nil {
			t.Errorf("%d ms late: %v", ms, err)
		}
		states[m.Result.Complete.Segments[0].State] = true
	}
	if !states["in"] || !states["missing"] {
		t.Errorf("the late segment was %v", states)
	}
}
