package experiment

import (
	"encoding/json"
	"fmt"
	"time"

	"oxbowspan/internal/testing/standin"
)

const (
	// drainTimeout is the maximum duration of a gatherer's graceful shutdown.
	drainTimeout = 10 * time.Second
	// minimumMemoryMB and minimumDescriptors are lower bounds for the limits in a gatherer's configuration.
	minimumMemoryMB    = 64
	minimumDescriptors = 1024
)

// Deployment is one gatherer, running as a process, with shard servers and a discovery service in this process.
type Deployment struct {
	Gatherer           *standin.Program
	ShardServers       []*standin.ShardServer
	Discovery          *standin.DiscoveryService
	ConfigPath         string // of the gatherer's configuration
	OperatorConfigPath string // of the operator's configuration; "" = none
}

// DeploymentOptions describe a Deployment.
type DeploymentOptions struct {
	Name            string
	Servers         int // shard servers; each segment is on two adjacent ones
	Segments        int
	Types           []QueryType       // of the gatherer's configuration
	OperatorConfig  string            // text of the operator's configuration; "" = none
	Files           map[string]string // further files in the directory of the configuration, by name
	MemoryMB        int               // memory limit of the gatherer, at least 64
	MaxDescriptors  int               // of the gatherer, at least 1,024
	Handle          func(c *standin.ShardConn, call standin.ShardCall)
	OnProtocolError func(problem string)
	OnLogLine       func(line string) // called for each line of the gatherer's log
}

// Effects of a query type.
const (
	effectFree       = "free"        // may be executed several times
	effectSingleShot = "single_shot" // must not be executed twice
)

// QueryType is a query type of a deployment.
type QueryType struct {
	Name          string
	Effect        string
	LatencyTarget time.Duration
	Timeout       time.Duration
	MinimumShare  float64 // share of the segments below which a response has no value
	CompleteAt    float64 // share of the segments from which on a response has its full value
}

// lookupType is the query type of experiments with plain look-ups.
var lookupType = QueryType{
	Name:          "lookup",
	Effect:        effectFree,
	LatencyTarget: time.Second,
	Timeout:       2 * time.Second,
	MinimumShare:  1,
	CompleteAt:    1,
}

// StartDeployment starts a deployment and waits until its gatherer is ready.
func (e *Env) StartDeployment(options DeploymentOptions) (*Deployment, error) {
	d := &Deployment{}
	if err := d.start(e, options); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(e *Env, options DeploymentOptions) error {
	for cell := range options.Servers {
		server, err := standin.StartShardServer(fmt.Sprintf("s-%d", cell), options.Handle, options.OnProtocolError)
		if err != nil {
			return err
		}
		server.Cell = cell
		d.ShardServers = append(d.ShardServers, server)
	}
	var err error
	if d.Discovery, err = standin.StartDiscoveryService(d.ShardServers...); err != nil {
		return err
	}
	args, err := d.writeFiles(e, options)
	if err != nil {
		return err
	}
	d.Gatherer, err = standin.StartProgram(e.Command(args...), options.OnLogLine)
	return err
}

// writeFiles writes the gatherer's files and returns its arguments.
func (d *Deployment) writeFiles(e *Env, options DeploymentOptions) (args []string, err error) {
	text, err := json.Marshal(newGathererConfig(e.Seed, d.Discovery.Addr(), options))
	if err != nil {
		return nil, err
	}
	if d.ConfigPath, err = e.WriteFile(options.Name+"/config.json", string(text)); err != nil {
		return nil, err
	}
	args = []string{"serve", "--config", d.ConfigPath}
	if options.OperatorConfig != "" {
		if d.OperatorConfigPath, err = e.WriteFile(options.Name+"/operator.ini", options.OperatorConfig); err != nil {
			return nil, err
		}
		args = append(args, "--operator", d.OperatorConfigPath)
	}
	for name, text := range options.Files {
		if _, err := e.WriteFile(options.Name+"/"+name, text); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// Stop shuts down the gatherer gracefully and stops the stand-ins. The error is that of the gatherer's shutdown.
func (d *Deployment) Stop() error {
	var err error
	if d.Gatherer != nil {
		err = d.Gatherer.Drain(drainTimeout)
	}
	for _, server := range d.ShardServers {
		server.Stop()
	}
	if d.Discovery != nil {
		d.Discovery.Stop()
	}
	return err
}
