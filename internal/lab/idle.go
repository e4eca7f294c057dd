package lab

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/standin"
)

func init() {
	Register(Experiment{Name: "idle", Short: "Many idle connections: what each costs, and look-ups while they wake",
		Long: `idle holds N connections that have asked once, from several processes and loopback addresses, on a gatherer that keeps a
goroutine for each (park = no) and on one that parks them (park = yes), and records memory a connection, processor time of
holding, latency of usual look-ups before, while a tenth wakes and while all wake at once, and answers by status. It ends with a
finding when parking does not keep its promises: memory, processor time, a final answer for every request, and usual
clients' answers.`, Run: runIdle})
}

// idlePromises are what parking is held to. The bytes are of resident memory, with the runtime's own slack.
type idlePromises struct {
	ratio      float64 // times less memory a connection than kept goroutines
	holdingCPU float64 // share of a core
	usual      float64 // share of usual look-ups answered while all wake
}

type idleResult struct {
	perConn, cpu float64
	rest, held   Usage
}

func runIdle(ctx context.Context, e *Env) error {
	sizes := []int{1000, 5000, 10_000, 12_800}
	promise := idlePromises{ratio: 8, holdingCPU: 0.01, usual: 0.95}
	if e.Quick {
		sizes = []int{3000}
	}
	for _, n := range sizes {
		results := map[string]idleResult{}
		for _, way := range []string{"kept", "parked"} {
			r, err := e.idle(ctx, way, n, promise)
			if err != nil {
				return fmt.Errorf("%d connections, %s: %w", n, way, err)
			}
			results[way] = r
			e.Record.Point("bytes a connection", "connections", "bytes of resident memory", way, float64(n), r.perConn)
			e.Record.Point("processor time of holding", "connections", "share of a core", way, float64(n), max(r.cpu, 1e-5))
		}
		kept, parked := results["kept"], results["parked"]
		if parked.perConn*promise.ratio > kept.perConn {
			return fmt.Errorf("%d connections: %.0f bytes each parked, %.0f kept: less than %.0f times less", n, parked.perConn, kept.perConn, promise.ratio)
		}
	}
	return nil
}

