// Package registrar records for a limited time how each call from another node
// ended, so that a call on an unresponsive connection can be revoked, or its
// response can be fetched, over a new one.
package registrar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// window is how long a call is kept after its end.
	window = 15 * time.Second
	// maxQueryAge is the age above which a call that is not recorded may have
	// ended and been evicted. It is less than window, as the age is measured
	// before the query is sent.
	maxQueryAge = window / 2
	// refusalWindow is how long a refusal is kept. It is longer than a
	// connection can stay open without receiving anything, so that a call that
	// was delayed on the network cannot begin after it was reported as refused.
	refusalWindow = 3 * time.Minute
	// maxRefusals bounds the number of refusals that are kept.
	maxRefusals = 50_000
	// maxCalls bounds the number of calls that are kept.
	maxCalls = 200_000
	// MaxBufferedBody is the largest body, in bytes, of a response that is kept
	// and of a request that is buffered before it is forwarded.
	MaxBufferedBody = 64 << 10
	// maxResponseBytes bounds the bodies of all kept responses together, in
	// bytes.
	maxResponseBytes = 16 << 20
)

// ErrRevoked is returned for a call that was revoked before it began, and for a
// second arrival of the same call.
var ErrRevoked = errors.New("the call was revoked before it began")

// State is the state of a call.
type State string

// The states of a call, as nodes send them to each other.
const (
	// Refused means that the call has not begun and will not begin.
	Refused State = "refused"
	// NotRun means that the node refused the call and it did not run.
	NotRun State = "not-run"
	// Running means that the call was passed to the target.
	Running State = "running"
	// Answered means that the target has responded.
	Answered State = "answered"
	// Unknown means that the call may have run.
	Unknown State = "unknown"
)

// A Response is the complete response of a target.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header is the response header.
	Header http.Header
	// Body is the complete body.
	Body []byte
}

// call is the record of one call.
type call struct {
	state State
	// queriedAt is when the state was last queried. It is zero before the first query.
	queriedAt time.Time
	response  *Response
	ended     time.Time
	done      chan struct{}
}

// A Registrar records calls by their ids.
type Registrar struct {
	lock  sync.Mutex
	calls map[string]*call
	// order holds the ids of calls in the order of their arrival, and ended those
	// of ended calls in the order of their ends. They may contain ids of calls
	// that were evicted already.
	order []string
	ended []string
	// keptBytes is the size of the bodies of all kept responses.
	keptBytes int
	// earlyEviction is when a call was last evicted before its window had
	// passed.
	earlyEviction time.Time
	// refused holds the times of refusals by call id.
	refused map[string]time.Time
}

// New returns a new Registrar.
func New() *Registrar {
	return &Registrar{
		calls:   map[string]*call{},
		refused: map[string]time.Time{},
	}
}

// Begin records that a call has arrived. It returns ErrRevoked for a call that
// was revoked or has arrived before.
func (r *Registrar) Begin(id string, now time.Time) error {
	r.lock.Lock()
	defer r.lock.Unlock()
	if _, refused := r.refused[id]; refused || r.calls[id] != nil {
		return ErrRevoked
	}
	r.evict(now)
	r.add(id, &call{
		state: Running,
		done:  make(chan struct{}),
	})
	return nil
}

// add inserts a call as the most recent one.
func (r *Registrar) add(id string, c *call) {
	r.calls[id] = c
	r.order = append(r.order, id)
}

// End records the state and response of a running call. The response may be
// nil, and is not kept if all kept responses would exceed maxResponseBytes.
func (r *Registrar) End(id string, state State, response *Response, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	c := r.calls[id]
	if c == nil || c.state != Running {
		return
	}
	c.state = state
	c.ended = now
	r.ended = append(r.ended, id)
	if response != nil && r.keptBytes+len(response.Body) <= maxResponseBytes {
		c.response = response
		r.keptBytes += len(response.Body)
	}
	close(c.done)
}

// Revoke returns the state of a call, and its response if that is kept. The age
// is the time since the call was sent. A call that is not recorded is refused from
// now on, and Revoke returns Refused. If the call may have begun or too many
// refusals are kept, Revoke returns Unknown instead. For a running call, it waits
// until the call ends or ctx is done.
func (r *Registrar) Revoke(ctx context.Context, id string, age time.Duration, now time.Time) (State, *Response) {
	r.lock.Lock()
	c := r.calls[id]
	if c == nil {
		defer r.lock.Unlock()
		return r.refuse(id, age, now), nil
	}
	c.queriedAt = now
	r.lock.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return c.state, c.response
}

// LastQuery returns when the state of a call was last queried. It reports false if that
// has not been queried yet.
func (r *Registrar) LastQuery(id string) (time.Time, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	c := r.calls[id]
	if c == nil || c.queriedAt.IsZero() {
		return time.Time{}, false
	}
	return c.queriedAt, true
}

// refuse records the refusal of a call. It returns Unknown if the call may have
// been evicted, or if too many refusals are kept.
func (r *Registrar) refuse(id string, age time.Duration, now time.Time) State {
	for other, at := range r.refused {
		if now.Sub(at) > refusalWindow {
			delete(r.refused, other)
		}
	}
	if age > maxQueryAge || now.Sub(r.earlyEviction) < window || len(r.refused) >= maxRefusals {
		return Unknown
	}
	r.refused[id] = now
	return Refused
}

// evict removes the calls that ended longer than window ago, and the oldest calls
// if there are too many.
func (r *Registrar) evict(now time.Time) {
	for len(r.ended) > 0 {
		c := r.calls[r.ended[0]]
		if c != nil && now.Sub(c.ended) <= window {
			break
		}
		r.remove(r.ended[0])
		r.ended = r.ended[1:]
	}
	for len(r.order) > 0 && (r.calls[r.order[0]] == nil || len(r.calls) >= maxCalls) {
		if r.calls[r.order[0]] != nil {
			r.earlyEviction = now
		}
		r.remove(r.order[0])
		r.order = r.order[1:]
	}
}

// remove removes a call, if it is recorded.
func (r *Registrar) remove(id string) {
	c := r.calls[id]
	if c == nil {
		return
	}
	if c.response != nil {
		r.keptBytes -= len(c.response.Body)
	}
	delete(r.calls, id)
}
