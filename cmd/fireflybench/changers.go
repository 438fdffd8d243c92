package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	// changeBase is the least value of a change, in milliseconds.
	changeBase  = 2000
	changePause = 150 * time.Millisecond
	// resendTimeout bounds one try of a change.
	resendTimeout = 5 * time.Second
)

// changers are operators that race on the same team's versions.
type changers struct {
	fleet   *fleet
	group   sync.WaitGroup
	stopped atomic.Bool
	lock    sync.Mutex
	changes []*change
}

// change is one change and what its operator was told of it.
type change struct {
	request  administrator.ChangeRequest
	began    time.Time
	ended    time.Time
	known    bool
	accepted uint64
	parent   uint64
}

func startChangers(f *fleet, n int) *changers {
	c := &changers{
		fleet: f,
	}
	for i := range n {
		c.group.Go(func() { c.operate(i) })
	}
	return c
}

// operate makes changes, each on top of the version that the last one told.
func (c *changers) operate(operator int) {
	parent := c.fleet.version
	for n := 0; !c.stopped.Load(); n++ {
		template, values := inputs(1, changeBase+uint64(operator)+uint64(n*operators)%changeBase)
		change := &change{
			request: administrator.ChangeRequest{
				Team:     launcher.Team,
				ChangeID: uuid.NewString(),
				Parent:   parent,
				Template: &template,
				Values:   &values,
			},
			began: time.Now(),
		}
		c.lock.Lock()
		c.changes = append(c.changes, change)
		c.lock.Unlock()
		c.send(change)
		if change.known {
			parent = max(change.accepted, change.parent)
		}
		time.Sleep(changePause)
	}
}

// send sends a change once, to whichever replica answers.
func (c *changers) send(change *change) {
	ctx, cancel := context.WithTimeout(context.Background(), resendTimeout)
	defer cancel()
	response, err := c.fleet.client.Change(ctx, change.request)
	apiErr := &administrator.Error{}
	switch {
	case err == nil:
		change.known = true
		change.accepted = response.Number
	case errors.As(err, &apiErr) && apiErr.Code == administrator.CodeConflict:
		change.known = true
		change.parent = apiErr.Parent
	}
	change.ended = time.Now()
}

// settle stops the operators and has each learn what became of its changes.
func (c *changers) settle(ctx context.Context) error {
	c.stopped.Store(true)
	c.group.Wait()
	for _, change := range c.changes {
		err := launcher.Until(ctx, "an operator learns what became of a change", func() bool {
			if !change.known {
				c.send(change)
			}
			return change.known
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *changers) counts() (sent, accepted int) {
	for _, change := range c.changes {
		if change.accepted > 0 {
			accepted++
		}
	}
	return len(c.changes), accepted
}

// check makes sure that each accepted change has a version of its own, that
// versions grow with time, that a resend gets the first answer, and that the
// version in the end counts all accepted changes and nothing else.
func (c *changers) check(ctx context.Context) []string {
	var violations []string
	first := c.fleet.version
	owners := map[uint64]string{}
	last := first
	for _, a := range c.changes {
		if a.accepted == 0 {
			continue
		}
		if other := owners[a.accepted]; other != "" {
			violations = append(violations, fmt.Sprintf("version %d was given to %s and %s", a.accepted, other, a.request.ChangeID))
		}
		owners[a.accepted] = a.request.ChangeID
		last = max(last, a.accepted)
		violations = append(violations, c.checkOrder(a)...)
		violations = append(violations, c.checkResend(ctx, a)...)
	}
	if last != first+uint64(len(owners)) {
		violations = append(violations, fmt.Sprintf("%d changes were accepted on top of version %d, and the last is %d", len(owners), first, last))
	}
	c.fleet.version = last
	return violations
}

func (c *changers) checkOrder(a *change) []string {
	var violations []string
	for _, b := range c.changes {
		if b.accepted > 0 && a.ended.Before(b.began) && a.accepted >= b.accepted {
			violations = append(violations, fmt.Sprintf("version %d was accepted before %d was asked for", a.accepted, b.accepted))
		}
	}
	return violations
}

func (c *changers) checkResend(ctx context.Context, a *change) []string {
	response, err := c.fleet.client.Change(ctx, a.request)
	if err != nil || response.Number != a.accepted {
		return []string{fmt.Sprintf("a resend of the change that became version %d got %d, %v", a.accepted, response.Number, err)}
	}
	return nil
}
