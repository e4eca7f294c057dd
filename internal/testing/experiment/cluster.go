package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simcluster"
)

// Size and load of the cluster of the cluster command.
const (
	demoControllers       = 3
	demoGateways          = 2
	demoServiceTime       = 10 * time.Millisecond
	demoRequestInterval   = 20 * time.Millisecond
	demoReportInterval    = 2 * time.Second
	demoRequestsPerChange = 300 // of the configuration
)

// Names of the built programs of a cluster.
const (
	controllerProgram = "oxbowspan-control"
	gatewayProgram    = "oxbowspan-gateway"
)

// newClusterCommand returns the command that runs servers, an operator and clients around three controllers and two gateways on
// loopback.
func newClusterCommand(stdout, stderr io.Writer) *cobra.Command {
	var programDir string
	var duration time.Duration
	cmd := &cobra.Command{
		Use:     "cluster DIR",
		Short:   "Run servers, an operator and clients around a local cluster and check the responses",
		Args:    command.ExactArgs(1, "DIR"),
		Example: "  oxbowlab cluster --bin target --for 20s /tmp/cluster",
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, duration)
			defer cancel()
			return runCluster(ctx, args[0], programDir, stdout, stderr)
		},
	}
	cmd.Flags().StringVar(&programDir, "bin", "", "directory of the built programs, which are then started; by default their commands are printed, to start them by hand")
	cmd.Flags().DurationVar(&duration, "for", time.Minute, "duration of the run")
	return cmd
}

// runCluster writes the settings of a cluster to dir, starts its servers and, if programDir is not empty, its programs, and
// sends changes of the configuration and requests until the context ends.
func runCluster(ctx context.Context, dir, programDir string, stdout, stderr io.Writer) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	cluster := simcluster.NewLocal(dir, demoControllers, demoGateways)
	controllers, gateways, err := cluster.WriteSettings()
	if err != nil {
		return err
	}
	for i, path := range append(controllers, gateways...) {
		name := controllerProgram
		if i >= len(controllers) {
			name = gatewayProgram
		}
		if programDir == "" {
			fmt.Fprintf(stdout, "%s=%s target/%s serve\n", settings.PathVariable, path, name)
			continue
		}
		program := exec.Command(filepath.Join(programDir, name), "--boot", path, "serve")
		program.Stderr = stderr
		if err := program.Start(); err != nil {
			return fmt.Errorf("start %s: %w", name, err)
		}
		defer program.Wait()
		defer program.Process.Signal(syscall.SIGTERM)
	}
	addExampleServers(demoServiceTime)(cluster)
	for _, server := range cluster.Servers {
		if err := server.Start(); err != nil {
			return err
		}
		defer server.Crash(false)
	}
	return sendDemoLoad(ctx, cluster, stdout)
}

// sendDemoLoad sends example requests and changes of the configuration and checks the responses. A violated guarantee is a
// finding.
func sendDemoLoad(ctx context.Context, cluster *simcluster.Cluster, stdout io.Writer) error {
	shardings := [][]string{simcluster.ExampleSharding, simcluster.ExampleResharding}
	version := uint64(0)
	sent, served := 0, 0
	lastReport := time.Now()
	for ctx.Err() == nil {
		if version == 0 || sent%demoRequestsPerChange == demoRequestsPerChange-1 { // the operator changes the sharding
			body := simcluster.ExampleConfiguration(version+1, shardings[version%2])
			controller := cluster.Controllers[sent%len(cluster.Controllers)]
			if cluster.ReplaceConfiguration(controller, version, body) == http.StatusOK {
				version++
				fmt.Fprintf(stdout, "version %d is acknowledged\n", version)
			}
		}
		if version > 0 {
			sent++
			gateway := cluster.Gateways[sent%len(cluster.Gateways)]
			ok, violation := cluster.SendExample(gateway, sent/2, fmt.Sprintf("%x-%d", os.Getpid(), sent))
			if violation != "" {
				return findingError{errors.New(string(violation))}
			}
			if ok {
				served++
			}
		}
		if time.Since(lastReport) > demoReportInterval {
			lastReport = time.Now()
			fmt.Fprintf(stdout, "%d requests, %d served\n", sent, served)
		}
		sleep(ctx, demoRequestInterval)
	}
	fmt.Fprintf(stdout, "%d requests, %d served, no guarantee violated\n", sent, served)
	if 2*served < sent {
		return findingError{fmt.Errorf("only %d of %d requests were served", served, sent)}
	}
	return nil
}
