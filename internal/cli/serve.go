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

// serveOptions is what flags and environment say of where the configuration is and what goes before it.
type serveOptions struct {
	flags                                             *pflag.FlagSet
	configPath, name, listen, discovery, operatorPath string
	foundFleet                                        bool // the fleet is founded
}

func (g *serveOptions) register(flags *pflag.FlagSet) {
	g.flags = flags
	flags.StringVar(&g.configPath, "config", os.Getenv("PROXY_CONFIG"), "configuration file (PROXY_CONFIG)")
	flags.StringVar(&g.name, "name", os.Getenv("PROXY_NAME"), "this gatherer's name (PROXY_NAME)")
	flags.StringVar(&g.listen, "listen", os.Getenv("PROXY_LISTEN"), "address for clients (PROXY_LISTEN)")
	flags.StringVar(&g.operatorPath, "operator", os.Getenv("OXBOWSPAN_OPERATOR"), "the operator's own file, in INI (OXBOWSPAN_OPERATOR)")
	flags.StringVar(&g.discovery, "discovery", os.Getenv("PROXY_DISCOVERY"), "address of discovery (PROXY_DISCOVERY)")
}

// load reads the file, as it stands and with what goes before it.
func (g *serveOptions) load() (file, setup gatherer.Config, err error) {
	if g.configPath == "" {
		return file, setup, errors.New("no configuration: give --config or set PROXY_CONFIG")
	}
	if file, err = gatherer.LoadConfig(g.configPath); err != nil {
		return file, setup, err
	}
	setup = file
	setup.Name, setup.Listen = cmp.Or(g.name, file.Name), cmp.Or(g.listen, file.Listen)
	setup.Discovery = cmp.Or(g.discovery, file.Discovery)
	if g.operatorPath != "" {
		if setup.Operator, err = gatherer.LoadOperator(g.operatorPath); err != nil {
			return file, setup, err
		}
	}
	return file, setup, nil
}

// reload reads the file anew. What it newly says of discovery goes before the environment, though not before the flag.
func (g *serveOptions) reload(was, inForce gatherer.Config) (file, setup gatherer.Config, err error) {
	if file, setup, err = g.load(); err != nil {
		return file, setup, err
	}
	setup.Discovery = file.Discovery
	if file.Discovery == "" || file.Discovery == was.Discovery || g.flags.Changed("discovery") {
		setup.Discovery = inForce.Discovery
	}
	return file, setup, nil
}

func newCheckCommand(stdout io.Writer) *cobra.Command {
	var g serveOptions
	c := &cobra.Command{
		Use: "check", Short: "Read the configuration, say all that is wrong with it, and exit", Args: command.NoArgs,
		Example: "  oxbowspan check --config config.json\n" +
			"  oxbowspan check --config config.json --operator deploy/operator.ini",
		RunE: func(*cobra.Command, []string) error {
			_, setup, err := g.load()
			if err != nil {
				return err
			}
			if _, err := gatherer.New(setup); err != nil {
				return err
			}
			fmt.Fprintln(stdout, "the configuration is good")
			return nil
		},
	}
	g.register(c.Flags())
	return c
}

func newServeCommand(stderr io.Writer) *cobra.Command {
	var g serveOptions
	c := &cobra.Command{
		Use: "serve", Short: "Run a gatherer in the foreground", Args: command.NoArgs,
		Long: "serve runs a gatherer in the foreground. SIGTERM drains and exits, a second one ends at once;\n" +
			"SIGHUP reads the configuration again.",
		Example: "  oxbowspan serve --config config.json\n" +
			"  PROXY_CONFIG=config.json PROXY_LISTEN=127.0.0.1:8443 oxbowspan serve",
		RunE: func(*cobra.Command, []string) error { return serve(&g, stderr) },
	}
	g.register(c.Flags())
	c.Flags().BoolVar(&g.foundFleet, "found-fleet", false, "begin the fleet's log here; on each steward, once")
	return c
}

func serve(g *serveOptions, stderr io.Writer) error {
	// A SIGHUP that comes before all is set up is heard once it is, and never ends the program.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	logTo(stderr)
	file, setup, err := g.load()
	if err != nil {
		return err
	}
	node, err := gatherer.New(setup)
	if err != nil {
		return err
	}
	setup.Limits.Apply()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ends, leave, err := joinFleet(setup, node, g.foundFleet, cancel)
	if err != nil {
		return err
	}
	defer leave()
	go func() {
		s := <-signals
		slog.Info("signal", "signal", s.String())
		ends()
		s = <-signals
		slog.Info("signal", "signal", s.String(), "second", true)
		os.Exit(exitFailure)
	}()
	slog.Info("start", "name", setup.Name, "listen", setup.Listen, "discovery", setup.Discovery, "version", version())
	go func() {
		for range reloads {
			again, next, err := g.reload(file, setup)
			if err == nil {
				err = node.Reload(next)
			}
			if err != nil {
				slog.Error("reload_failed", "error", err)
				continue
			}
			file, setup.Discovery = again, next.Discovery
		}
	}()
	if err := node.Run(ctx); err != nil {
		return err
	}
	slog.Info("exit")
	return nil
}
