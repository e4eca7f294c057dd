package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/testing/simcluster"
)

func init() {
	Register(Experiment{Name: "judgement", Short: "One judgement of replicas: a replica slowed tenfold, hung and killed, judged together and by each alone",
		Long: `judgement starts three hives and many foragers, each with little traffic: counter look-ups, gathers and posts that must not run
twice, over three shards of four servers. One server is slowed tenfold, another takes requests and answers none, another is killed; each
recovers. In the middle a gatherer is killed and another frozen. It plays that with the judgement and with each gatherer's own records alone,
and records how many look-ups took longer than a bound after each beginning, how many requests met the server, and how long until it has its part
again. It ends with a finding if an id ran twice, or look-ups over the bound are more with the judgement than alone.`, Run: runOutlierDetection})
}

const (
	outlierServiceTime  = 15 * time.Millisecond
	outlierLatencyBound = 50 * time.Millisecond
)

func outlierConfig() []byte {
	var c config.Configuration
	json.Unmarshal(simcluster.ExampleConfiguration(1, simcluster.FirstSharding), &c)
	c.Routes = append(c.Routes,
		config.Route{Name: "counter", Hostname: "h.example", PathPrefix: "/counter/", RouteKind: config.Retryable, TimeoutMS: 3000, TargetMS: 100, Service: "a0", Attempts: 2},
		config.Route{Name: "post", Hostname: "h.example", PathPrefix: "/post/", RouteKind: config.NonRetryable, TimeoutMS: 3000, TargetMS: 400, Service: "a1", Attempts: 2})
	text, _ := json.Marshal(c)
	return text
}

func runOutlierDetection(ctx context.Context, e *Env) error {
	foragers := e.Scale(40, 60)
	e.Progress("judgement", 2)
	over := map[bool]int64{}
	for _, alone := range []bool{true, false} {
		n, err := e.measureOutlierDetection(foragers, alone)
		if err != nil {
			return err
		}
		over[alone] = n
		e.Step()
	}
	if over[false] > over[true]+over[true]/4+5 {
		return fmt.Errorf("%d look-ups took longer than %v with the judgement, %d with each alone", over[false], outlierLatencyBound, over[true])
	}
	return nil
}

