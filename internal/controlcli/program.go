// Package controlcli is the command line of the system's two programs, hive and forager.
package controlcli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"oxbowspan/config"
	"oxbowspan/controlplane"
	"oxbowspan/dataplane"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // it could not start or go on, or a check found a fault
	exitUsage  = 2 // the command line is not as it should be
)

// Version is the programs' own.
const Version = "0.1.0"

type program struct {
	name                string
	gateway, controller bool
	run                 func(ctx context.Context, set *settings.Settings, log zerolog.Logger) error
	memoryShare         float64 // of the limit that the collector works towards
	gcPercent           int     // growth of the heap between collections, in percent
}

// RunController runs the control plane's command line and returns its exit code.
func RunController(args []string, out, errs io.Writer) int {
	return program{"oxbowspan-control", false, true, func(ctx context.Context, set *settings.Settings, log zerolog.Logger) error {
		h, err := controlplane.New(set, network.TCP{}, log)
		if err != nil {
			return err
		}
		return h.Run(ctx)
	}, 0.6, 200}.main(args, out, errs)
}

// RunGateway runs the data plane's command line and returns its exit code.
func RunGateway(args []string, out, errs io.Writer) int {
	return program{"oxbowspan-gateway", true, false, func(ctx context.Context, set *settings.Settings, log zerolog.Logger) error {
		return dataplane.New(set, network.TCP{}, log).Run(ctx)
	}, 0.6, 400}.main(args, out, errs)
}

