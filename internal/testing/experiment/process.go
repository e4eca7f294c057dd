package experiment

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of units of processor time per second in /proc, on every Linux that Go supports.
const clockTicks = 100

// Fields of /proc/PID/stat after the command's name; see proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
	statThreads    = 17
)

// Usage is the processor time that a process has used so far and the resources that it holds.
type Usage struct {
	CPU         time.Duration
	RSS, Peak   int64 // resident memory in bytes: current and maximum
	Descriptors int
	Threads     int
}

// ReadUsage reads a process's usage from /proc.
func ReadUsage(pid int) (u Usage, err error) {
	if err := u.readStat(pid); err != nil {
		return u, err
	}
	if err := u.readStatus(pid); err != nil {
		return u, err
	}
	descriptors, err := os.ReadDir(procPath(pid, "fd"))
	u.Descriptors = len(descriptors)
	return u, err
}

// readStat reads processor time and threads.
func (u *Usage) readStat(pid int) error {
	path := procPath(pid, "stat")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	// The second field is the command's name in parentheses, which may contain spaces.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statThreads {
		return fmt.Errorf("%s has %d fields after the name", path, len(fields))
	}
	for _, i := range []int{statUserTime, statSystemTime} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		u.CPU += time.Duration(ticks) * time.Second / clockTicks
	}
	u.Threads, _ = strconv.Atoi(fields[statThreads])
	return nil
}

// readStatus reads memory.
func (u *Usage) readStatus(pid int) error {
	path := procPath(pid, "status")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		fields := strings.Fields(value)
		if len(fields) != 2 || fields[1] != "kB" {
			continue
		}
		kib, err := strconv.ParseInt(fields[0], 10, 64)
		switch {
		case err != nil:
			return fmt.Errorf("%s: %w", path, err)
		case name == "VmRSS":
			u.RSS = kib << 10
		case name == "VmHWM":
			u.Peak = kib << 10
		}
	}
	return nil
}

// processCost is the cumulative cost of a process to the system.
type processCost struct {
	cpu     float64 // seconds
	wakeups float64 // voluntary context switches of all threads
	calls   float64 // of read and write
	in, out float64 // bytes read and written
}

// readProcessCost reads a process's cost from /proc.
func readProcessCost(pid int) (cost processCost, err error) {
	usage, err := ReadUsage(pid)
	if err != nil {
		return cost, err
	}
	cost.cpu = usage.CPU.Seconds()
	threads, err := filepath.Glob(procPath(pid, "task/*/status"))
	if err != nil {
		return cost, err
	}
	for _, path := range threads {
		cost.wakeups += readProcField(path, "voluntary_ctxt_switches")
	}
	io := procPath(pid, "io")
	cost.calls = readProcField(io, "syscr") + readProcField(io, "syscw")
	cost.in = readProcField(io, "rchar")
	cost.out = readProcField(io, "wchar")
	return cost, nil
}

func (c processCost) plus(d processCost) processCost {
	return processCost{
		cpu:     c.cpu + d.cpu,
		wakeups: c.wakeups + d.wakeups,
		calls:   c.calls + d.calls,
		in:      c.in + d.in,
		out:     c.out + d.out,
	}
}

// times returns a multiple of the cost.
func (c processCost) times(factor float64) processCost {
	return processCost{
		cpu:     c.cpu * factor,
		wakeups: c.wakeups * factor,
		calls:   c.calls * factor,
		in:      c.in * factor,
		out:     c.out * factor,
	}
}

// since returns the difference to an earlier cost of the same process.
func (c processCost) since(earlier processCost) processCost { return c.plus(earlier.times(-1)) }

func procPath(pid int, name string) string { return filepath.Join("/proc", strconv.Itoa(pid), name) }

// readProcField returns a number from a file of lines "NAME: NUMBER". It returns 0 if the file no longer exists, as for a
// thread that has exited.
func readProcField(path, name string) float64 {
	file, err := os.Open(path)
	if err != nil {
		return 0
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if rest, ok := strings.CutPrefix(scanner.Text(), name+":"); ok {
			value, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return value
		}
	}
	return 0
}

// readLoadAverage returns the machine's load average over the last minute; 0 if it cannot be read.
func readLoadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
