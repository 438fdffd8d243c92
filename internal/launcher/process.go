package launcher

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const bytesPerKibibyte = 1024

// A Process is a process that was started once and may have ended since.
type Process struct {
	Name string
	// IP is the address of all its listeners.
	IP string
	// Zone is its availability zone.
	Zone string

	arguments   []string
	program     string
	environment []string
	logPath     string
	command     *exec.Cmd
	ended       chan struct{}
}

// limitDescriptors makes the process start through a shell that sets the maximum
// number of open file descriptors and then replaces itself with the program.
func (p *Process) limitDescriptors(limit int) {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limit)
	p.arguments = append([]string{"-c", script, p.program}, p.arguments...)
	p.program = "/bin/sh"
}

// Restart starts a new run of a process that has ended, with the same settings
// and arguments.
func (c *Cluster) Restart(p *Process) error {
	return c.launch(p)
}

// Stop sends SIGTERM to every process and kills those that have not ended within
// stopTimeout. It returns the names of the killed processes. SIGCONT comes first
// because a suspended process does not handle SIGTERM.
func (c *Cluster) Stop() []string {
	c.lock.Lock()
	processes := c.processes
	c.processes = map[string]*Process{}
	c.lock.Unlock()
	for _, p := range processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	var killed []string
	expired := time.After(stopTimeout)
	for _, p := range processes {
		select {
		case <-p.ended:
		case <-expired:
			expired = time.After(0)
			killed = append(killed, p.Name)
			p.Kill()
		}
	}
	_ = c.reservation.Close()
	return killed
}

// Signal sends a signal to the process. Errors are ignored, as the process may
// have ended.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	return p.ended
}

// ExitCode returns the exit status of a process that has ended.
func (p *Process) ExitCode() int {
	<-p.ended
	return p.command.ProcessState.ExitCode()
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Log returns everything that the process has logged, over all its restarts.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

// Memory is the resident memory of a process, in bytes.
type Memory struct {
	// Resident is the current size.
	Resident int64
	// Peak is the largest size since the process started.
	Peak int64
}

// Memory returns the resident memory of a running process. It returns an error if
// the process has ended.
func (p *Process) Memory() (Memory, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return Memory{}, errors.Wrapf(err, "launcher: memory of %s", p.Name)
	}
	m := Memory{}
	for line := range strings.Lines(string(text)) {
		field, rest, _ := strings.Cut(line, ":")
		size := &m.Resident
		switch field {
		case "VmRSS":
		case "VmHWM":
			size = &m.Peak
		default:
			continue
		}
		kibibytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		if err != nil {
			return Memory{}, errors.Wrapf(err, "launcher: memory of %s", p.Name)
		}
		*size = kibibytes * bytesPerKibibyte
	}
	if m.Resident == 0 || m.Peak == 0 {
		return Memory{}, errors.Newf("launcher: %s has no memory", p.Name)
	}
	return m, nil
}

// Descriptors returns the number of open file descriptors of a running process.
// It returns an error if the process has ended.
func (p *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	return len(entries), errors.Wrapf(err, "launcher: descriptors of %s", p.Name)
}
