package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/gatherer"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/command"
)

// levelCommands holds the options shared by the commands on the degradation level of a running gatherer.
type levelCommands struct {
	stdout     io.Writer
	socketPath string
}

func newLevelCommand(stdout io.Writer) *cobra.Command {
	l := &levelCommands{stdout: stdout}
	show := &cobra.Command{
		Use:   "show",
		Short: "Print the level, signals, shares and servers",
		Args:  command.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return l.show() },
	}
	explain := &cobra.Command{
		Use:   "explain",
		Short: "Print the state of each condition of each level",
		Args:  command.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return l.printLines(admin.Request{Verb: admin.Explain}) },
	}
	var pinDuration time.Duration
	pin := &cobra.Command{
		Use:     "pin LEVEL",
		Short:   "Pin a level for some time, regardless of the signals",
		Args:    command.ExactArgs(1, "LEVEL"),
		Example: "  oxbowspan level pin trimmed --for 10m --socket oxbowspan.sock",
		RunE: func(_ *cobra.Command, args []string) error {
			return l.printLines(admin.Request{Verb: admin.Pin, Level: args[0], Seconds: pinDuration.Seconds()})
		},
	}
	pin.Flags().DurationVar(&pinDuration, "for", 10*time.Minute, "duration of the pin, at most 24h")
	unpin := &cobra.Command{
		Use:   "unpin",
		Short: "End the pin, so that the signals determine the level again",
		Args:  command.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return l.printLines(admin.Request{Verb: admin.Unpin}) },
	}
	c := command.NewGroup("level", "Show and pin the degradation level of a running gatherer")
	for _, sub := range []*cobra.Command{show, explain, pin, unpin} {
		addSocketFlag(sub, &l.socketPath)
		c.AddCommand(sub)
	}
	c.AddCommand(newReplayCommand(stdout))
	return c
}

func addSocketFlag(c *cobra.Command, path *string) {
	c.Flags().StringVar(path, "socket", os.Getenv("OXBOWSPAN_SOCKET"), "the gatherer's admin socket, [levels] socket (OXBOWSPAN_SOCKET)")
}

var errNoSocket = errors.New("no socket: give --socket or set OXBOWSPAN_SOCKET")

// do sends a request to the gatherer's admin socket and returns the response.
func (l *levelCommands) do(request admin.Request) (admin.Response, error) {
	if l.socketPath == "" {
		return admin.Response{}, errNoSocket
	}
	client, err := admin.Dial(l.socketPath)
	if err != nil {
		return admin.Response{}, err
	}
	defer client.Close()
	return client.Do(request)
}

func (l *levelCommands) printLines(request admin.Request) error {
	response, err := l.do(request)
	if err != nil {
		return err
	}
	for _, line := range response.Lines {
		fmt.Fprintln(l.stdout, line)
	}
	return nil
}

func (l *levelCommands) show() error {
	response, err := l.do(admin.Request{Verb: admin.Show})
	if err != nil {
		return err
	}
	state := response.State
	fmt.Fprintln(l.stdout, formatState(*state))
	for _, queryType := range state.Types {
		for _, c := range queryType.Customers {
			fmt.Fprintf(l.stdout, "type %s share %.2f customer %s served %d shed %d\n", queryType.Name, queryType.Share, c.Name, c.Served, c.Shed)
		}
	}
	for _, s := range state.Servers {
		fmt.Fprintf(l.stdout, "server %s zone %s %s out %d latency_ms %.1f failing %.2f\n",
			s.Host, s.Zone, s.State, s.InFlight, s.LatencyMillis, s.FailureRatio)
	}
	for _, c := range state.Changes {
		fmt.Fprintf(l.stdout, "%s %s > %s: %s\n", c.At.Format(time.RFC3339), c.From, c.To, c.Reason)
	}
	return nil
}

func newReplayCommand(stdout io.Writer) *cobra.Command {
	var operatorPath string
	c := &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay recorded signals through an operator's file, and print the changes of the level",
		Long: "replay reads what 'oxbowspan watch --record' wrote and replays it through the levels of an operator's file, without any\n" +
			"gatherer. It prints each change with its condition, and a chart of the levels over time.",
		Args: command.ExactArgs(1, "FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			if operatorPath == "" {
				return command.Usagef("--operator is missing")
			}
			operator, err := gatherer.LoadOperator(operatorPath)
			if err != nil {
				return err
			}
			if operator.Levels == nil {
				return fmt.Errorf("%s has no section [levels]", operatorPath)
			}
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer file.Close()
			return replayLevels(operator.Levels.Config, file, stdout)
		},
	}
	c.Flags().StringVar(&operatorPath, "operator", "", "the operator's file")
	return c
}
