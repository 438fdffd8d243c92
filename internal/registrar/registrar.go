// Package registrar remembers for a while what became of each call from
// another node, so that a call caught on a silent connection can be revoked
// or its answer had over a new one.
package registrar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// window is how long a call is remembered after its end.
	window = 15 * time.Second
	// refusedWindow is how long a refusal holds. It is longer than a
	// connection may bring nothing and stay open, so that a call that was
	// held up on the way cannot begin after it was said not to.
	refusedWindow = 3 * time.Minute
	// maxRefused bounds the refusals remembered.
	maxRefused = 50_000
	// maxCalls bounds the calls remembered.
	maxCalls = 200_000
	// MaxAnswer is the largest body of an answer that is kept, in bytes.
	MaxAnswer = 64 << 10
	// maxAnswers bounds all answers kept, in bytes.
	maxAnswers = 16 << 20
)

// ErrRevoked says that a call was revoked before it began.
var ErrRevoked = errors.New("the call was revoked before it began")

// State is what became of a call.
type State string

// The states of a call, as they travel between nodes.
const (
	// Refused calls had not begun, and will not.
	Refused State = "refused"
	// NotRun calls were refused by the node and never ran.
	NotRun State = "not-run"
	// Running calls have been handed to the target.
	Running State = "running"
	// Answered calls have an answer.
	Answered State = "answered"
	// Unknown calls may have run.
	Unknown State = "unknown"
)

// An Answer is what a target answered.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header is the answer's header.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

type call struct {
	state  State
	asked  bool
	answer *Answer
	ended  time.Time
	done   chan struct{}
}

// A Registrar remembers calls by their ids.
type Registrar struct {
	lock      sync.Mutex
	calls     map[string]*call
	order     []string
	kept      int
	forgotten time.Time
	refused   map[string]time.Time
}

// New returns a new Registrar.
func New() *Registrar {
	return &Registrar{
		calls:   map[string]*call{},
		refused: map[string]time.Time{},
	}
}

// Begin notes that a call has arrived. It returns ErrRevoked for one that was
// revoked before.
func (r *Registrar) Begin(id string, now time.Time) error {
	r.lock.Lock()
	defer r.lock.Unlock()
	if _, refused := r.refused[id]; refused || r.calls[id] != nil {
		return ErrRevoked
	}
	r.sweep(now)
	r.put(id, &call{
		state: Running,
		done:  make(chan struct{}),
	})
	return nil
}

func (r *Registrar) put(id string, c *call) {
	r.calls[id] = c
	r.order = append(r.order, id)
}

// End notes what became of a call. The answer may be nil.
func (r *Registrar) End(id string, state State, answer *Answer, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	c := r.calls[id]
	if c == nil || c.state != Running {
		return
	}
	c.state = state
	c.ended = now
	if answer != nil && r.kept+len(answer.Body) <= maxAnswers {
		c.answer = answer
		r.kept += len(answer.Body)
	}
	close(c.done)
}

// Revoke returns what became of a call, and sees to it that one that has not
// begun never will. A running call is waited for while ctx lasts.
func (r *Registrar) Revoke(ctx context.Context, id string, now time.Time) (State, *Answer) {
	r.lock.Lock()
	c := r.calls[id]
	if c == nil {
		defer r.lock.Unlock()
		return r.refuse(id, now), nil
	}
	c.asked = true
	r.lock.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return c.state, c.answer
}

// Asked says whether a running call has been asked after.
func (r *Registrar) Asked(id string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	c := r.calls[id]
	return c != nil && c.asked
}

// refuse marks a call as revoked, unless calls were forgotten too early to
// tell.
func (r *Registrar) refuse(id string, now time.Time) State {
	for other, at := range r.refused {
		if now.Sub(at) > refusedWindow {
			delete(r.refused, other)
		}
	}
	if now.Sub(r.forgotten) < window || len(r.refused) >= maxRefused {
		return Unknown
	}
	r.refused[id] = now
	return Refused
}

// sweep forgets calls that ended long ago, and the oldest of too many.
func (r *Registrar) sweep(now time.Time) {
	for len(r.order) > 0 {
		c := r.calls[r.order[0]]
		old := !c.ended.IsZero() && now.Sub(c.ended) > window
		if !old && len(r.order) < maxCalls {
			return
		}
		if !old {
			r.forgotten = now
		}
		r.forget()
	}
}

func (r *Registrar) forget() {
	id := r.order[0]
	if answer := r.calls[id].answer; answer != nil {
		r.kept -= len(answer.Body)
	}
	delete(r.calls, id)
	r.order = r.order[1:]
}
