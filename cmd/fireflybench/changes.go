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
	// baseTimeoutMilliseconds is the smallest route timeout that a change
	// sets.
	baseTimeoutMilliseconds = 2000
	changePause             = 150 * time.Millisecond
	// changeTimeout is the time limit of one attempt at a change, which tries
	// the replicas in turn.
	changeTimeout = 5 * time.Second
)

// changeWorkload simulates operators that concurrently change the
// configuration of the same team.
type changeWorkload struct {
	fleet   *fleet
	group   sync.WaitGroup
	stopped atomic.Bool
	lock    sync.Mutex
	changes []*change
}

// change is one change and the result that its operator received.
type change struct {
	request administrator.ChangeRequest
	began   time.Time
	ended   time.Time
	// resolved reports whether the result is known: accepted or a conflict.
	resolved bool
	// version is the accepted version, or 0.
	version uint64
	// actualParent is the current version that a conflict reported, or 0.
	actualParent uint64
}

func startChangeWorkload(f *fleet, n int) *changeWorkload {
	c := &changeWorkload{
		fleet: f,
	}
	for i := range n {
		c.group.Go(func() { c.runOperator(i) })
	}
	return c
}

// runOperator makes changes until the workload is stopped. Each change names as
// its parent the last version that the operator has received.
func (c *changeWorkload) runOperator(operator int) {
	parent := c.fleet.version
	for n := 0; !c.stopped.Load(); n++ {
		template, values := configurationInputs(1, baseTimeoutMilliseconds+uint64(operator)+uint64(n*operatorCount)%baseTimeoutMilliseconds)
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
		if change.resolved {
			parent = max(change.version, change.actualParent)
		}
		time.Sleep(changePause)
	}
}

// send makes one attempt at a change, which tries the replicas in turn, and
// records the result. After any error other than a conflict, the change stays
// unresolved.
func (c *changeWorkload) send(change *change) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	response, err := c.fleet.client.Change(ctx, change.request)
	apiErr := &administrator.Error{}
	switch {
	case err == nil:
		change.resolved = true
		change.version = response.Number
	case errors.As(err, &apiErr) && apiErr.Code == administrator.CodeConflict:
		change.resolved = true
		change.actualParent = apiErr.Parent
	}
	change.ended = time.Now()
}

// resolveAll stops the operators and resends each change without a known result
// until a replica reports it.
func (c *changeWorkload) resolveAll(ctx context.Context) error {
	c.stopped.Store(true)
	c.group.Wait()
	for _, change := range c.changes {
		err := launcher.WaitUntil(ctx, "the result of a change is known", func() bool {
			if !change.resolved {
				c.send(change)
			}
			return change.resolved
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// counts returns the numbers of changes that were sent and accepted.
func (c *changeWorkload) counts() (sent, accepted int) {
	for _, change := range c.changes {
		if change.version > 0 {
			accepted++
		}
	}
	return len(c.changes), accepted
}

// check returns the violations of these rules: each accepted change has a unique
// version; a change that was sent after another had been accepted has a higher
// version; a resend gets the same response as the original; and the final
// version is the initial one plus the number of accepted changes.
func (c *changeWorkload) check(ctx context.Context) []string {
	var violations []string
	initialVersion := c.fleet.version
	owners := map[uint64]string{}
	lastVersion := initialVersion
	for _, a := range c.changes {
		if a.version == 0 {
			continue
		}
		if other := owners[a.version]; other != "" {
			violations = append(violations, fmt.Sprintf("version %d was assigned to change %s and to change %s", a.version, other, a.request.ChangeID))
		}
		owners[a.version] = a.request.ChangeID
		lastVersion = max(lastVersion, a.version)
		violations = append(violations, c.checkOrder(a)...)
		violations = append(violations, c.checkResend(ctx, a)...)
	}
	if lastVersion != initialVersion+uint64(len(owners)) {
		violations = append(violations, fmt.Sprintf("%d changes were accepted after version %d, but the last version is %d", len(owners), initialVersion, lastVersion))
	}
	c.fleet.version = lastVersion
	return violations
}

// checkOrder reports each change that was sent after the response to a had
// arrived, and was accepted as the same version or a lower one.
func (c *changeWorkload) checkOrder(a *change) []string {
	var violations []string
	for _, b := range c.changes {
		if b.version > 0 && a.ended.Before(b.began) && a.version >= b.version {
			violations = append(violations, fmt.Sprintf("version %d was accepted before the change to version %d was sent", a.version, b.version))
		}
	}
	return violations
}

// checkResend sends an accepted change again and reports a response with another
// version.
func (c *changeWorkload) checkResend(ctx context.Context, a *change) []string {
	response, err := c.fleet.client.Change(ctx, a.request)
	if err != nil || response.Number != a.version {
		return []string{fmt.Sprintf("the change accepted as version %d was resent, and the response was version %d, error %v", a.version, response.Number, err)}
	}
	return nil
}
