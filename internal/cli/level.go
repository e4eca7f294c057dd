package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/degradation"
	"oxbowspan/gatherer"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/command"
	"oxbowspan/internal/sparkline"
)

// newLevelCommand looks at and pins the level of a running gatherer, and plays levels on recorded signals.
func newLevelCommand(stdout io.Writer) *cobra.Command {
	var socket string
	c := &cobra.Command{Use: "level", Short: "Look at and pin a running gatherer's level of service", Args: command.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	ask := func(q admin.Request, out func(admin.Response)) error {
		a, err := sendAdminRequest(socket, q)
		if err == nil {
			out(a)
		}
		return err
	}
	lines := func(a admin.Response) {
		for _, l := range a.Lines {
			fmt.Fprintln(stdout, l)
		}
	}
	show := &cobra.Command{Use: "show", Short: "Print level, signals, shares and servers", Args: command.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return ask(admin.Request{Verb: admin.Show}, func(a admin.Response) {
				fmt.Fprintln(stdout, formatState(*a.State))
				for _, t := range a.State.Types {
					for _, x := range t.Customers {
						fmt.Fprintf(stdout, "type %s share %.2f customer %s served %d shed %d\n", t.Name, t.Share, x.Name, x.Served, x.Shed)
					}
				}
				for _, x := range a.State.Servers {
					fmt.Fprintf(stdout, "server %s zone %s %s out %d latency_ms %.1f failing %.2f\n", x.Host, x.Zone, x.State, x.InFlight, x.LatencyMillis, x.FailureRatio)
				}
				for _, x := range a.State.Changes {
					fmt.Fprintf(stdout, "%s %s > %s: %s\n", x.At.Format(time.RFC3339), x.From, x.To, x.Reason)
				}
			})
		}}
	explain := &cobra.Command{Use: "explain", Short: "Print how each condition of each level stands", Args: command.NoArgs,
		RunE: func(*cobra.Command, []string) error { return ask(admin.Request{Verb: admin.Explain}, lines) }}
	var span time.Duration
	pin := &cobra.Command{Use: "pin LEVEL", Short: "Hold a level for some time, whatever the signals say", Args: command.ExactArgs(1, "LEVEL"),
		Example: "  oxbowspan level pin trimmed --for 10m --socket oxbowspan.sock",
		RunE: func(_ *cobra.Command, args []string) error {
			return ask(admin.Request{Verb: admin.Pin, Level: args[0], Seconds: span.Seconds()}, lines)
		}}
	pin.Flags().DurationVar(&span, "for", 10*time.Minute, "the pin ends after so long by itself, 24h at most")
	unpin := &cobra.Command{Use: "unpin", Short: "Let the signals decide again", Args: command.NoArgs,
		RunE: func(*cobra.Command, []string) error { return ask(admin.Request{Verb: admin.Unpin}, lines) }}
	for _, x := range []*cobra.Command{show, explain, pin, unpin} {
		addSocketFlag(x, &socket)
	}
	var operator string
	replay := &cobra.Command{Use: "replay FILE", Short: "Play recorded signals through an operator's file, and print what would have happened",
		Long: "replay reads what 'oxbowspan watch --record' wrote and plays it through the levels of an operator's file, without any\n" +
			"gatherer: each change with its condition, and a line of the levels over time.",
		Args: command.ExactArgs(1, "FILE"), RunE: func(_ *cobra.Command, args []string) error {
			if operator == "" {
				return command.Usagef("--operator is missing")
			}
			o, err := gatherer.LoadOperator(operator)
			if err != nil {
				return err
			}
			if o.Levels == nil {
				return fmt.Errorf("%s has no section [levels]", operator)
			}
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			return replayLevels(o.Levels.Config, f, stdout)
		}}
	replay.Flags().StringVar(&operator, "operator", "", "the operator's file")
	c.AddCommand(show, explain, pin, unpin, replay)
	return c
}

func addSocketFlag(c *cobra.Command, socket *string) {
	c.Flags().StringVar(socket, "socket", os.Getenv("OXBOWSPAN_SOCKET"), "the gatherer's admin socket, [levels] socket (OXBOWSPAN_SOCKET)")
}

func sendAdminRequest(socket string, q admin.Request) (admin.Response, error) {
	if socket == "" {
		return admin.Response{}, errors.New("no socket: give --socket or set OXBOWSPAN_SOCKET")
	}
	c, err := admin.Dial(socket)
	if err != nil {
		return admin.Response{}, err
	}
	defer c.Close()
	return c.Do(q)
}