// measureOutlierDetection plays one way and returns how many look-ups took longer than the bound.
func (e *Env) measureOutlierDetection(foragers int, alone bool) (int64, error) {
	way := "together"
	if alone {
		way = "each alone"
	}
	var watched []*simcluster.Server
	s, err := e.startCluster("judge-"+fmt.Sprint(alone), 3, foragers, alone, outlierConfig(), func(c *simcluster.Cluster) {
		for _, service := range simcluster.FirstSharding {
			for range 4 {
				srv := c.AddServer(service, outlierServiceTime)
				srv.Concurrency = 4
				if service == "a0" {
					watched = append(watched, srv)
				}
			}
		}
	})
	if err != nil {
		return 0, err
	}
	defer s.stop()
	time.Sleep(5 * time.Second)
	type phase struct {
		name          string
		asked, over   atomic.Int64
		lost          atomic.Int64
		met           atomic.Int64 // requests that came to the server while it was ill, after the first second
		back          time.Duration
		illAt, wellAt time.Time
	}
	var now atomic.Pointer[phase]
	var twice, ran atomic.Int64
	var away atomic.Int64
	away.Store(-1)
	quit := make(chan struct{})
	var all sync.WaitGroup
	var n atomic.Int64
	client := func(every time.Duration, path string, kind int) {
		for {
			select {
			case <-quit:
				return
			case <-time.After(every/2 + time.Duration(rand.Int64N(int64(every)))):
			}
			all.Go(func() {
				at := rand.IntN(foragers)
				for int64(at) == away.Load() {
					at = rand.IntN(foragers)
				}
				id := fmt.Sprint(path, n.Add(1))
				method := "GET"
				if kind == 2 {
					method = "POST"
				}
				p := now.Load()
				a := s.cluster.SendRequest(s.cluster.Gateways[at], method, "h.example", path+"x", id, 3*time.Second)
				switch {
				case int64(at) == away.Load() && a.Status != http.StatusOK:
				case kind == 2:
					if ran.Add(1); s.cluster.RequestLog.Executions("a1", id) > 1 {
						twice.Add(1)
					}
				case kind == 0 && p != nil:
					p.asked.Add(1)
					if a.Status != http.StatusOK {
						p.lost.Add(1)
					}
					if a.Status != http.StatusOK || a.Elapsed > outlierLatencyBound {
						p.over.Add(1)
					}
				}
			})
		}
	}
	all.Go(func() { client(10*time.Millisecond, "/counter/", 0) })
	all.Go(func() { client(40*time.Millisecond, "/all/", 1) })
	all.Go(func() { client(50*time.Millisecond, "/post/", 2) })
	time.Sleep(3 * time.Second)
	var sum int64
	ill := time.Duration(e.Scale(4, 8)) * time.Second
	for i, c := range []struct {
		name       string
		begin, end func(srv *simcluster.Server)
	}{{"slowed tenfold", func(srv *simcluster.Server) { srv.SetServiceTime(10 * outlierServiceTime) }, func(srv *simcluster.Server) { srv.SetServiceTime(outlierServiceTime) }},
		{"hung", func(srv *simcluster.Server) { srv.SetHung(true) }, func(srv *simcluster.Server) { srv.SetHung(false) }},
		{"killed", func(srv *simcluster.Server) { srv.Crash(false) }, func(srv *simcluster.Server) { srv.Start() }}} {
		srv, p := watched[i], &phase{name: c.name, illAt: time.Now()}
		var came atomic.Int64
		srv.SetOnRequest(func(t time.Time) {
			if came.Add(1); p.wellAt.IsZero() && t.Sub(p.illAt) > time.Second {
				p.met.Add(1)
			}
		})
		now.Store(p)
		c.begin(srv)
		if i == 1 { // a gatherer goes and comes, another freezes
			away.Store(3)
			s.killGateway(3)
			s.restartGateway(3)
			time.Sleep(2 * time.Second)
			away.Store(5)
			suspend(s.gateways[5], time.Second)
			time.Sleep(1500 * time.Millisecond)
			away.Store(-1)
		}
		time.Sleep(ill)
		now.Store(nil)
		p.wellAt = time.Now()
		c.end(srv)
		// Back: in one second it takes half of its part of the look-ups' servers.
		for time.Since(p.wellAt) < 12*time.Second {
			before := came.Load()
			time.Sleep(500 * time.Millisecond)
			if float64(came.Load()-before) > 0.5*0.5*125/4 {
				break
			}
		}
		p.back = time.Since(p.wellAt)
		srv.SetOnRequest(nil)
		sum += p.over.Load()
		e.Record.AddRow("a replica in trouble", []string{"replica", "judged", "look-ups", "over " + outlierLatencyBound.String(), "lost", "requests that met it after the first second", "back after, s"},
			p.name, way, fmt.Sprint(p.asked.Load()), fmt.Sprint(p.over.Load()), fmt.Sprint(p.lost.Load()), fmt.Sprint(p.met.Load()), fmt.Sprintf("%.1f", p.back.Seconds()))
		e.Record.AddPoint("look-ups over the bound", "1 slowed, 2 hung, 3 killed", "look-ups", way, float64(i+1), float64(p.over.Load()))
		time.Sleep(time.Second)
	}
	close(quit)
	all.Wait()
	e.Record.SetMetric(way+": posts", float64(ran.Load()))
	e.Record.SetMetric(way+": ids that ran twice", float64(twice.Load()))
	if twice.Load() > 0 {
		return sum, fmt.Errorf("%d posts ran twice", twice.Load())
	}
	return sum, nil
}
