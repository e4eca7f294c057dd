package experiment

import (
	"encoding/json"
	"fmt"
	"time"

	"oxbowspan/internal/testing/standin"
)

// Deployment is one gatherer, as a process of its own, over shard servers in cells and a list service.
type Deployment struct {
	Gatherer           *standin.Program
	ShardServers       []*standin.ShardServer
	Discovery          *standin.DiscoveryService
	ConfigPath         string // its configuration file
	OperatorConfigPath string // the operator's file; "" = none
}

// DeploymentOptions says what a site is made of.
type DeploymentOptions struct {
	Name            string
	Servers         int // servers; each segment lies in two neighbouring ones
	Segments        int
	Types           []QueryType
	OperatorConfig  string            // the operator's file, as text; "" = none
	Files           map[string]string // what else lies beside it
	MemoryMB        int
	MaxDescriptors  int // descriptors of the gatherer; 0 = 1,024
	Handle          func(c *standin.ShardConn, p standin.ShardCall)
	OnProtocolError func(what string)
	OnLogLine       func(line string) // of the gatherer's log
}

// QueryType is one query type of a site.
type QueryType struct {
	Name          string
	Effect        string // free or single_shot
	LatencyTarget time.Duration
	Timeout       time.Duration
	MinimumShare  float64
	CompleteAt    float64
}

// StartDeployment starts a site and waits until its gatherer is ready.
func (e *Env) StartDeployment(s DeploymentOptions) (*Deployment, error) {
	site := &Deployment{}
	for cell := range s.Servers {
		shard, err := standin.StartShardServer(fmt.Sprintf("s-%d", cell), s.Handle, s.OnProtocolError)
		if err != nil {
			site.Stop()
			return nil, err
		}
		shard.Cell = cell
		site.ShardServers = append(site.ShardServers, shard)
	}
	var err error
	if site.Discovery, err = standin.StartDiscoveryService(site.ShardServers...); err != nil {
		site.Stop()
		return nil, err
	}
	var classes []map[string]any
	var least, whole, short []float64
	for _, t := range s.Types {
		classes = append(classes, map[string]any{"name": t.Name, "effect": t.Effect, "slo": t.LatencyTarget.Milliseconds(),
			"hardLimit": t.Timeout.Milliseconds(), "lateWorth": 0.3})
		least, whole, short = append(least, t.MinimumShare), append(whole, t.CompleteAt), append(short, 0.9)
	}
	settings := map[string]any{"classes": classes, "tenants": []any{map[string]any{"name": "acme", "quotaPerS": 100_000}},
		"membershipMode": "on_request", "instances": 1, "tick": 5,
		"domain": map[string]any{"positions": s.Servers, "slices": s.Segments, "reach": 2, "perCall": 4, "leastShare": least,
			"wholeAt": whole, "shortWorth": short},
		"limits": map[string]any{"attemptsCap": 4, "cancel": true, "secondCopies": true, "dialTimeout": 250, "idleClose": 30000,
			"maxStreams": 64, "retryAfter": true, "maxRetryAfter": 1000},
		"feedback":   map[string]any{"how": "answers", "names": []string{"queue", "inflight"}},
		"guarantees": map[string]any{"askWithin": 10000, "stopSendingWithin": 500}}
	config, err := json.Marshal(map[string]any{"name": s.Name, "listen": "127.0.0.1:0", "discovery": site.Discovery.Addr(),
		"seed": fmt.Sprintf("%x", e.Seed), "limits": map[string]any{"cores": 4, "memory_mb": max(s.MemoryMB, 64), "sockets": max(s.MaxDescriptors, 1024)},
		"settings": settings})
	if err != nil {
		site.Stop()
		return nil, err
	}
	if site.ConfigPath, err = e.WriteFile(s.Name+"/config.json", string(config)); err != nil {
		site.Stop()
		return nil, err
	}
	args := []string{"serve", "--config", site.ConfigPath}
	if s.OperatorConfig != "" {
		if site.OperatorConfigPath, err = e.WriteFile(s.Name+"/operator.ini", s.OperatorConfig); err != nil {
			site.Stop()
			return nil, err
		}
		args = append(args, "--operator", site.OperatorConfigPath)
	}
	for name, text := range s.Files {
		if _, err := e.WriteFile(s.Name+"/"+name, text); err != nil {
			site.Stop()
			return nil, err
		}
	}
	if site.Gatherer, err = standin.StartProgram(e.Command(args...), s.OnLogLine); err != nil {
		site.Stop()
		return nil, err
	}
	return site, nil
}

// Stop drains the gatherer and ends the stand-ins. An error says that the gatherer did not end well.
func (s *Deployment) Stop() error {
	var err error
	if s.Gatherer != nil {
		err = s.Gatherer.Drain(10 * time.Second)
	}
	for _, shard := range s.ShardServers {
		shard.Stop()
	}
	if s.Discovery != nil {
		s.Discovery.Stop()
	}
	return err
}
