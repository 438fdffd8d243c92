package claimer

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// maxClaims is the maximum number of claims that a keeper holds.
	maxClaims = 100_000
	// maxAnswerBytes is the maximum total size of the response bodies that a
	// keeper holds.
	maxAnswerBytes = 16 << 20
)

// A Table holds the claims that one node stores as a keeper. A new table may
// lack claims that the node granted before a restart. It grants no claim on a
// key until it has been synced with the key's other keepers, or until every
// claim that it may lack has expired.
type Table struct {
	name    string
	window  time.Duration
	created time.Time

	lock        sync.Mutex
	synced      map[string]bool
	allSynced   bool
	claims      map[string]*entry
	order       []*entry
	answerBytes int
}

// entry is a claim in a table. A claim that this node did not grant is recorded
// as well, because the other keepers may have granted it.
type entry struct {
	claim    *messenger.Claim
	recorded time.Time
	granted  bool
}

// NewTable returns a new Table for the named node. Claims expire after window.
func NewTable(name string, window time.Duration, now time.Time) *Table {
	return &Table{
		name:    name,
		window:  window,
		created: now,
		synced:  map[string]bool{},
		claims:  map[string]*entry{},
	}
}

// Complete reports whether the table holds every unexpired claim that this node
// granted, including those from before a restart.
func (t *Table) Complete(now time.Time) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.isComplete(now)
}

func (t *Table) isComplete(now time.Time) bool {
	return t.allSynced || now.Sub(t.created) >= t.window
}

// isCompleteFor reports whether the table lacks no claim on a key with the
// given keepers. It is enough to have synced with the other keepers, because a
// majority that granted a missing claim includes at least one of them.
func (t *Table) isCompleteFor(keepers []string, now time.Time) bool {
	if t.isComplete(now) {
		return true
	}
	for _, name := range keepers {
		if name != t.name && !t.synced[name] {
			return false
		}
	}
	return len(keepers) > 1
}

// Synced reports whether the table has been synced with the named partner.
func (t *Table) Synced(partner string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.synced[partner]
}

// Created returns the time at which the table was created.
func (t *Table) Created() time.Time {
	return t.created
}

// Take handles a request for a claim. The ring is this node's view of the
// members.
func (t *Table) Take(request *messenger.TakeRequest, ring *Ring, now time.Time) *messenger.TakeReply {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(now)
	claim := request.GetClaim()
	held := t.claims[claim.GetKey()]
	replaced := ""
	if held != nil && held.claim.GetId() != claim.GetId() {
		id := held.claim.GetId()
		if held.claim.GetEnd() != messenger.ClaimEnd_CLAIM_NOT_RUN && !slices.Contains(request.GetReleased(), id) {
			return &messenger.TakeReply{
				Verdict: messenger.ClaimVerdict_CLAIM_HELD,
				Held:    held.claim,
			}
		}
		replaced = id
	}
	localKeepers := ring.Keepers(claim.GetKey())
	if !slices.Equal(localKeepers, request.GetKeepers()) || !slices.Contains(localKeepers, t.name) {
		return &messenger.TakeReply{
			Verdict:  messenger.ClaimVerdict_CLAIM_MISPLACED,
			Released: replaced,
			Keepers:  localKeepers,
		}
	}
	reply := &messenger.TakeReply{
		Released: replaced,
	}
	if held == nil && len(t.claims) >= maxClaims {
		return reply
	}
	granted := t.isCompleteFor(localKeepers, now)
	t.put(claim, now, granted)
	if granted {
		reply.Verdict = messenger.ClaimVerdict_CLAIM_GRANTED
	}
	return reply
}

