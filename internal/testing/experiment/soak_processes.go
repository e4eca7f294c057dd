package experiment

import (
	"errors"
	"fmt"
	"net"
	"os/exec"
	"syscall"
	"time"
)

const (
	soakExitTimeout = 6500 * time.Millisecond // maximum time from a signal to the exit of the process
	soakDialTimeout = time.Second
	soakDumpTimeout = 5 * time.Second // maximum time until a process has written its goroutines and ended
)

// restart ends a process with a signal, waits for its exit and starts it again.
func (s *soak) restart(processes []*exec.Cmd, index int, program string, signal syscall.Signal) error {
	process := processes[index]
	listening := isListening(s.address(program, index))
	process.Process.Signal(signal)
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	select {
	case err := <-ended:
		if signal == syscall.SIGTERM && err != nil && (listening || !endedBy(process, signal)) {
			return fmt.Errorf("it ends by %w after SIGTERM", err)
		}
	case <-time.After(soakExitTimeout):
		dumpGoroutines(process, ended)
		return errors.New("it does not end within the grace period (its output lists its goroutines)")
	}
	next, err := s.cluster.startProgram(program, s.cluster.settingsPath(process))
	if err == nil {
		s.mu.Lock()
		processes[index] = next
		s.mu.Unlock()
	}
	return err
}

// address returns the address on which a program serves clients or operators.
func (s *soak) address(program string, index int) string {
	if program == gatewayProgram {
		return s.cluster.cluster.Gateways[index].PublicAddress()
	}
	return s.cluster.cluster.Controllers[index].ControlAddress()
}

// isListening reports whether a process listens on an address.
func isListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, soakDialTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// endedBy reports whether a signal ended a process that has not handled it. A process handles signals before it listens.
func endedBy(process *exec.Cmd, signal syscall.Signal) bool {
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// dumpGoroutines makes a process write the stacks of its goroutines to its output and waits until it has ended.
func dumpGoroutines(process *exec.Cmd, ended <-chan error) {
	process.Process.Signal(syscall.SIGQUIT)
	select {
	case <-ended:
	case <-time.After(soakDumpTimeout):
	}
}

// suspendFor stops a process, waits for a duration and resumes the process.
func suspendFor(process *exec.Cmd, duration time.Duration) {
	process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	process.Process.Signal(syscall.SIGCONT)
}
