// Package sequencer runs all changes of control state on one goroutine.
package sequencer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrEnded says that the sequencer has ended and the task was not run.
var ErrEnded = errors.New("sequencer: ended")

// queueLength is the number of tasks that may wait.
const queueLength = 4096

// A Sequencer owns the control state of a process: only its tasks touch it.
type Sequencer struct {
	tasks chan func()
	ended chan struct{}
}

// New returns a new Sequencer.
func New() *Sequencer {
	return &Sequencer{
		tasks: make(chan func(), queueLength),
		ended: make(chan struct{}),
	}
}

// Run runs tasks until ctx ends.
func (s *Sequencer) Run(ctx context.Context) {
	defer close(s.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-s.tasks:
			task()
		}
	}
}

// Post queues a task and returns at once, unless the queue is full.
func (s *Sequencer) Post(task func()) {
	select {
	case <-s.ended:
	case s.tasks <- task:
	}
}

// Do runs a task and waits for its end.
func (s *Sequencer) Do(ctx context.Context, task func()) error {
	done := make(chan struct{})
	queued := func() {
		defer close(done)
		task()
	}
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "sequencer: queue a task")
	case <-s.ended:
		return ErrEnded
	case s.tasks <- queued:
	}
	select {
	case <-s.ended:
		return ErrEnded
	case <-done:
		return nil
	}
}

// Every posts the task at each interval until ctx ends.
func (s *Sequencer) Every(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Post(task)
		}
	}
}
