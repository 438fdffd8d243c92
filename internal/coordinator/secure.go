package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// secureCopies is the number of other members that must have stored this
	// process's fact before it is secure.
	secureCopies = 2
	// secureAttempts is the number of members that are asked at the same time.
	secureAttempts = 3
	// secureAttemptTimeout bounds the attempt at one member.
	secureAttemptTimeout = 300 * time.Millisecond
)

var errNotSecure = errors.New("coordinator: too few members could be reached to store the fact")

// Secure delivers the current fact of this process to other members, and returns
// nil once secureCopies of them have stored it, or all if there are fewer. What the
// fact says then outlives this process. It must not be called on the sequencer.
func (c *Coordinator) Secure(ctx context.Context) error {
	var members []*messenger.Fact
	err := c.options.Sequencer.Do(ctx, func() {
		members = c.keepers()
	})
	if err != nil {
		return err
	}
	if len(members) == 0 && c.joinsOthers() {
		return errNotSecure
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := make(chan string, len(members))
	for _, m := range members {
		addresses <- m.GetOverlayAddress()
	}
	close(addresses)
	stored := make(chan bool, len(members))
	for range min(secureAttempts, len(members)) {
		go func() {
			for address := range addresses {
				err := c.announceTo(ctx, address)
				stored <- err == nil
				if err == nil {
					return
				}
			}
		}()
	}
	needed := min(secureCopies, len(members))
	for tried := 0; needed > 0 && tried < len(members); tried++ {
		select {
		case <-ctx.Done():
			return errors.CombineErrors(errNotSecure, ctx.Err())
		case ok := <-stored:
			if ok {
				needed--
			}
		}
	}
	if needed > 0 {
		return errNotSecure
	}
	return nil
}

// announceTo delivers the fact of this process to the member at an address.
func (c *Coordinator) announceTo(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, secureAttemptTimeout)
	defer cancel()
	return c.linker.Announce(ctx, address)
}

// joinsOthers reports whether there are seeds other than this process.
func (c *Coordinator) joinsOthers() bool {
	for _, seed := range c.options.Seeds {
		if seed != c.options.Self.GetOverlayAddress() {
			return true
		}
	}
	return false
}

// keepers returns the members that have not left, in the order in which they are
// asked to store the fact of this process. Control replicas come first, as a process
// that starts again asks them first. Members of other zones, which are unlikely to
// fail together with this one, take turns with those of its own zone, which it
// reaches also while the zone is cut off. Suspected members come last.
func (c *Coordinator) keepers() []*messenger.Fact {
	var replicas, near, far, suspected []*messenger.Fact
	self := c.announcer.Self()
	all := c.announcer.Facts()
	for _, i := range c.options.Random.Perm(len(all)) {
		f := all[i]
		switch {
		case f.GetName() == self.GetName() || f.GetState() == messenger.MemberState_MEMBER_LEFT:
		case f.GetState() == messenger.MemberState_MEMBER_SUSPECT:
			suspected = append(suspected, f)
		case f.GetControl():
			replicas = append(replicas, f)
		case f.GetZone() == self.GetZone():
			near = append(near, f)
		default:
			far = append(far, f)
		}
	}
	members := replicas
	for i := range max(len(near), len(far)) {
		members = append(members, far[min(i, len(far)):min(i+1, len(far))]...)
		members = append(members, near[min(i, len(near)):min(i+1, len(near))]...)
	}
	return append(members, suspected...)
}
