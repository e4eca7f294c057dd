// Package cli is the command line: its sub-commands and their flags.
package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/pflag"

	"oxbowspan/gatherer"
)

const usage = `oxbowspan reads many shards for one request.

Usage:
  oxbowspan serve [flags]     run a gatherer in the foreground
  oxbowspan check [flags]     read the configuration, say what is wrong with it, and exit
  oxbowspan version           print the version
  oxbowspan help              print this text

'oxbowspan serve --help' lists the flags.
`

// Exit codes.
const (
	exitGood  = 0
	exitBad   = 1 // it could not start, or not finish what was open
	exitUsage = 2 // the command line is wrong
)

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "serve", "check":
		return run(args[0], args[1:], stdout, stderr)
	case "version", "--version":
		fmt.Fprintln(stdout, "oxbowspan", version())
		return exitGood
	case "help", "--help", "-h":
		fmt.Fprint(stdout, usage)
		return exitGood
	}
	fmt.Fprintf(stderr, "oxbowspan: unknown command %q; 'oxbowspan help' lists them\n", args[0])
	return exitUsage
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}

// run reads flags, environment and file, the former before the latter, and serves.
func run(command string, args []string, stdout, stderr io.Writer) int {
	flags := pflag.NewFlagSet("oxbowspan "+command, pflag.ContinueOnError)
	flags.SetOutput(stderr)
	config := flags.String("config", os.Getenv("PROXY_CONFIG"), "configuration file (PROXY_CONFIG)")
	name := flags.String("name", os.Getenv("PROXY_NAME"), "this gatherer's name (PROXY_NAME)")
	listen := flags.String("listen", os.Getenv("PROXY_LISTEN"), "address for clients (PROXY_LISTEN)")
	discovery := flags.String("discovery", os.Getenv("PROXY_DISCOVERY"), "address of discovery (PROXY_DISCOVERY)")
	flags.Usage = func() {
		fmt.Fprintf(stderr, "Usage:\n  oxbowspan %s [flags]\n\nFlags:\n%s", command, flags.FlagUsages())
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, pflag.ErrHelp):
		return exitGood
	case err != nil || flags.NArg() > 0:
		if err == nil {
			err = fmt.Errorf("unexpected argument %q", flags.Arg(0))
		}
		fmt.Fprintf(stderr, "oxbowspan: %v\n", err)
		return exitUsage
	}
	fail := func(err error) int {
		fmt.Fprintf(stderr, "oxbowspan: %v\n", err)
		return exitBad
	}
	if *config == "" {
		return fail(errors.New("no configuration: give --config or set PROXY_CONFIG"))
	}
	// A SIGHUP that comes before all is set up is heard once it is, and never ends the program.
	reloads := make(chan os.Signal, 1)
	if command == "serve" {
		signal.Notify(reloads, syscall.SIGHUP)
		defer signal.Stop(reloads)
	}
	file, err := gatherer.Load(*config)
	if err != nil {
		return fail(err)
	}
	setup := file
	setup.Name, setup.Listen = cmp.Or(*name, file.Name), cmp.Or(*listen, file.Listen)
	setup.Discovery = cmp.Or(*discovery, file.Discovery)
	g, err := gatherer.New(setup)
	if err != nil {
		return fail(err)
	}
	if command == "check" {
		fmt.Fprintln(stdout, "the configuration is good")
		return exitGood
	}
	setup.Limits.Apply()
	log.SetOutput(stderr)
	log.SetFlags(log.Ldate | log.Ltime | log.Lmicroseconds | log.LUTC)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s := <-signals
		log.Printf("event=signal signal=%s", s)
		cancel()
		s = <-signals
		log.Printf("event=signal signal=%s second=true", s)
		os.Exit(exitBad)
	}()
	log.Printf("event=start name=%s listen=%s discovery=%s version=%q", setup.Name, setup.Listen, setup.Discovery, version())
	go func() {
		for range reloads {
			again, err := gatherer.Load(*config)
			if err == nil {
				// What the file newly says of discovery goes before the environment, though not before the flag.
				next := again
				next.Name, next.Listen = cmp.Or(*name, again.Name), cmp.Or(*listen, again.Listen)
				if again.Discovery == "" || again.Discovery == file.Discovery || flags.Changed("discovery") {
					next.Discovery = setup.Discovery
				}
				err = g.Reload(next)
				if err == nil {
					file, setup.Discovery = again, next.Discovery
				}
			}
			if err != nil {
				log.Printf("event=reload_failed error=%q", err)
			}
		}
	}()
	if err := g.Run(ctx); err != nil {
		return fail(err)
	}
	log.Printf("event=exit")
	return exitGood
}
