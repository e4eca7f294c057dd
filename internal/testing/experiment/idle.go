package experiment

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{Name: "idle", Short: "Many idle connections: what each costs, and look-ups while they wake",
		Long: `idle holds N connections that have asked once, from several processes and loopback addresses, on a gatherer that keeps a
goroutine for each (park = no) and on one that parks them (park = yes), and records memory a connection, processor time of
holding, latency of usual look-ups before, while a tenth wakes and while all wake at once, while others come and go, trickle
and never speak, and answers by status. In full it also holds 100,000 over eight gatherers. It ends with a finding when
parking does not keep its promises: memory, processor time, a final answer for every request, and usual clients' answers.`,
		Run: runIdle})
}

// idleLimits are what parking is held to.
type idleLimits struct {
	memoryRatio   float64 // times less resident memory a connection than kept goroutines
	heapBytes     float64 // bytes a connection by the runtime's figures, beside heapSlackBytes in all
	holdingCPU    float64 // share of a core
	answeredShare float64 // share of usual look-ups answered while all wake, trickle or say nothing
	p99Ratio      float64 // times the empty gatherer's p99 while a tenth wakes
}

// heapSlackBytes is by how much the runtime's figure moves with the garbage that happens to lie there.
const heapSlackBytes = 2 << 20

type idleResult struct {
	residentBytes, heapBytes, cpu float64
	before, during                Usage
}

func runIdle(ctx context.Context, e *Env) error {
	sizes := []int{1000, 5000, 10_000, 12_800}
	promise := idleLimits{memoryRatio: 8, heapBytes: 512, holdingCPU: 0.01, answeredShare: 0.95, p99Ratio: 2}
	if e.Quick {
		sizes = []int{3000}
	}
	for _, n := range sizes {
		results := map[string]idleResult{}
		for _, way := range []string{"kept", "parked"} {
			r, err := e.measureIdle(ctx, way, n, promise)
			if err != nil {
				return fmt.Errorf("%d connections, %s: %w", n, way, err)
			}
			results[way] = r
			e.Record.AddPoint("bytes a connection", "connections", "bytes of resident memory", way, float64(n), r.residentBytes)
			e.Record.AddPoint("bytes a connection", "connections", "bytes of resident memory", way+", the runtime's figure", float64(n), r.heapBytes)
			e.Record.AddPoint("processor time of holding", "connections", "share of a core", way, float64(n), max(r.cpu, 1e-5))
		}
		kept, parked := results["kept"], results["parked"]
		if n >= 10_000 {
			promise.memoryRatio = 40 // with fewer the slack of the runtime is more than what the connections hold
		}
		if parked.residentBytes*promise.memoryRatio > kept.residentBytes {
			return fmt.Errorf("%d connections: %.0f bytes each parked, %.0f kept: less than %.0f times less", n, parked.residentBytes, kept.residentBytes, promise.memoryRatio)
		}
	}
	if !e.Quick {
		return e.measureIdleOverGatherers(ctx, 8, 12_500)
	}
	return nil
}

// runtimeMetrics are the last that a gatherer logged of itself.
type runtimeMetrics struct {
	mu      sync.Mutex
	last    map[string]int64
	reports int // how often it did
}