// idle plays one way and size.
func (e *Env) idle(ctx context.Context, way string, n int, promise idlePromises) (res idleResult, err error) {
	park := map[string]string{"kept": "no", "parked": "yes"}[way]
	name := fmt.Sprintf("%s %d", way, n)
	site, err := e.StartSite(SiteShape{Name: fmt.Sprintf("%s-%d", way, n), Cells: 4, Segments: 4, MemoryMB: 1024, Sockets: 20_000,
		Types:    []SiteType{{"lookup", "free", time.Second, 2 * time.Second, 1, 1}},
		Operator: "[connections]\npark = " + park + "\nawake = 16\n"})
	if err != nil {
		return res, err
	}
	defer site.Stop()
	pid := site.Gatherer.PID()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 8 * time.Second}
	var next atomic.Uint64
	one := func(l *Latency) int {
		s := standin.Search{ID: fmt.Sprintf("%016x", 1<<60+next.Add(1)), Kind: "lookup", Customer: "acme", Wait: 1900 * time.Millisecond,
			Shards: []int{int(next.Load()) % 4}, Text: "c41e77d0"}
		r, err := s.Ask(ctx, client, site.Gatherer.Addr)
		if err != nil {
			return 0
		}
		l.Add(r.Took)
		return r.Status
	}
	// usual plays look-ups by a few clients until it is told to stop.
	usual := func(label string) (stop func() (good, all int)) {
		l := NewLatency()
		done := make(chan struct{})
		var workers sync.WaitGroup
		var good, all atomic.Int64
		for range 4 {
			workers.Add(1)
			go func() {
				defer workers.Done()
				pace := time.NewTicker(4 * time.Millisecond) // a load, not a race: some 1,000 a second in all
				defer pace.Stop()
				for {
					select {
					case <-done:
						return
					case <-pace.C:
					}
					all.Add(1)
					if status := one(l); status == http.StatusOK {
						good.Add(1)
					} else {
						e.Record.Add(fmt.Sprintf("%s, %s: usual look-ups answered %d", name, label, status), 1)
					}
				}
			}()
		}
		return func() (int, int) {
			close(done)
			workers.Wait()
			e.Record.Latency(name+", "+label, l)
			return int(good.Load()), int(all.Load())
		}
	}
	run := func(label string, d time.Duration) (good, all int) {
		stop := usual(label)
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		return stop()
	}
	e.Progress(name, 6)
	run("warming up", time.Second)
	if good, all := run("empty", 2*time.Second); good < all {
		return res, fmt.Errorf("%d of %d look-ups are answered by a gatherer that holds nothing else", good, all)
	}
	e.Step()
	if res.rest, err = ReadUsage(pid); err != nil {
		return res, err
	}
	const each = 3200
	var holders []*holder
	defer func() {
		for _, h := range holders {
			h.stop()
		}
	}()
	for left, i := n, 0; left > 0; i++ {
		h, err := e.startHolder(site.Gatherer.Addr, fmt.Sprintf("127.0.0.%d", 10+i), i)
		if err != nil {
			return res, err
		}
		holders = append(holders, h)
		got, err := h.do("hold %d", min(left, each))
		if err != nil {
			return res, err
		}
		if got["failed"] > 0 {
			return res, fmt.Errorf("%v of %d connections could not be held", got["failed"], n)
		}
		left -= each
	}
	e.Step()
	// Memory and processor time of holding, once what was lent has gone back.
	settle := 4 * time.Second
	select {
	case <-time.After(settle):
	case <-ctx.Done():
		return res, ctx.Err()
	}
	before, err := ReadUsage(pid)
	if err != nil {
		return res, err
	}
	holding := time.Duration(e.Scale(2, 5)) * time.Second
	select {
	case <-time.After(holding):
	case <-ctx.Done():
		return res, ctx.Err()
	}
	if res.held, err = ReadUsage(pid); err != nil {
		return res, err
	}
	res.perConn = float64(res.held.RSS-res.rest.RSS) / float64(n)
	res.cpu = (res.held.CPU - before.CPU).Seconds() / holding.Seconds()
	e.Step()
	run("holding", 2*time.Second)
	e.Step()
	wake := func(label string, share, within int) (by map[string]float64, good, all int, err error) {
		stop := usual(label)
		by = map[string]float64{}
		var mu sync.Mutex
		var both sync.WaitGroup
		for _, h := range holders {
			both.Add(1)
			go func() {
				defer both.Done()
				got, doErr := h.do("wake %d %d", each/share, within)
				mu.Lock()
				defer mu.Unlock()
				if doErr != nil {
					err = doErr
				}
				for k, v := range got {
					if k == "max" || k == "p99" || k == "p50" {
						by[k] = max(by[k], v)
					} else {
						by[k] += v
					}
				}
			}()
		}
		both.Wait()
		select { // usual clients are looked at a second longer: what the wave leaves behind is part of it
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		good, all = stop()
		if err == nil && by["0"] > 0 {
			err = fmt.Errorf("%s: %v of %v requests got no final answer", label, by["0"], by["asked"])
		}
		return by, good, all, err
	}
	tenth, tenthGood, tenthAsked, err := wake("a tenth wakes", 10, 2000)
	if err != nil {
		return res, err
	}
	e.Step()
	all, good, asked, err := wake("all wake", 1, 50)
	if err != nil {
		return res, err
	}
	e.Step()
	peak, err := ReadUsage(pid)
	if err != nil {
		return res, err
	}
	e.Record.Row("Holding", []string{"way", "connections", "empty MiB", "holding MiB", "bytes each", "core share", "threads", "peak MiB"},
		way, fmt.Sprint(n), fmt.Sprintf("%.1f", mib(res.rest.RSS)), fmt.Sprintf("%.1f", mib(res.held.RSS)), fmt.Sprintf("%.0f", res.perConn),
		fmt.Sprintf("%.4f", res.cpu), fmt.Sprint(res.held.Threads), fmt.Sprintf("%.1f", mib(peak.Peak)))
	e.Record.Row("Waking", []string{"way", "connections", "woken", "200", "503", "other", "p99 ms", "most ms", "usual kept"},
		way, fmt.Sprint(n), fmt.Sprintf("a tenth: %.0f", tenth["asked"]), fmt.Sprintf("%.0f", tenth["200"]), fmt.Sprintf("%.0f", tenth["503"]),
		fmt.Sprintf("%.0f", tenth["asked"]-tenth["200"]-tenth["503"]), fmt.Sprintf("%.1f", tenth["p99"]), fmt.Sprintf("%.1f", tenth["max"]), fmt.Sprintf("%d of %d", tenthGood, tenthAsked))
	e.Record.Row("Waking", nil, way, fmt.Sprint(n), fmt.Sprintf("all: %.0f", all["asked"]), fmt.Sprintf("%.0f", all["200"]), fmt.Sprintf("%.0f", all["503"]),
		fmt.Sprintf("%.0f", all["asked"]-all["200"]-all["503"]), fmt.Sprintf("%.1f", all["p99"]), fmt.Sprintf("%.1f", all["max"]), fmt.Sprintf("%d of %d", good, asked))
	if way == "parked" {
		if res.cpu > promise.holdingCPU {
			return res, fmt.Errorf("holding costs %.3f of a core, promised is %.3f", res.cpu, promise.holdingCPU)
		}
		if float64(good) < promise.usual*float64(asked) {
			return res, fmt.Errorf("while all wake, %d of %d usual look-ups are answered", good, asked)
		}
	}
	return res, nil
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }
