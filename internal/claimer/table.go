package claimer

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// maxClaims bounds the claims that a keeper holds.
	maxClaims = 100_000
	// maxKept bounds the bodies of all answers that a keeper holds, in bytes.
	maxKept = 16 << 20
)

// A Table is the claims that one node keeps. A table that has just been made
// may lack claims that this node granted before it restarted: until it has
// been synced with a key's other keepers, or all that it may lack has run
// out, it grants none on that key.
type Table struct {
	name   string
	window time.Duration
	born   time.Time

	lock   sync.Mutex
	synced map[string]bool
	whole  bool
	claims map[string]*kept
	order  []*kept
	bytes  int
}

// kept is a claim in a table. One that was not granted is only noted: it may
// have been granted by the other keepers.
type kept struct {
	claim   *messenger.Claim
	at      time.Time
	granted bool
}

// NewTable returns a new Table for the named node. A claim is kept for a
// window of time.
func NewTable(name string, window time.Duration, now time.Time) *Table {
	return &Table{
		name:   name,
		window: window,
		born:   now,
		synced: map[string]bool{},
		claims: map[string]*kept{},
	}
}

// Complete says whether the table lacks nothing that this node granted.
func (t *Table) Complete(now time.Time) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.isComplete(now)
}

func (t *Table) isComplete(now time.Time) bool {
	return t.whole || now.Sub(t.born) >= t.window
}

// isCompleteFor says whether the table lacks nothing on a key with the
// keepers: a majority for a claim that it lacks has another of them.
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

// Synced says whether the table has been synced with the named partner.
func (t *Table) Synced(partner string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.synced[partner]
}

// Born returns when the table was made.
func (t *Table) Born() time.Time {
	return t.born
}

// Take answers a request for a claim. The ring is the one that this node
// believes in.
func (t *Table) Take(request *messenger.TakeRequest, ring *Ring, now time.Time) *messenger.TakeReply {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(now)
	asked := request.GetClaim()
	held := t.claims[asked.GetKey()]
	replaced := ""
	if held != nil && held.claim.GetId() != asked.GetId() {
		id := held.claim.GetId()
		if held.claim.GetEnd() != messenger.ClaimEnd_CLAIM_NOT_RUN && !slices.Contains(request.GetReleased(), id) {
			return &messenger.TakeReply{
				Verdict: messenger.ClaimVerdict_CLAIM_HELD,
				Held:    held.claim,
			}
		}
		replaced = id
	}
	own := ring.Keepers(asked.GetKey())
	if !slices.Equal(own, request.GetKeepers()) || !slices.Contains(own, t.name) {
		return &messenger.TakeReply{
			Verdict:  messenger.ClaimVerdict_CLAIM_MISPLACED,
			Released: replaced,
			Keepers:  own,
		}
	}
	reply := &messenger.TakeReply{
		Released: replaced,
	}
	if held == nil && len(t.claims) >= maxClaims {
		return reply
	}
	granted := t.isCompleteFor(own, now)
	t.put(asked, now, granted)
	if granted {
		reply.Verdict = messenger.ClaimVerdict_CLAIM_GRANTED
	}
	return reply
}

// put takes a claim in place of the key's earlier one.
func (t *Table) put(claim *messenger.Claim, at time.Time, granted bool) {
	if held := t.claims[claim.GetKey()]; held != nil {
		if held.claim.GetId() == claim.GetId() {
			held.granted = held.granted || granted
			return
		}
		t.bytes -= len(held.claim.GetAnswer().GetBody())
	}
	k := &kept{
		claim:   claim,
		at:      at,
		granted: granted,
	}
	t.bytes += len(claim.GetAnswer().GetBody())
	t.claims[claim.GetKey()] = k
	t.order = append(t.order, k)
}

// Conclude notes what became of a claim's call.
func (t *Table) Conclude(claim *messenger.Claim) {
	t.lock.Lock()
	defer t.lock.Unlock()
	held := t.claims[claim.GetKey()]
	if held == nil || held.claim.GetId() != claim.GetId() || held.claim.GetEnd() != messenger.ClaimEnd_CLAIM_OPEN {
		return
	}
	next := &messenger.Claim{
		Key:         claim.GetKey(),
		Id:          claim.GetId(),
		Fingerprint: held.claim.GetFingerprint(),
		End:         claim.GetEnd(),
	}
	size := len(claim.GetAnswer().GetBody())
	if claim.GetAnswer() != nil && t.bytes+size <= maxKept {
		next.Answer = claim.GetAnswer()
		t.bytes += size
	}
	held.claim = next
}

// expire drops the claims whose window has passed.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].at) >= t.window {
		first := t.order[0]
		t.order = t.order[1:]
		if t.claims[first.claim.GetKey()] == first {
			t.bytes -= len(first.claim.GetAnswer().GetBody())
			delete(t.claims, first.claim.GetKey())
		}
	}
}

// For returns the claims that the named node is a keeper of by a ring,
// without their answers' bodies.
func (t *Table) For(name string, ring *Ring, now time.Time) []*messenger.Claim {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(now)
	var claims []*messenger.Claim
	for key, k := range t.claims {
		if !slices.Contains(ring.Keepers(key), name) {
			continue
		}
		claims = append(claims, &messenger.Claim{
			Key:             key,
			Id:              k.claim.GetId(),
			Fingerprint:     k.claim.GetFingerprint(),
			End:             k.claim.GetEnd(),
			AgeMilliseconds: uint32(now.Sub(k.at).Milliseconds()),
		})
	}
	return claims
}

// Adopt takes the claims that a partner of this node holds for it. A claim
// that was only noted here gives way: the partner would have refused it.
// Where partners hold different claims either may have been granted, and the
// key stays taken for its window.
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
	slices.SortStableFunc(t.order, func(a, b *kept) int {
		return a.at.Compare(b.at)
	})
	t.synced[partner] = true
}

func (t *Table) adopt(c *messenger.Claim, now time.Time) {
	at := now.Add(-time.Duration(c.GetAgeMilliseconds()) * time.Millisecond)
	other := t.claims[c.GetKey()]
	if other != nil && other.granted && other.claim.GetId() != c.GetId() {
		c = &messenger.Claim{
			Key:         c.GetKey(),
			Fingerprint: c.GetFingerprint(),
			End:         messenger.ClaimEnd_CLAIM_UNKNOWN,
		}
	}
	t.put(c, at, true)
}

// SetWhole notes that all partners have been synced with.
func (t *Table) SetWhole() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.whole = true
}

// Len returns the number of claims held.
func (t *Table) Len() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.claims)
}