// newWatchCommand shows a running gatherer on the terminal.
func newWatchCommand(stdout io.Writer) *cobra.Command {
	var socket, record string
	var plain bool
	c := &cobra.Command{Use: "watch", Short: "Show a running gatherer: level, what is shed, servers", Args: command.NoArgs,
		Example: "  oxbowspan watch --socket oxbowspan.sock\n  oxbowspan watch --plain --record signals.txt",
		RunE: func(*cobra.Command, []string) error {
			if socket == "" {
				return errors.New("no socket: give --socket or set OXBOWSPAN_SOCKET")
			}
			if !plain {
				return execDashboard("--socket", socket, "--record", record)
			}
			source, err := admin.Dial(socket)
			if err != nil {
				return err
			}
			defer source.Close()
			if err := source.Watch(); err != nil {
				return err
			}
			var from admin.Source = source
			if record != "" {
				f, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					return err
				}
				defer f.Close()
				from = admin.Recorder{Source: source, Out: f}
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			go func() {
				<-ctx.Done()
				source.Close()
			}()
			for {
				s, err := from.Next()
				if ctx.Err() != nil {
					return nil
				}
				if err != nil {
					return err
				}
				fmt.Fprintln(stdout, formatState(s))
			}
		}}
	addSocketFlag(c, &socket)
	c.Flags().BoolVar(&plain, "plain", false, "a line for each state, for a pipe")
	c.Flags().StringVar(&record, "record", "", "also append the signals to this file, for 'oxbowspan level replay'")
	return c
}

// execDashboard runs the terminal's program, which is one of its own beside this one: what it is built of would else lie in the memory
// of each gatherer.
func execDashboard(args ...string) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	program := filepath.Join(filepath.Dir(own), "oxbowwatch")
	if err := syscall.Exec(program, append([]string{program}, args...), os.Environ()); err != nil {
		return fmt.Errorf("the screen is a program of its own, %s: %w; --plain needs none", program, err)
	}
	return nil
}

func formatState(s admin.State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s level=%s for=%.1f searches=%d", s.At.Format(time.RFC3339), s.Level, s.LevelSeconds, s.OpenRequests)
	if s.PinSecondsLeft > 0 {
		fmt.Fprintf(&b, " pinned=%.0f", s.PinSecondsLeft)
	}
	for _, x := range s.Signals {
		if x.Known {
			fmt.Fprintf(&b, " %s=%.3f", x.Name, x.Value)
		}
	}
	return b.String()
}

// replayLevels plays a record through levels.
func replayLevels(f degradation.Config, in io.Reader, out io.Writer) error {
	var m *degradation.Machine
	var began, last degradation.Time
	var ranks []int
	changes := 0
	turn := func(now degradation.Time) {
		if c, changed := m.Evaluate(now); changed {
			changes++
			fmt.Fprintf(out, "%8.1f s  %s > %s: %s\n", float64(now-began)/1000, f.Levels[c.From].Name, f.Levels[c.To].Name, c.Reason)
		}
	}
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		var x admin.Record
		if err := json.Unmarshal(lines.Bytes(), &x); err != nil {
			return fmt.Errorf("line %d is not of a record: %w", n, err)
		}
		now := degradation.Time(x.At.UnixMilli())
		if m == nil {
			m, began, last = degradation.New(f, now), now, now
		}
		for ; last+100 < now && now-last < 60_000; last += 100 { // between two lines the last signals stand
			turn(last)
		}
		var r degradation.Readings
		for name, v := range x.Signals {
			s, known := degradation.ParseSignal(name)
			if !known {
				return fmt.Errorf("line %d: %s is no signal", n, strconv.Quote(name))
			}
			r[s] = degradation.Reading{Value: v, Known: true}
		}
		m.Observe(now, r)
		turn(now)
		last = now
		ranks = append(ranks, int(m.Rank()))
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if m == nil {
		return errors.New("the record is empty")
	}
	const width = 80
	var chart []float64
	for i := range min(width, len(ranks)) {
		worst := 0
		for _, r := range ranks[i*len(ranks)/min(width, len(ranks)) : (i+1)*len(ranks)/min(width, len(ranks))] {
			worst = max(worst, r)
		}
		chart = append(chart, float64(worst))
	}
	fmt.Fprintf(out, "%d changes in %.0f s, %d a minute are possible at the most\n%s\n", changes, float64(last-began)/1000, f.MaxChangesPerMinute(), sparkline.Line(chart))
	return nil
}
