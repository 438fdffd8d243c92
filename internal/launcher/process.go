package launcher

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

// A Process is one started process.
type Process struct {
	// Name is the process's name.
	Name string
	// IP is the address of all its listeners.
	IP string
	// Zone is its availability zone.
	Zone string

	arguments []string
	program   string
	log       string
	command   *exec.Cmd
	ended     chan struct{}
}

// Restart starts a process that has ended again, as it was.
func (c *Cluster) Restart(p *Process) error {
	return c.run(p)
}

// Stop ends every process, and returns the names of those that had to be
// killed.
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
	late := time.After(stopTimeout)
	for _, p := range processes {
		select {
		case <-p.ended:
		case <-late:
			late = time.After(0)
			killed = append(killed, p.Name)
			p.Kill()
		}
	}
	return killed
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	return p.ended
}

// ExitCode returns the exit status of a process that has ended.
func (p *Process) ExitCode() int {
	<-p.ended
	return p.command.ProcessState.ExitCode()
}

// PID returns the process's id.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Log returns all that the process has logged.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}
