// Package claimer ensures that a call with an idempotency key runs at most
// once, whichever nodes it is sent through. Before the call runs, a majority
// of the key's three keepers must grant a claim on it. A resend gets the
// outcome of the first call. A restarted node grants no claim on a key until
// it has recovered every claim that it may have granted on that key, or until
// those claims have expired.
package claimer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// GrantTimeout is the time within which a claim must be granted by a majority.
// A restarted node waits as long before it requests from other nodes the claims
// that it had granted.
const GrantTimeout = time.Second

const (
	// heldRetryDelay is the minimum delay before a claim on a key that another
	// call holds is requested again. Random jitter of up to the same duration
	// is added.
	heldRetryDelay = 50 * time.Millisecond
	// maxRedirects is how many times one claim is redirected to the keepers
	// that other nodes compute for the key.
	maxRedirects = 3
)

// Errors that explain why a call with a key was not granted a claim.
var (
	// ErrNoQuorum means that no majority of the key's keepers granted the
	// claim, and that none reported another claim on the key.
	ErrNoQuorum = errors.New("no majority of the key's keepers granted it")
	// ErrKeyInUse means that another call with the key has not ended, that its
	// outcome is unknown, or that its response was not stored.
	ErrKeyInUse = errors.New("another call with the key may have run")
	// ErrKeyReused means that the key was used for a call with another
	// fingerprint.
	ErrKeyReused = errors.New("the key was used for another call")
)

// Peers sends requests to the keepers.
type Peers interface {
	// Ring returns the nodes that may be keepers.
	Ring() *Ring
	// Take requests a claim from a keeper.
	Take(ctx context.Context, keeper string, request *messenger.TakeRequest) (*messenger.TakeReply, error)
	// Conclude reports the outcome of a claim's call to a keeper.
	Conclude(ctx context.Context, keeper string, claim *messenger.Claim) error
	// Sync requests from a keeper those of its claims that the named node is a
	// keeper of as well.
	Sync(ctx context.Context, keeper, name string) (*messenger.SyncReply, error)
}

// A Claimer obtains claims for the calls that callers send to one node.
type Claimer struct {
	peers Peers
	now   func() time.Time
	// spawn runs send concurrently with the requests to other keepers.
	spawn func(send func())
	// syncInterval is the time between sync requests to partners.
	syncInterval time.Duration
}

// New returns a new Claimer that reaches keepers through peers.
func New(peers Peers, now func() time.Time) *Claimer {
	return &Claimer{
		peers:        peers,
		now:          now,
		spawn:        func(send func()) { go send() },
		syncInterval: defaultSyncInterval,
	}
}

// A Grant is a claim that a majority of keepers granted. Its call may run once.
type Grant struct {
	claimer *Claimer
	claim   *messenger.Claim
	keepers []string
}

// takeResult sums up the keepers' replies to one claim.
type takeResult struct {
	granted         int
	proposedKeepers []string
	held            *messenger.Claim
	released        []string
}

// Claim requests a claim on key for a call with the fingerprint. It returns a
// Grant, or the stored response to the key's first call, or one of this
// package's errors. While the first call runs, Claim waits for it until ctx is
// done.
func (c *Claimer) Claim(ctx context.Context, key string, fingerprint uint64) (*Grant, *messenger.KeptAnswer, error) {
	keepers := c.peers.Ring().Keepers(key)
	var released []string
	for redirects := 0; ; {
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
		r := c.requestGrant(ctx, grant, released)
		released = append(released, r.released...)
		if r.granted > len(keepers)/2 {
			return grant, nil, nil
		}
		grant.Release(ctx)
		released = append(released, claim.GetId())
		switch {
		case r.held != nil:
			answer, err := resolveHeld(r.held, fingerprint)
			if answer != nil || err != nil {
				return nil, answer, err
			}
		case len(r.proposedKeepers) >= len(keepers) && redirects < maxRedirects:
			// A node that computes fewer keepers has not yet discovered enough
			// members.
			redirects++
			keepers = r.proposedKeepers
			continue
		default:
			return nil, nil, ErrNoQuorum
		}
		if !wait(ctx, heldRetryDelay+rand.N(heldRetryDelay)) {
			return nil, nil, ErrKeyInUse
		}
	}
}

// resolveHeld returns what a call gets if another claim holds its key: the
// stored response or an error. Both are nil if the other call has not ended.
func resolveHeld(held *messenger.Claim, fingerprint uint64) (*messenger.KeptAnswer, error) {
	switch {
	case held.GetFingerprint() != fingerprint:
		return nil, ErrKeyReused
	case held.GetAnswer() != nil:
		return held.GetAnswer(), nil
	case held.GetEnd() == messenger.ClaimEnd_CLAIM_UNKNOWN, held.GetEnd() == messenger.ClaimEnd_CLAIM_ANSWERED:
		return nil, ErrKeyInUse
	}
	return nil, nil
}

// wait waits for d. It reports false if ctx is done first.
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

// requestGrant requests the claim from all keepers at once. It returns as soon
// as a majority has granted the claim, or all requests have completed, failed
// or timed out. A majority that took GrantTimeout or longer does not count,
// because a keeper may have restarted in the meantime.
func (c *Claimer) requestGrant(ctx context.Context, grant *Grant, released []string) takeResult {
	start := c.now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), GrantTimeout)
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
	r := takeResult{}
	for range grant.keepers {
		r.add(<-replies)
		if r.granted > len(grant.keepers)/2 {
			break
		}
	}
	if c.now().Sub(start) >= GrantTimeout {
		r.granted = 0
	}
	return r
}

// add records one keeper's reply.
func (r *takeResult) add(reply *messenger.TakeReply) {
	if id := reply.GetReleased(); id != "" {
		r.released = append(r.released, id)
	}
	switch reply.GetVerdict() {
	case messenger.ClaimVerdict_CLAIM_GRANTED:
		r.granted++
	case messenger.ClaimVerdict_CLAIM_MISPLACED:
		r.proposedKeepers = reply.GetKeepers()
	case messenger.ClaimVerdict_CLAIM_HELD:
		if r.held == nil || hasAnswer(reply.GetHeld()) {
			r.held = reply.GetHeld()
		}
	}
}

// hasAnswer reports whether a claim includes the response to its call.
func hasAnswer(held *messenger.Claim) bool {
	return held.GetAnswer() != nil
}

// RecordResponse reports the response to the keepers. A nil answer means that
// the response is too long to be stored.
func (g *Grant) RecordResponse(ctx context.Context, answer *messenger.KeptAnswer) {
	g.conclude(ctx, messenger.ClaimEnd_CLAIM_ANSWERED, answer)
}

// Release releases the claim. Its call has not run and will not run.
func (g *Grant) Release(ctx context.Context) {
	g.conclude(ctx, messenger.ClaimEnd_CLAIM_NOT_RUN, nil)
}

// RecordUnknown reports to the keepers that it is not known whether the call
// ran.
func (g *Grant) RecordUnknown(ctx context.Context) {
	g.conclude(ctx, messenger.ClaimEnd_CLAIM_UNKNOWN, nil)
}

// conclude sends the outcome to all keepers without waiting for them. A keeper
// that does not receive it treats the call as one that may have run.
func (g *Grant) conclude(ctx context.Context, end messenger.ClaimEnd, answer *messenger.KeptAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), GrantTimeout)
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