// observeLine reads a line of its log.
func (r *runtimeMetrics) observeLine(line string) {
	if !strings.Contains(line, "event=memory ") {
		return
	}
	got := map[string]int64{}
	for _, w := range strings.Fields(line) {
		name, value, _ := strings.Cut(w, "=")
		if v, err := strconv.ParseInt(value, 10, 64); err == nil {
			got[name] = v
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = got
	r.reports++
}

// next waits for the next two, the second of which was taken wholly after now.
func (r *runtimeMetrics) next(ctx context.Context) map[string]int64 {
	r.mu.Lock()
	from := r.reports
	r.mu.Unlock()
	for tick := time.NewTicker(20 * time.Millisecond); ; {
		r.mu.Lock()
		last, n := r.last, r.reports
		r.mu.Unlock()
		if n >= from+2 || ctx.Err() != nil {
			tick.Stop()
			return last
		}
		<-tick.C
	}
}

// idleScenario is one gatherer under an idle experiment, with its usual clients.
type idleScenario struct {
	env        *Env
	ctx        context.Context
	name       string
	deployment *Deployment
	metrics    runtimeMetrics
	client     *http.Client
	next       atomic.Uint64
	holders    []*connectionHolder
}

func (e *Env) startIdleScenario(ctx context.Context, name, doors string) (*idleScenario, error) {
	p := &idleScenario{env: e, ctx: ctx, name: name}
	var err error
	p.deployment, err = e.StartDeployment(DeploymentOptions{Name: strings.ReplaceAll(name, " ", "-"), Servers: 4, Segments: 4, MemoryMB: 2048, MaxDescriptors: 20_000,
		Types: []QueryType{{"lookup", "free", time.Second, 2 * time.Second, 1, 1}}, OperatorConfig: doors + "[memory]\nreport = 250ms\n", OnLogLine: p.metrics.observeLine})
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 8 * time.Second}
	return p, err
}

func (p *idleScenario) stop() {
	for _, h := range p.holders {
		h.stop()
	}
	p.deployment.Stop()
}

func (p *idleScenario) lookUp(l *LatencyRecorder) int {
	n := p.next.Add(1)
	s := standin.Request{ID: fmt.Sprintf("%016x", 1<<60+n), QueryType: "lookup", Customer: "acme", Timeout: 1900 * time.Millisecond,
		Shards: []int{int(n) % 4}, Statement: "c41e77d0"}
	r, err := s.Send(p.ctx, p.client, p.deployment.Gatherer.Addr)
	if err != nil {
		return 0
	}
	l.Add(r.Elapsed)
	return r.Status
}

// startBackgroundLoad plays look-ups by a few clients until it is told to stop.
func (p *idleScenario) startBackgroundLoad(label string) (stop func() (good, all int, l *LatencyRecorder)) {
	l := NewLatencyRecorder()
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
				if status := p.lookUp(l); status == http.StatusOK {
					good.Add(1)
				} else {
					p.env.Record.AddToMetric(fmt.Sprintf("%s, %s: usual look-ups answered %d", p.name, label, status), 1)
				}
			}
		}()
	}
	return func() (int, int, *LatencyRecorder) {
		close(done)
		workers.Wait()
		p.env.Record.AddLatency(p.name+", "+label, l)
		return int(good.Load()), int(all.Load()), l
	}
}

func (p *idleScenario) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.ctx.Done():
	}
}

func (p *idleScenario) runBackgroundLoad(label string, d time.Duration) (good, all int, l *LatencyRecorder) {
	stop := p.startBackgroundLoad(label)
	p.sleep(d)
	return stop()
}

// openConnections opens connections that ask once and stay, from holders at addresses of their own, all at the same time.
func (p *idleScenario) openConnections(n, each, firstSource int) error {
	var opened sync.WaitGroup
	errs := make(chan error, n/each+1)
	for left, i := n, 0; left > 0; left, i = left-each, i+1 {
		h, err := p.env.startConnectionHolder(p.deployment.Gatherer.Addr, fmt.Sprintf("127.0.%d.%d", (firstSource+i)/200, 10+(firstSource+i)%200), firstSource+i)
		if err != nil {
			return err
		}
		p.holders = append(p.holders, h)
		opened.Add(1)
		go func() {
			defer opened.Done()
			if got, err := h.do("hold %d", min(left, each)); err != nil {
				errs <- err
			} else if got["failed"] > 0 {
				errs <- fmt.Errorf("%v of %d connections could not be held", got["failed"], n)
			}
		}()
	}
	opened.Wait()
	close(errs)
	return <-errs
}

