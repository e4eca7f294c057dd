package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"oxbowspan/gatherer"
	"oxbowspan/internal/command"
)

// configSource holds the paths of the configuration files and the values that override them, from flags and the environment.
type configSource struct {
	flags *pflag.FlagSet

	configPath, operatorPath string
	name, listen, discovery  string // override those of the configuration file
}

func (s *configSource) register(flags *pflag.FlagSet) {
	s.flags = flags
	flags.StringVar(&s.configPath, "config", os.Getenv("PROXY_CONFIG"), "configuration file (PROXY_CONFIG)")
	flags.StringVar(&s.name, "name", os.Getenv("PROXY_NAME"), "this gatherer's name (PROXY_NAME)")
	flags.StringVar(&s.listen, "listen", os.Getenv("PROXY_LISTEN"), "address for clients (PROXY_LISTEN)")
	flags.StringVar(&s.operatorPath, "operator", os.Getenv("OXBOWSPAN_OPERATOR"), "the operator's own file, in INI (OXBOWSPAN_OPERATOR)")
	flags.StringVar(&s.discovery, "discovery", os.Getenv("PROXY_DISCOVERY"), "address of discovery (PROXY_DISCOVERY)")
}

// load reads the configuration. file is the content of the configuration file, effective adds the overrides and the operator's file.
func (s *configSource) load() (file, effective gatherer.Config, err error) {
	if s.configPath == "" {
		return file, effective, errors.New("no configuration: give --config or set PROXY_CONFIG")
	}
	if file, err = gatherer.LoadConfig(s.configPath); err != nil {
		return file, effective, err
	}
	effective = file
	effective.Name = cmp.Or(s.name, file.Name)
	effective.Listen = cmp.Or(s.listen, file.Listen)
	effective.Discovery = cmp.Or(s.discovery, file.Discovery)
	if s.operatorPath != "" {
		if effective.Operator, err = gatherer.LoadOperator(s.operatorPath); err != nil {
			return file, effective, err
		}
	}
	return file, effective, nil
}

// reload reads the configuration again. previousFile is the file's content at the last load, active the configuration in use. A changed
// discovery address in the file overrides the environment, but not the flag; otherwise the active address is kept.
func (s *configSource) reload(previousFile, active gatherer.Config) (file, effective gatherer.Config, err error) {
	if file, effective, err = s.load(); err != nil {
		return file, effective, err
	}
	effective.Discovery = file.Discovery
	if file.Discovery == "" || file.Discovery == previousFile.Discovery || s.flags.Changed("discovery") {
		effective.Discovery = active.Discovery
	}
	return file, effective, nil
}

func newCheckCommand(stdout io.Writer) *cobra.Command {
	var source configSource
	c := &cobra.Command{
		Use:   "check",
		Short: "Read the configuration, report all problems, and exit",
		Args:  command.NoArgs,
		Example: "  oxbowspan check --config config.json\n" +
			"  oxbowspan check --config config.json --operator deploy/operator.ini",
		RunE: func(*cobra.Command, []string) error {
			_, config, err := source.load()
			if err != nil {
				return err
			}
			if _, err := gatherer.New(config); err != nil {
				return err
			}
			fmt.Fprintln(stdout, "the configuration is good")
			return nil
		},
	}
	source.register(c.Flags())
	return c
}

func newServeCommand(stderr io.Writer) *cobra.Command {
	var source configSource
	var bootstrap bool
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a gatherer in the foreground",
		Args:  command.NoArgs,
		Long: "serve runs a gatherer in the foreground. SIGTERM drains and exits, a second one exits at once;\n" +
			"SIGHUP reads the configuration again.",
		Example: "  oxbowspan serve --config config.json\n" +
			"  PROXY_CONFIG=config.json PROXY_LISTEN=127.0.0.1:8443 oxbowspan serve",
		RunE: func(*cobra.Command, []string) error { return serve(&source, bootstrap, stderr) },
	}
	source.register(c.Flags())
	c.Flags().BoolVar(&bootstrap, "found-fleet", false, "create the fleet's replicated log; use once on each steward")
	return c
}

func serve(source *configSource, bootstrap bool, stderr io.Writer) error {
	// Registered first, so that a SIGHUP during the start does not end the program but is handled after the start.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	logTo(stderr)
	file, config, err := source.load()
	if err != nil {
		return err
	}
	g, err := gatherer.New(config)
	if err != nil {
		return err
	}
	config.Limits.Apply()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	shutdowns := make(chan os.Signal, 2)
	signal.Notify(shutdowns, syscall.SIGTERM, syscall.SIGINT)
	fleet, err := joinFleet(config, g, bootstrap, cancel)
	if err != nil {
		return err
	}
	defer fleet.leave()
	go handleShutdowns(shutdowns, fleet)
	slog.Info("start", "name", config.Name, "listen", config.Listen, "discovery", config.Discovery, "version", version())
	go handleReloads(reloads, source, g, file, config)
	if err := g.Run(ctx); err != nil {
		return err
	}
	slog.Info("exit")
	return nil
}

// handleShutdowns starts a graceful shutdown at the first signal and exits with exitFailure at the second.
func handleShutdowns(signals <-chan os.Signal, fleet *membership) {
	s := <-signals
	slog.Info("signal", "signal", s.String())
	fleet.shutDown()
	s = <-signals
	slog.Info("signal", "signal", s.String(), "second", true)
	os.Exit(exitFailure)
}

// handleReloads reloads the configuration at each signal. An invalid configuration is logged and changes nothing.
func handleReloads(signals <-chan os.Signal, source *configSource, g *gatherer.Gatherer, file, active gatherer.Config) {
	for range signals {
		newFile, config, err := source.reload(file, active)
		if err == nil {
			err = g.Reload(config)
		}
		if err != nil {
			slog.Error("reload_failed", "error", err)
			continue
		}
		file, active.Discovery = newFile, config.Discovery
	}
}
