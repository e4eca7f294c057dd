package lab

import (
	"encoding/json"
	"fmt"
	"time"

	"oxbowspan/internal/testing/standin"
)

// Site is one gatherer, as a process of its own, over shard servers in cells and a list service.
type Site struct {
	Gatherer *standin.Program
	Shards   []*standin.ShardServer
	List     *standin.DiscoveryService
	Config   string // its configuration file
	Operator string // the operator's file; "" = none
}

// SiteShape says what a site is made of.
type SiteShape struct {
	Name     string
	Cells    int // servers; each segment lies in two neighbouring ones
	Segments int
	Types    []SiteType
	Operator string            // the operator's file, as text; "" = none
	Files    map[string]string // what else lies beside it
	MemoryMB int
	Sockets  int // descriptors of the gatherer; 0 = 1,024
	Do       func(c *standin.ShardConn, p standin.ShardCall)
	Fault    func(what string)
	Line     func(line string) // of the gatherer's log
}

// SiteType is one query type of a site.
type SiteType struct {
	Name       string
	Effect     string // free or single_shot
	Target     time.Duration
	Timeout    time.Duration
	LeastShare float64
	WholeAt    float64
}

// StartSite starts a site and waits until its gatherer is ready.
func (e *Env) StartSite(s SiteShape) (*Site, error) {
	site := &Site{}
	for cell := range s.Cells {
		shard, err := standin.StartShardServer(fmt.Sprintf("s-%d", cell), s.Do, s.Fault)
		if err != nil {
			site.Stop()
			return nil, err
		}
		shard.Cell = cell
		site.Shards = append(site.Shards, shard)
	}
	var err error
	if site.List, err = standin.StartDiscoveryService(site.Shards...); err != nil {
		site.Stop()
		return nil, err
	}
	var classes []map[string]any
	var least, whole, short []float64
	for _, t := range s.Types {
		classes = append(classes, map[string]any{"name": t.Name, "effect": t.Effect, "slo": t.Target.Milliseconds(),
			"hardLimit": t.Timeout.Milliseconds(), "lateWorth": 0.3})
		least, whole, short = append(least, t.LeastShare), append(whole, t.WholeAt), append(short, 0.9)
	}
	settings := map[string]any{"classes": classes, "tenants": []any{map[string]any{"name": "acme", "quotaPerS": 100_000}},
		"membershipMode": "on_request", "instances": 1, "tick": 5,
		"domain": map[string]any{"positions": s.Cells, "slices": s.Segments, "reach": 2, "perCall": 4, "leastShare": least,
			"wholeAt": whole, "shortWorth": short},
		"limits": map[string]any{"attemptsCap": 4, "cancel": true, "secondCopies": true, "dialTimeout": 250, "idleClose": 30000,
			"maxStreams": 64, "retryAfter": true, "maxRetryAfter": 1000},
		"feedback":   map[string]any{"how": "answers", "names": []string{"queue", "inflight"}},
		"guarantees": map[string]any{"askWithin": 10000, "stopSendingWithin": 500}}
	config, err := json.Marshal(map[string]any{"name": s.Name, "listen": "127.0.0.1:0", "discovery": site.List.Addr(),
		"seed": fmt.Sprintf("%x", e.Seed), "limits": map[string]any{"cores": 4, "memory_mb": max(s.MemoryMB, 64), "sockets": max(s.Sockets, 1024)},
		"settings": settings})
	if err != nil {
		site.Stop()
		return nil, err
	}
	if site.Config, err = e.File(s.Name+"/config.json", string(config)); err != nil {
		site.Stop()
		return nil, err
	}
	args := []string{"serve", "--config", site.Config}
	if s.Operator != "" {
		if site.Operator, err = e.File(s.Name+"/operator.ini", s.Operator); err != nil {
			site.Stop()
			return nil, err
		}
		args = append(args, "--operator", site.Operator)
	}
	for name, text := range s.Files {
		if _, err := e.File(s.Name+"/"+name, text); err != nil {
			site.Stop()
			return nil, err
		}
	}
	if site.Gatherer, err = standin.StartProgram(e.Command(args...), s.Line); err != nil {
		site.Stop()
		return nil, err
	}
	return site, nil
}

// Stop drains the gatherer and ends the stand-ins. An error says that the gatherer did not end well.
func (s *Site) Stop() error {
	var err error
	if s.Gatherer != nil {
		err = s.Gatherer.Drain(10 * time.Second)
	}
	for _, shard := range s.Shards {
		shard.Stop()
	}
	if s.List != nil {
		s.List.Stop()
	}
	return err
}