// runWave gives all holders an order, plays usual clients meanwhile and for a moment longer, and sums up what came of it.
func (p *idleScenario) runWave(label string, order func(*connectionHolder) (map[string]float64, error)) (by map[string]float64, good, all int, l *LatencyRecorder, err error) {
	stop := p.startBackgroundLoad(label)
	by = map[string]float64{}
	var mu sync.Mutex
	var both sync.WaitGroup
	for _, h := range p.holders {
		both.Add(1)
		go func() {
			defer both.Done()
			got, doErr := order(h)
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
	p.sleep(p.env.scaleMillis(400, 1000)) // what the wave leaves behind is part of it
	good, all, l = stop()
	return by, good, all, l, err
}

// measureIdle plays one way and size.
func (e *Env) measureIdle(ctx context.Context, way string, n int, promise idleLimits) (res idleResult, err error) {
	park := map[string]string{"kept": "no", "parked": "yes"}[way]
	p, err := e.startIdleScenario(ctx, fmt.Sprintf("%s %d", way, n), "[connections]\npark = "+park+"\nawake = 16\ncrowd = off\nhead_rate = 200\nbody_rate = 200\nanswer_rate = 200\n")
	if err != nil {
		return res, err
	}
	defer p.stop()
	pid := p.deployment.Gatherer.PID()
	e.Progress(p.name, 9)
	p.runBackgroundLoad("warming up", time.Second/2)
	good, all, empty := p.runBackgroundLoad("empty", e.scaleMillis(1500, 4000))
	if good < all {
		return res, fmt.Errorf("%d of %d look-ups are answered by a gatherer that holds nothing else", good, all)
	}
	e.Step()
	ownRest := p.metrics.next(ctx)
	if res.before, err = ReadUsage(pid); err != nil {
		return res, err
	}
	const each = 3200
	if err := p.openConnections(n, each, 0); err != nil {
		return res, err
	}
	e.Step()
	// Memory and processor time of holding, once what was lent has gone back.
	p.sleep(e.scaleMillis(2500, 6000))
	ownHeld := p.metrics.next(ctx)
	before, err := ReadUsage(pid)
	if err != nil {
		return res, err
	}
	holding := e.scaleMillis(2000, 10_000)
	p.sleep(holding)
	if res.during, err = ReadUsage(pid); err != nil {
		return res, err
	}
	res.residentBytes = float64(res.during.RSS-res.before.RSS) / float64(n)
	res.heapBytes = float64(ownHeld["heap"]+ownHeld["stacks"]-ownRest["heap"]-ownRest["stacks"]) / float64(n)
	res.cpu = (res.during.CPU - before.CPU).Seconds() / holding.Seconds()
	e.Step()
	p.runBackgroundLoad("holding", e.scaleMillis(1000, 3000))
	e.Step()
	table := func(what string, by map[string]float64, good, all int) {
		e.Record.AddRow("Waves", []string{"way", "connections", "wave", "asked", "200", "503", "closed or other", "p99 ms", "most ms", "usual kept"},
			way, fmt.Sprint(n), what, fmt.Sprintf("%.0f", by["asked"]), fmt.Sprintf("%.0f", by["200"]), fmt.Sprintf("%.0f", by["503"]),
			fmt.Sprintf("%.0f", by["asked"]-by["200"]-by["503"]), fmt.Sprintf("%.1f", by["p99"]), fmt.Sprintf("%.1f", by["max"]), fmt.Sprintf("%d of %d", good, all))
	}
	parked := way == "parked"
	keeps := func(what string, good, all int) error {
		if parked && float64(good) < promise.answeredShare*float64(all) {
			return fmt.Errorf("%s: %d of %d usual look-ups are answered", what, good, all)
		}
		return nil
	}
	wave := func(what string, mayClose bool, order string, args ...any) (*LatencyRecorder, error) {
		by, good, all, l, err := p.runWave(what, func(h *connectionHolder) (map[string]float64, error) { return h.do(order, args...) })
		if err != nil {
			return nil, err
		}
		e.Step()
		table(what, by, good, all)
		if !mayClose && by["0"] > 0 {
			return nil, fmt.Errorf("%s: %v of %v requests got no final answer", what, by["0"], by["asked"])
		}
		return l, keeps(what, good, all)
	}
	tenth, err := wave("a tenth wakes in 1.5 s", false, "wake %d 1500", each/10)
	if err != nil {
		return res, err
	}
	if _, err := wave("all wake in 50 ms", false, "wake %d 50", each); err != nil {
		return res, err
	}
	if _, err := wave("others come, ask once and go", false, "churn 1000 %d", 100); err != nil {
		return res, err
	}
	if _, err := wave("100 each trickle 50 bytes/s", true, "trickle 100 50 3000"); err != nil {
		return res, err
	}
	stop := p.startBackgroundLoad("strangers say nothing")
	h := p.holders[0]
	got, err := h.do("silent %d 2600", min(n/2, 2000))
	if err != nil {
		return res, err
	}
	good, all, _ = stop()
	e.Record.AddRow("Strangers that never speak", []string{"way", "connections", "came", "closed within 2.6 s", "usual kept"},
		way, fmt.Sprint(n), fmt.Sprintf("%.0f", got["opened"]), fmt.Sprintf("%.0f", got["closed"]), fmt.Sprintf("%d of %d", good, all))
	if err := keeps("strangers", good, all); err != nil {
		return res, err
	}
	peak, err := ReadUsage(pid)
	if err != nil {
		return res, err
	}
	end := p.metrics.next(ctx)
	e.Record.AddRow("Holding", []string{"way", "connections", "empty MiB", "holding MiB", "bytes each, resident", "bytes each, heap and stacks", "goroutines more",
		"descriptors", "core share", "threads", "peak MiB", "accounted peak MiB"},
		way, fmt.Sprint(n), fmt.Sprintf("%.1f", toMiB(res.before.RSS)), fmt.Sprintf("%.1f", toMiB(res.during.RSS)), fmt.Sprintf("%.0f", res.residentBytes),
		fmt.Sprintf("%.0f", res.heapBytes), fmt.Sprint(ownHeld["goroutines"]-ownRest["goroutines"]), fmt.Sprint(res.during.Descriptors),
		fmt.Sprintf("%.4f", res.cpu), fmt.Sprint(res.during.Threads), fmt.Sprintf("%.1f", toMiB(peak.Peak)), fmt.Sprintf("%.1f", toMiB(end["peak"])))
	p99 := func(l *LatencyRecorder) float64 { return float64(l.histogram.ValueAtQuantile(99)) / 1000 }
	e.Record.SetMetric(p.name+": p99 while a tenth wakes over the empty gatherer's", p99(tenth)/p99(empty))
	if parked {
		switch slower := p99(tenth) / p99(empty); {
		case res.cpu > promise.holdingCPU:
			return res, fmt.Errorf("holding costs %.3f of a core, promised is %.3f", res.cpu, promise.holdingCPU)
		case res.heapBytes*float64(n) > promise.heapBytes*float64(n)+heapSlackBytes:
			return res, fmt.Errorf("a connection costs %.0f bytes of heap and stacks, promised are %.0f", res.heapBytes, promise.heapBytes)
		case slower > promise.p99Ratio:
			return res, fmt.Errorf("look-ups' p99 is %.2f times the empty gatherer's while a tenth wakes", slower)
		}
	}
	return res, nil
}

// measureIdleOverGatherers holds many connections over several gatherers, which all park.
func (e *Env) measureIdleOverGatherers(ctx context.Context, gatherers, each int) error {
	var plays []*idleScenario
	defer func() {
		for _, p := range plays {
			p.stop()
		}
	}()
	total, own := int64(0), int64(0)
	e.Progress(fmt.Sprintf("%d on %d", gatherers*each, gatherers), gatherers+2)
	for i := range gatherers {
		p, err := e.startIdleScenario(ctx, fmt.Sprintf("gatherer %d of %d", i+1, gatherers), "[connections]\nawake = 16\ncrowd = off\n")
		if err != nil {
			return err
		}
		plays = append(plays, p)
		p.runBackgroundLoad("warming up", time.Second)
		_, _, _ = p.runBackgroundLoad("empty", time.Second)
		rest, err := ReadUsage(p.deployment.Gatherer.PID())
		if err != nil {
			return err
		}
		ownRest := p.metrics.next(ctx)
		if err := p.openConnections(each, 3200, 100+10*i); err != nil {
			return err
		}
		p.sleep(3 * time.Second)
		held, err := ReadUsage(p.deployment.Gatherer.PID())
		if err != nil {
			return err
		}
		ownHeld := p.metrics.next(ctx)
		total += held.RSS - rest.RSS
		own += ownHeld["heap"] + ownHeld["stacks"] - ownRest["heap"] - ownRest["stacks"]
		e.Step()
	}
	n := float64(gatherers * each)
	before := make([]time.Duration, gatherers)
	for i, p := range plays {
		u, err := ReadUsage(p.deployment.Gatherer.PID())
		if err != nil {
			return err
		}
		before[i] = u.CPU
	}
	plays[0].sleep(10 * time.Second)
	cpu := time.Duration(0)
	for i, p := range plays {
		u, err := ReadUsage(p.deployment.Gatherer.PID())
		if err != nil {
			return err
		}
		cpu += u.CPU - before[i]
	}
	e.Step()
	// A tenth of all wakes, on all gatherers at once; the first one's usual clients are looked at.
	first := plays[0]
	good, all, held := first.runBackgroundLoad("holding", 2*time.Second)
	var others sync.WaitGroup
	by := map[string]float64{}
	var mu sync.Mutex
	var failed error
	stop := first.startBackgroundLoad("a tenth of all wakes")
	for _, p := range plays {
		for _, h := range p.holders {
			others.Add(1)
			go func() {
				defer others.Done()
				got, err := h.do("wake %d 2000", 320)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = err
				}
				for k, v := range got {
					by[k] += v
				}
			}()
		}
	}
	others.Wait()
	wokenGood, wokenAll, woken := stop()
	e.Step()
	if failed != nil {
		return failed
	}
	p99 := func(l *LatencyRecorder) float64 { return float64(l.histogram.ValueAtQuantile(99)) / 1000 }
	e.Record.AddRow("Many, over several gatherers", []string{"gatherers", "connections", "bytes each, resident", "bytes each, heap and stacks", "cores of holding, in all",
		"woken", "200", "503", "other", "usual p99 ms holding", "while a tenth wakes", "usual kept"},
		fmt.Sprint(gatherers), fmt.Sprint(gatherers*each), fmt.Sprintf("%.0f", float64(total)/n), fmt.Sprintf("%.0f", float64(own)/n), fmt.Sprintf("%.4f", cpu.Seconds()/10),
		fmt.Sprintf("%.0f", by["asked"]), fmt.Sprintf("%.0f", by["200"]), fmt.Sprintf("%.0f", by["503"]), fmt.Sprintf("%.0f", by["asked"]-by["200"]-by["503"]),
		fmt.Sprintf("%.2f", p99(held)), fmt.Sprintf("%.2f", p99(woken)), fmt.Sprintf("%d of %d, %d of %d", good, all, wokenGood, wokenAll))
	if by["0"] > 0 {
		return fmt.Errorf("%v of %v requests got no final answer", by["0"], by["asked"])
	}
	return nil
}

// scaleMillis picks a time in milliseconds: short with Quick, else full.
func (e *Env) scaleMillis(short, full int) time.Duration {
	return time.Duration(e.Scale(short, full)) * time.Millisecond
}

func toMiB(bytes int64) float64 { return float64(bytes) / (1 << 20) }