func (p program) main(args []string, out, errs io.Writer) int {
	set := flag.NewFlagSet(p.name, flag.ContinueOnError)
	set.SetOutput(errs)
	path := set.String("boot", "", "the settings `file`; else "+settings.PathVariable+" names it")
	level := set.String("log-level", "info", "the least `level` that is logged: debug, info, warn, error")
	options := []ff.Option{ff.WithEnvVarPrefix("OXBOWSPAN")}
	serve := &ffcli.Command{Name: "serve", ShortUsage: p.name + " serve", ShortHelp: "serve until SIGTERM", Options: options,
		FlagSet: flag.NewFlagSet("serve", flag.ContinueOnError),
		Exec:    func(context.Context, []string) error { return p.serve(settings.ResolvePath(*path), *level, errs) }}
	checkBoot := &ffcli.Command{Name: "boot", ShortUsage: p.name + " check boot", ShortHelp: "say all that is wrong with the settings file",
		Exec: func(context.Context, []string) error { return p.check(settings.ResolvePath(*path), out) }}
	checkConfig := &ffcli.Command{Name: "config", ShortUsage: p.name + " check config FILE", ShortHelp: "say all that is wrong with a configuration",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			return checkConfiguration(args[0], out)
		}}
	checkTenants := &ffcli.Command{Name: "tenants", ShortUsage: p.name + " check tenants FILE", ShortHelp: "say all that is wrong with a document of tenants",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			if _, _, err := readTenantsFile(args[0]); err != nil {
				return err
			}
			return reportProblems(nil, "the document of tenants is as it should be", out)
		}}
	check := &ffcli.Command{Name: "check", ShortUsage: p.name + " check boot|config FILE|tenants FILE", ShortHelp: "check the settings file, a configuration or a document of tenants",
		Subcommands: []*ffcli.Command{checkBoot, checkConfig, checkTenants}, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
	subcommands := []*ffcli.Command{}
	if p.controller {
		subcommands = append(subcommands, stateCommand(path, out), tenantCommand(path, out), outlierCommand(path, out), configCommand(path, out))
		subcommands = append(subcommands, viewCommands(path, out)...)
	}
	version := &ffcli.Command{Name: "version", ShortUsage: p.name + " version", ShortHelp: "say which version this is",
		Exec: func(context.Context, []string) error { fmt.Fprintln(out, p.name, Version); return nil }}
	var root *ffcli.Command
	subcommands = append(subcommands, completionCommand(p.name, func() *ffcli.Command { return root }, out))
	root = &ffcli.Command{Name: p.name, ShortUsage: p.name + " [--boot FILE] COMMAND", FlagSet: set, Options: options,
		Subcommands: append([]*ffcli.Command{serve, check, version}, subcommands...), Exec: func(context.Context, []string) error { return flag.ErrHelp }}
	err := root.ParseAndRun(context.Background(), args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	fmt.Fprintf(errs, "%s: %v\n", p.name, err)
	return exitFailed
}

// stateCommand reads a stopped machine's file.
func stateCommand(path *string, out io.Writer) *ffcli.Command {
	var dir *string
	subcommand := func(name, help string, words int, do func(c *acceptorstore.Contents, args []string) error) *ffcli.Command {
		return &ffcli.Command{Name: name, ShortUsage: "oxbowspan-control state [--dir DIR] " + name, ShortHelp: help, Exec: func(_ context.Context, args []string) error {
			if len(args) != words {
				return flag.ErrHelp
			}
			at := *dir
			if at == "" {
				s, err := settings.Read(settings.ResolvePath(*path))
				if err != nil {
					return err
				}
				at = s.DataDirectory
			}
			c, err := acceptorstore.Inspect(at)
			if err != nil {
				return err
			}
			return do(c, args)
		}}
	}
	set := flag.NewFlagSet("state", flag.ContinueOnError)
	dir = set.String("dir", "", "the data `directory`; else the settings file names it")
	return &ffcli.Command{Name: "state", ShortUsage: "oxbowspan-control state [--dir DIR] check|dump|config|export|restore", ShortHelp: "read the state file of a machine that does not run; the way back from a lost majority",
		FlagSet: set, Subcommands: []*ffcli.Command{
			subcommand("check", "say whether the file is whole", 0, func(c *acceptorstore.Contents, _ []string) error {
				fmt.Fprintf(out, "the state file is whole: %d bytes, turn %d, version %d\n", c.Bytes, c.Slot, c.Version)
				return nil
			}),
			subcommand("dump", "print what the file holds as JSON, without the configuration", 0, func(c *acceptorstore.Contents, _ []string) error {
				text, err := json.MarshalIndent(c, "", "  ")
				if err != nil {
					return err
				}
				fmt.Fprintln(out, string(text))
				return nil
			}),
			subcommand("config", "print the configuration that was voted for", 0, func(c *acceptorstore.Contents, _ []string) error {
				if len(c.Body) == 0 {
					return errors.New("the state file holds no configuration")
				}
				_, err := out.Write(c.Body)
				return err
			}),
			subcommand("export", "write what the file holds of what was agreed to FILE", 1, func(c *acceptorstore.Contents, args []string) error { return exportState(c, args[0], out) }),
			restoreCommand(path, out),
		}, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
}

func (p program) read(path string) (*settings.Settings, []string, error) {
	s, err := settings.Read(path)
	if err != nil {
		return nil, nil, err
	}
	return s, s.Check(p.gateway, p.controller), nil
}

func (p program) check(path string, out io.Writer) error {
	_, problems, err := p.read(path)
	if err != nil {
		return err
	}
	return reportProblems(problems, "the settings file is as it should be", out)
}

func checkConfiguration(path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("the configuration can't be read: %w", err)
	}
	c, err := config.Parse(text)
	if err != nil {
		return err
	}
	return reportProblems(c.Validate(), "the configuration is valid", out)
}

func reportProblems(problems []string, success string, out io.Writer) error {
	for _, f := range problems {
		fmt.Fprintln(out, f)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d faults", len(problems))
	}
	fmt.Fprintln(out, success)
	return nil
}

func (p program) serve(path, level string, errs io.Writer) error {
	s, problems, err := p.read(path)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return fmt.Errorf("the settings file: %s", problems[0])
	}
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("no log level is called %q", level)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldUnit = time.Millisecond
	log := zerolog.New(errs).Level(least).With().Timestamp().Logger()
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMB * p.memoryShare * (1 << 20)))
	}
	debug.SetGCPercent(p.gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The settings file is read at the start only. A signal that says it changed must not end the process.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	return p.run(ctx, s, log)
}