// put stores a claim and replaces an earlier claim on its key. If the claim is
// stored already, only its granted mark is updated.
func (t *Table) put(claim *messenger.Claim, at time.Time, granted bool) {
	if held := t.claims[claim.GetKey()]; held != nil {
		if held.claim.GetId() == claim.GetId() {
			held.granted = held.granted || granted
			return
		}
		t.answerBytes -= len(held.claim.GetAnswer().GetBody())
	}
	e := &entry{
		claim:    claim,
		recorded: at,
		granted:  granted,
	}
	t.answerBytes += len(claim.GetAnswer().GetBody())
	t.claims[claim.GetKey()] = e
	t.order = append(t.order, e)
}

// Conclude records the outcome of a claim's call.
func (t *Table) Conclude(claim *messenger.Claim) {
	t.lock.Lock()
	defer t.lock.Unlock()
	held := t.claims[claim.GetKey()]
	if held == nil || held.claim.GetId() != claim.GetId() || held.claim.GetEnd() != messenger.ClaimEnd_CLAIM_OPEN {
		return
	}
	concluded := &messenger.Claim{
		Key:         claim.GetKey(),
		Id:          claim.GetId(),
		Fingerprint: held.claim.GetFingerprint(),
		End:         claim.GetEnd(),
	}
	size := len(claim.GetAnswer().GetBody())
	if claim.GetAnswer() != nil && t.answerBytes+size <= maxAnswerBytes {
		concluded.Answer = claim.GetAnswer()
		t.answerBytes += size
	}
	held.claim = concluded
}

// expire removes the claims whose window has passed.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].recorded) >= t.window {
		first := t.order[0]
		t.order = t.order[1:]
		if t.claims[first.claim.GetKey()] == first {
			t.answerBytes -= len(first.claim.GetAnswer().GetBody())
			delete(t.claims, first.claim.GetKey())
		}
	}
}

// ClaimsFor returns the claims that the named node is a keeper of according to
// the ring. They do not include the stored responses.
func (t *Table) ClaimsFor(name string, ring *Ring, now time.Time) []*messenger.Claim {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(now)
	var claims []*messenger.Claim
	for key, e := range t.claims {
		if !slices.Contains(ring.Keepers(key), name) {
			continue
		}
		claims = append(claims, &messenger.Claim{
			Key:             key,
			Id:              e.claim.GetId(),
			Fingerprint:     e.claim.GetFingerprint(),
			End:             e.claim.GetEnd(),
			AgeMilliseconds: uint32(now.Sub(e.recorded).Milliseconds()),
		})
	}
	return claims
}

// Adopt adds the claims that a partner returned for this node, and marks the
// partner as synced. A claim that is recorded here but was not granted is
// replaced, because the partner would have refused it. If partners hold
// different claims on a key, either may have been granted, and the key stays
// claimed for its window.
func (t *Table) Adopt(partner string, claims []*messenger.Claim, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.synced[partner] || t.isComplete(now) {
		return
	}
	for _, c := range claims {
		if c.GetEnd() != messenger.ClaimEnd_CLAIM_NOT_RUN {
			t.adopt(c, now)
		}
	}
	slices.SortStableFunc(t.order, func(a, b *entry) int {
		return a.recorded.Compare(b.recorded)
	})
	t.synced[partner] = true
}

// adopt adds one claim. If the table already has a different granted claim on
// the key, the key's outcome becomes unknown.
func (t *Table) adopt(c *messenger.Claim, now time.Time) {
	at := now.Add(-time.Duration(c.GetAgeMilliseconds()) * time.Millisecond)
	existing := t.claims[c.GetKey()]
	if existing != nil && existing.granted && existing.claim.GetId() != c.GetId() {
		c = &messenger.Claim{
			Key:         c.GetKey(),
			Fingerprint: c.GetFingerprint(),
			End:         messenger.ClaimEnd_CLAIM_UNKNOWN,
		}
	}
	t.put(c, at, true)
}

// SetAllSynced marks the table as synced with all partners.
func (t *Table) SetAllSynced() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.allSynced = true
}

// Len returns the number of stored claims.
func (t *Table) Len() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.claims)
}
