package launcher

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

// A Process is a process that was started once and may have ended since.
type Process struct {
	Name string
	// IP is the address of all its listeners.
	IP string
	// Zone is its availability zone.
	Zone string

	arguments []string
	program   string
	logPath   string
	command   *exec.Cmd
	ended     chan struct{}
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
