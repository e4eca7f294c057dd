package experiment

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// Commands of a connection holder. Each is a line on its standard input: the command and its arguments, integers. The holder
// answers each but quit with a line of results; see holderResult.
const (
	// holdCommand N opens N connections and sends a look-up on each: held, failed.
	holdCommand = "hold"
	// wakeCommand N MS sends a look-up on each of N connections, spread over MS milliseconds: status counts and latencies.
	wakeCommand = "wake"
	// silentCommand N MS opens N more connections that never send anything and holds them for MS milliseconds: opened, closed.
	silentCommand = "silent"
	// trickleCommand N RATE MS sends a look-up on each of N connections at RATE bytes per second, within MS milliseconds:
	// status counts.
	trickleCommand = "trickle"
	// churnCommand MS RATE opens RATE connections per second for MS milliseconds, sends a look-up on each and closes it: status
	// counts.
	churnCommand = "churn"
	// quitCommand closes all connections and ends the holder, like the end of its input.
	quitCommand = "quit"
)

// holderArguments is the maximum number of arguments of a command.
const holderArguments = 3

// errHolderExited is returned for a command to a holder whose process has exited.
var errHolderExited = errors.New("the connection holder has exited")

// connectionHolder is a process that holds many connections to a gatherer. An experiment needs several of them, as a single
// process has too few descriptors.
type connectionHolder struct {
	cmd    *exec.Cmd
	input  io.WriteCloser
	output *bufio.Scanner
}

// startConnectionHolder starts a holder that connects from the loopback address source. Holders of one gatherer must have
// different numbers.
func (e *Env) startConnectionHolder(addr, source string, number int) (*connectionHolder, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	h := &connectionHolder{cmd: exec.Command(own, holderProgram, addr, source, strconv.Itoa(number))}
	h.cmd.Stderr = e.Out
	if h.input, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.output = bufio.NewScanner(output)
	return h, h.cmd.Start()
}

// do sends a command and waits for its result.
func (h *connectionHolder) do(command string, args ...int) (holderResult, error) {
	line := command
	for _, arg := range args {
		line += " " + strconv.Itoa(arg)
	}
	if _, err := fmt.Fprintln(h.input, line); err != nil {
		return holderResult{}, err
	}
	if !h.output.Scan() {
		return holderResult{}, errHolderExited
	}
	return parseHolderResult(h.output.Text())
}

// stop ends the holder's process.
func (h *connectionHolder) stop() {
	h.input.Close() // the holder exits at the end of its input
	h.cmd.Wait()
}

// holderResult is the result of a holder's command, or the sum of several holders' results.
type holderResult struct {
	held, failed   int // connections
	opened, closed int // connections that never sent anything

	statuses      map[int]int // responses by status; 0 = none
	p50, p99, max float64     // latency in milliseconds; in a sum the greatest
}

// sent returns the number of requests sent.
func (r holderResult) sent() int {
	sum := 0
	for _, count := range r.statuses {
		sum += count
	}
	return sum
}

// add adds another result.
func (r *holderResult) add(other holderResult) {
	r.held += other.held
	r.failed += other.failed
	r.opened += other.opened
	r.closed += other.closed
	if r.statuses == nil {
		r.statuses = map[int]int{}
	}
	for status, count := range other.statuses {
		r.statuses[status] += count
	}
	r.p50 = max(r.p50, other.p50)
	r.p99 = max(r.p99, other.p99)
	r.max = max(r.max, other.max)
}

// counters returns the named values of a result other than the statuses.
func (r *holderResult) counters() map[string]*int {
	return map[string]*int{"held": &r.held, "failed": &r.failed, "opened": &r.opened, "closed": &r.closed}
}

func (r *holderResult) latencies() map[string]*float64 {
	return map[string]*float64{"p50": &r.p50, "p99": &r.p99, "max": &r.max}
}

// String formats a result as words NAME=VALUE; the name of a status is its number.
func (r holderResult) String() string {
	var words []string
	for name, value := range r.counters() {
		words = append(words, fmt.Sprintf("%s=%d", name, *value))
	}
	for name, value := range r.latencies() {
		words = append(words, fmt.Sprintf("%s=%g", name, *value))
	}
	for status, count := range r.statuses {
		words = append(words, fmt.Sprintf("%d=%d", status, count))
	}
	return strings.Join(words, " ")
}

// parseHolderResult parses the format of holderResult.String.
func parseHolderResult(text string) (holderResult, error) {
	r := holderResult{statuses: map[int]int{}}
	counters, latencies := r.counters(), r.latencies()
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		var err error
		if counter := counters[name]; counter != nil {
			*counter, err = strconv.Atoi(value)
		} else if latency := latencies[name]; latency != nil {
			*latency, err = strconv.ParseFloat(value, 64)
		} else {
			err = r.parseStatus(name, value)
		}
		if err != nil {
			return r, fmt.Errorf("malformed result %q of a connection holder: %w", text, err)
		}
	}
	return r, nil
}

func (r *holderResult) parseStatus(name, value string) error {
	status, err := strconv.Atoi(name)
	if err != nil {
		return err
	}
	r.statuses[status], err = strconv.Atoi(value)
	return err
}
