// Package sequencer runs all tasks that access a process's control state on one
// goroutine.
package sequencer

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrEnded is returned when the sequencer has ended before the task was run.
var ErrEnded = errors.New("sequencer: ended")

// maxQueuedTasks is the capacity of the queue of tasks.
const maxQueuedTasks = 4096

// A Sequencer serializes access to the control state of a process: only its tasks
// may read or change this state. Its methods other than Run may be called
// concurrently.
type Sequencer struct {
	tasks   chan func()
	ended   chan struct{}
	onPanic func(value any, stack []byte)
}

// New returns a Sequencer. Run must be called for its tasks to run.
func New() *Sequencer {
	return &Sequencer{
		tasks: make(chan func(), maxQueuedTasks),
		ended: make(chan struct{}),
	}
}

// ContainPanics makes a panic of a task end that task only, and passes it to
// handle with the stack. It must be called before Run.
func (s *Sequencer) ContainPanics(handle func(value any, stack []byte)) {
	s.onPanic = handle
}

// run runs a task. A panic is contained if it is handled.
func (s *Sequencer) run(task func()) {
	if s.onPanic != nil {
		defer func() {
			if value := recover(); value != nil {
				s.onPanic(value, debug.Stack())
			}
		}()
	}
	task()
}

// Run runs queued tasks in order until ctx is done. It must be called once.
func (s *Sequencer) Run(ctx context.Context) {
	defer close(s.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-s.tasks:
			s.run(task)
		}
	}
}

// Post queues a task. It blocks only while the queue is full. If the sequencer
// has ended, the task is not run.
func (s *Sequencer) Post(task func()) {
	select {
	case <-s.ended:
	case s.tasks <- task:
	}
}

// Do queues a task and waits until it has run. It returns an error if ctx is done
// before the task is queued, or ErrEnded if the sequencer has ended.
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

// Every posts the task once per interval until ctx is done.
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
