// Package controlcli implements the command lines of the controller and gateway programs: serving, checks of files, and the operators'
// commands.
package controlcli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"oxbowspan/controlplane"
	"oxbowspan/dataplane"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // a command failed, or a check found problems
	exitUsage  = 2 // the command line is not valid
)

// Version is the version of both programs.
const Version = "0.1.0"

const (
	controllerName    = "oxbowspan-control"
	gatewayName       = "oxbowspan-gateway"
	environmentPrefix = "OXBOWSPAN" // of the variables that set flags
)

// program describes one of the programs.
type program struct {
	name        string
	gateway     bool // checks the settings of a gateway
	controller  bool // checks the settings of a controller, and has the operators' commands
	run         func(ctx context.Context, set *settings.Settings, watch func(seedReceiver), log zerolog.Logger) error
	memoryShare float64   // fraction of the settings' memory limit that is the soft memory limit of the Go runtime
	gcPercent   int       // growth of the heap that starts the next garbage collection, in percent
	out, errs   io.Writer // standard output, and standard error with the log
}

// RunController runs the controller's command line and returns its exit code.
func RunController(args []string, out, errs io.Writer) int {
	return program{
		name:        controllerName,
		controller:  true,
		memoryShare: 0.6,
		gcPercent:   200,
		out:         out,
		errs:        errs,
		run: func(ctx context.Context, set *settings.Settings, watch func(seedReceiver), log zerolog.Logger) error {
			controller, err := controlplane.New(ctx, set, network.TCP{}, log)
			if ctx.Err() != nil && errors.Is(err, acceptorstore.ErrLocked) {
				return nil // stopped by a signal while it waited
			}
			if err != nil {
				return err
			}
			watch(controller)
			return controller.Run(ctx)
		},
	}.main(args)
}

// RunGateway runs the gateway's command line and returns its exit code.
func RunGateway(args []string, out, errs io.Writer) int {
	return program{
		name:        gatewayName,
		gateway:     true,
		memoryShare: 0.6,
		gcPercent:   400,
		out:         out,
		errs:        errs,
		run: func(ctx context.Context, set *settings.Settings, watch func(seedReceiver), log zerolog.Logger) error {
			gateway := dataplane.New(set, network.TCP{}, log)
			watch(gateway)
			return gateway.Run(ctx)
		},
	}.main(args)
}

// main runs the command that the arguments name and returns the exit code.
func (p program) main(args []string) int {
	err := p.command().ParseAndRun(context.Background(), args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	fmt.Fprintf(p.errs, "%s: %v\n", p.name, err)
	return exitFailed
}

// command returns the program's root command with all subcommands.
func (p program) command() *ffcli.Command {
	flags := flag.NewFlagSet(p.name, flag.ContinueOnError)
	flags.SetOutput(p.errs)
	path := flags.String("boot", "", "the settings `file`; default from "+settings.PathVariable)
	level := flags.String("log-level", "info", "the lowest `level` that is logged: debug, info, warn, error")
	options := []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)}
	serve := &ffcli.Command{
		Name:       "serve",
		ShortUsage: p.name + " serve",
		ShortHelp:  "serve until SIGTERM",
		Options:    options,
		FlagSet:    flag.NewFlagSet("serve", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			return p.serve(settings.ResolvePath(*path), *level)
		},
	}
	version := &ffcli.Command{
		Name:       "version",
		ShortUsage: p.name + " version",
		ShortHelp:  "print the version",
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(p.out, p.name, Version)
			return nil
		},
	}
	root := &ffcli.Command{
		Name:        p.name,
		ShortUsage:  p.name + " [--boot FILE] COMMAND",
		FlagSet:     flags,
		Options:     options,
		Subcommands: []*ffcli.Command{serve, p.checkCommand(path), version},
		Exec:        showUsage,
	}
	if p.controller {
		root.Subcommands = append(root.Subcommands, operatorCommands(path, p.out)...)
	}
	root.Subcommands = append(root.Subcommands, completionCommand(root, p.out))
	return root
}

// operatorCommands returns the commands that read a controller's state file or call controllers.
func operatorCommands(path *string, out io.Writer) []*ffcli.Command {
	commands := []*ffcli.Command{stateCommand(path, out), tenantCommand(path, out), outlierCommand(path, out), configCommand(path, out), rolloutCommand(path, out)}
	return append(commands, statusCommands(path, out)...)
}

// showUsage is the Exec function of commands that only have subcommands. It returns [flag.ErrHelp], for which package ffcli prints the usage.
func showUsage(context.Context, []string) error { return flag.ErrHelp }

// readSettings reads the settings file and checks its values for this program. It returns a sentence for each invalid one.
func (p program) readSettings(path string) (set *settings.Settings, problems []string, err error) {
	set, err = settings.Read(path)
	if err != nil {
		return nil, nil, err
	}
	return set, set.Check(p.gateway, p.controller), nil
}

// serve runs the program until SIGTERM or SIGINT.
func (p program) serve(path, level string) error {
	// SIGHUP, the signal to read the settings again, must not end the process while the file is being read for the first time.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	set, problems, err := p.readSettings(path)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return fmt.Errorf("settings file: %s", problems[0])
	}
	lowest, err := zerolog.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("unknown log level %q", level)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldUnit = time.Millisecond
	log := zerolog.New(p.errs).Level(lowest).With().Timestamp().Logger()
	if set.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(set.Limits.MemoryMB * p.memoryShare * (1 << 20)))
	}
	debug.SetGCPercent(p.gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	watch := func(receiver seedReceiver) {
		w := &settingsWatcher{path: path, read: p.readSettings, current: set, receiver: receiver, log: log}
		go w.run(ctx)
	}
	return p.run(ctx, set, watch, log)
}
