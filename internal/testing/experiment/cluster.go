package experiment

import (
	"context"
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

// newClusterCommand is the command that surrounds three hives and two foragers on loopback with servers, an operator and clients.
func newClusterCommand(out, errs io.Writer) *cobra.Command {
	var bin string
	var last time.Duration
	cmd := &cobra.Command{Use: "colony DIR", Short: "Surround a local system with servers, an operator and clients, and check what comes back",
		Args: command.ExactArgs(1, "DIR"), Example: "  oxbowlab colony --bin target --for 20s /tmp/colony",
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, last)
			defer cancel()
			return runCluster(ctx, args[0], bin, out, errs)
		}}
	cmd.Flags().StringVar(&bin, "bin", "", "folder of the built hive and forager, which are then started too; else they are started by hand")
	cmd.Flags().DurationVar(&last, "for", time.Minute, "how long")
	return cmd
}

func runCluster(ctx context.Context, dir, bin string, out, errs io.Writer) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	c := simcluster.NewLocal(dir, 3, 2)
	hives, foragers, err := c.WriteSettings()
	if err != nil {
		return err
	}
	for i, path := range append(hives, foragers...) {
		name := "oxbowspan-control"
		if i >= len(hives) {
			name = "oxbowspan-gateway"
		}
		if bin == "" {
			fmt.Fprintf(out, "%s=%s target/%s serve\n", settings.PathVariable, path, name)
			continue
		}
		p := exec.Command(filepath.Join(bin, name), "--boot", path, "serve")
		p.Stderr = errs
		if err := p.Start(); err != nil {
			return fmt.Errorf("%s can't be started: %w", name, err)
		}
		defer p.Wait()
		defer p.Process.Signal(syscall.SIGTERM)
	}
	for _, service := range simcluster.ExampleServices {
		for range 3 {
			s := c.AddServer(service, 10*time.Millisecond)
			if err := s.Start(); err != nil {
				return err
			}
			defer s.Crash(false)
		}
	}
	version, cuts := uint64(0), [][]string{simcluster.FirstSharding, simcluster.SecondSharding}
	asked, served := 0, 0
	tell := time.Now()
	for ctx.Err() == nil {
		if version == 0 || asked%300 == 299 { // now and then the operator cuts the index anew
			if c.ReplaceConfiguration(c.Controllers[asked%len(c.Controllers)], version, simcluster.ExampleConfiguration(version+1, cuts[version%2])) == http.StatusOK {
				version++
				fmt.Fprintf(out, "version %d is acknowledged\n", version)
			}
		}
		if version > 0 {
			asked++
			ok, fault := c.SendExample(c.Gateways[asked%len(c.Gateways)], asked/2, fmt.Sprintf("%x-%d", os.Getpid(), asked))
			if fault != "" {
				return findingError{fmt.Errorf("%s", fault)}
			}
			if ok {
				served++
			}
		}
		if time.Since(tell) > 2*time.Second {
			tell = time.Now()
			fmt.Fprintf(out, "%d requests, %d served\n", asked, served)
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
	fmt.Fprintf(out, "%d requests, %d served, no rule broken\n", asked, served)
	if 2*served < asked {
		return findingError{fmt.Errorf("only %d of %d requests were served", served, asked)}
	}
	return nil
}
