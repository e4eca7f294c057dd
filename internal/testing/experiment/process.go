package experiment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the kernel's unit of processor time on every Linux that Go runs on: a hundredth of a second.
const clockTicks = 100

// Usage is what a process has used so far, and holds now.
type Usage struct {
	CPU         time.Duration
	RSS, Peak   int64 // bytes of memory: now, and at most
	Descriptors int
	Threads     int
}

// ReadUsage reads a process's figures from /proc.
func ReadUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The second field is the command's name in brackets, which may hold spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	words := strings.Fields(rest)
	if len(words) < 18 {
		return u, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(words))
	}
	for _, i := range []int{11, 12} { // user and system time
		n, err := strconv.ParseInt(words[i], 10, 64)
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(n) * time.Second / clockTicks
	}
	u.Threads, _ = strconv.Atoi(words[17])
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		name, value, _ := strings.Cut(line, ":")
		words := strings.Fields(value)
		if len(words) != 2 || words[1] != "kB" {
			continue
		}
		n, err := strconv.ParseInt(words[0], 10, 64)
		switch {
		case err != nil:
			return u, err
		case name == "VmRSS":
			u.RSS = n << 10
		case name == "VmHWM":
			u.Peak = n << 10
		}
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(fds)
	return u, err
}
