// Package claimer sees to it that a call with an idempotency key runs at most
// once, through whichever nodes it is sent. Before the call runs, a majority
// of the key's three keepers must grant a claim on it; a resend gets what
// became of the first call. A node that restarted grants nothing until it
// holds again all that it had granted.
package claimer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// GrantTime is how long a claim may take to get its majority. A node that
// restarts waits as long before it asks what it had granted.
const GrantTime = time.Second

const (
	// holdWait is the wait before the keepers are asked again about a claim
	// that another call holds, with as much again at random.
	holdWait = 50 * time.Millisecond
	// maxMoves is how often one claim follows the keepers to where they
	// believe that the key belongs.
	maxMoves = 3
)

// The reasons why a call with a key does not run.
var (
	// ErrNoQuorum says that no majority of the key's keepers could be asked.
	ErrNoQuorum = errors.New("no majority of the key's keepers granted it")
	// ErrHeld says that another call with the key has not ended, or that its
	// outcome is unknown.
	ErrHeld = errors.New("another call with the key may have run")
	// ErrOther says that the key belongs to a call that is not the same.
	ErrOther = errors.New("the key was used for another call")
)

// Peers reaches the keepers.
type Peers interface {
	// Ring returns the nodes that claims are kept among.
	Ring() *Ring
	// Take asks a keeper for a claim.
	Take(ctx context.Context, keeper string, request *messenger.TakeRequest) (*messenger.TakeReply, error)
	// Conclude tells a keeper what became of a claim's call.
	Conclude(ctx context.Context, keeper string, claim *messenger.Claim) error
	// Sync asks a keeper for the claims that the named node keeps too.
	Sync(ctx context.Context, keeper, name string) (*messenger.SyncReply, error)
}

// A Claimer gets claims for the calls that enter at one node.
type Claimer struct {
	peers Peers
	now   func() time.Time
	// spawn runs a message to one keeper beside those to others.
	spawn func(send func())
	// pause is the time between questions to partners.
	pause time.Duration
}

// New returns a new Claimer.
func New(peers Peers, now func() time.Time) *Claimer {
	return &Claimer{
		peers: peers,
		now:   now,
		spawn: func(send func()) { go send() },
		pause: askInterval,
	}
}

// A Grant is a claim that a majority granted: its call may run once.
type Grant struct {
	claimer *Claimer
	claim   *messenger.Claim
	keepers []string
}

// round is what the keepers said to one asking.
type round struct {
	granted  int
	moved    []string
	held     *messenger.Claim
	released []string
}

// Claim returns a Grant, or the answer that the key's first call got, or one
// of this package's errors. It waits for a first call that runs while ctx
// lasts.
func (c *Claimer) Claim(ctx context.Context, key string, fingerprint uint64) (*Grant, *messenger.KeptAnswer, error) {
	keepers := c.peers.Ring().Keepers(key)
	var released []string
	for moves := 0; ; {
		claim := &messenger.Claim{
			Key:         key,
			Id:          uuid.NewString(),
			Fingerprint: fingerprint,
		}
		grant := &Grant{
			claimer: c,
			claim:   claim,
			keepers: keepers,
		}
		r := c.ask(ctx, grant, released)
		released = append(released, r.released...)
		if r.granted > len(keepers)/2 {
			return grant, nil, nil
		}
		grant.NotRun(ctx)
		released = append(released, claim.GetId())
		switch {
		case r.held != nil:
			answer, err := judge(r.held, fingerprint)
			if answer != nil || err != nil {
				return nil, answer, err
			}
		case len(r.moved) >= len(keepers) && moves < maxMoves:
			// A node that knows fewer keepers has not met the others yet.
			moves++
			keepers = r.moved
			continue
		default:
			return nil, nil, ErrNoQuorum
		}
		if !wait(ctx, holdWait+rand.N(holdWait)) {
			return nil, nil, ErrHeld
		}
	}
}

// judge says what another claim on the key means for a call. Neither an answer
// nor an error says that the other call has not ended.
func judge(held *messenger.Claim, fingerprint uint64) (*messenger.KeptAnswer, error) {
	switch {
	case held.GetFingerprint() != fingerprint:
		return nil, ErrOther
	case held.GetAnswer() != nil:
		return held.GetAnswer(), nil
	case held.GetEnd() == messenger.ClaimEnd_CLAIM_UNKNOWN, held.GetEnd() == messenger.ClaimEnd_CLAIM_ANSWERED:
		return nil, ErrHeld
	}
	return nil, nil
}

func wait(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// ask asks all keepers at once, and returns as soon as a majority has granted
// the claim, or all have answered or been given up. A majority that took too
// long does not count: a keeper may have restarted meanwhile.
func (c *Claimer) ask(ctx context.Context, grant *Grant, released []string) round {
	began := c.now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), GrantTime)
	replies := make(chan *messenger.TakeReply, len(grant.keepers))
	request := &messenger.TakeRequest{
		Claim:    grant.claim,
		Keepers:  grant.keepers,
		Released: released,
	}
	for _, keeper := range grant.keepers {
		c.spawn(func() {
			reply, err := c.peers.Take(ctx, keeper, request)
			if err != nil {
				reply = &messenger.TakeReply{}
			}
			replies <- reply
		})
	}
	context.AfterFunc(ctx, cancel)
	r := round{}
	for range grant.keepers {
		r.add(<-replies)
		if r.granted > len(grant.keepers)/2 {
			break
		}
	}
	if c.now().Sub(began) >= GrantTime {
		r.granted = 0
	}
	return r
}

func (r *round) add(reply *messenger.TakeReply) {
	if id := reply.GetReleased(); id != "" {
		r.released = append(r.released, id)
	}
	switch reply.GetVerdict() {
	case messenger.ClaimVerdict_CLAIM_GRANTED:
		r.granted++
	case messenger.ClaimVerdict_CLAIM_MISPLACED:
		r.moved = reply.GetKeepers()
	case messenger.ClaimVerdict_CLAIM_HELD:
		if r.held == nil || informs(reply.GetHeld()) {
			r.held = reply.GetHeld()
		}
	}
}

// informs says whether a claim tells the most of what became of its call.
func informs(held *messenger.Claim) bool {
	return held.GetAnswer() != nil
}

// Answered tells the keepers the answer. A nil answer says that it is not
// kept, as it is too long.
func (g *Grant) Answered(ctx context.Context, answer *messenger.KeptAnswer) {
	g.conclude(ctx, messenger.ClaimEnd_CLAIM_ANSWERED, answer)
}

// NotRun releases the claim: its call did not run and will not.
func (g *Grant) NotRun(ctx context.Context) {
	g.conclude(ctx, messenger.ClaimEnd_CLAIM_NOT_RUN, nil)
}

// Unknown tells the keepers that nobody knows whether the call ran.
func (g *Grant) Unknown(ctx context.Context) {
	g.conclude(ctx, messenger.ClaimEnd_CLAIM_UNKNOWN, nil)
}

// conclude tells all keepers, and waits for none: a keeper that does not hear
// it answers a resend that the call may have run.
func (g *Grant) conclude(ctx context.Context, end messenger.ClaimEnd, answer *messenger.KeptAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), GrantTime)
	context.AfterFunc(ctx, cancel)
	claim := &messenger.Claim{
		Key:    g.claim.GetKey(),
		Id:     g.claim.GetId(),
		End:    end,
		Answer: answer,
	}
	for _, keeper := range g.keepers {
		g.claimer.spawn(func() {
			_ = g.claimer.peers.Conclude(ctx, keeper, claim)
		})
	}
}
