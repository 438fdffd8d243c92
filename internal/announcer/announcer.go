// Package announcer decides what a process believes of the members of the
// overlay and of their targets. It is a pure step function: facts and the
// time go in, facts to flood come out.
package announcer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// Buckets is the number of parts that facts are compared in.
const Buckets = 64

// tombstoneLife is how long the fact of a member that is gone is kept.
const tombstoneLife = 10 * time.Minute

// An Announcer holds one fact for each member. Its methods are called from
// one goroutine.
type Announcer struct {
	self  string
	facts map[string]*held
	// digest sums up the facts of live members, and is kept up to date.
	digest []uint64
	// owners holds the name of the member that was last heard of at each
	// overlay address.
	owners map[string]string
	// rings and neighbours are worked out once after each change.
	rings      map[string][]*messenger.Fact
	neighbours []*messenger.Fact
}

type held struct {
	fact    *messenger.Fact
	changed time.Time
}

// New returns a new Announcer for the process that own describes.
func New(own *messenger.Fact, now time.Time) *Announcer {
	a := &Announcer{
		self:   own.GetName(),
		facts:  map[string]*held{},
		digest: make([]uint64, Buckets),
		owners: map[string]string{
			own.GetOverlayAddress(): own.GetName(),
		},
	}
	a.put(own, now)
	return a
}

func (a *Announcer) put(fact *messenger.Fact, now time.Time) {
	a.drop(fact.GetName())
	a.facts[fact.GetName()] = &held{
		fact:    fact,
		changed: now,
	}
	a.sum(fact)
}

// drop forgets a fact and all that was worked out from it.
func (a *Announcer) drop(name string) {
	a.rings = map[string][]*messenger.Fact{}
	a.neighbours = nil
	if old := a.facts[name]; old != nil {
		a.sum(old.fact)
		delete(a.facts, name)
	}
}

// sum adds a live member's fact to the digest, or takes it out again.
func (a *Announcer) sum(fact *messenger.Fact) {
	if fact.GetState() != messenger.MemberState_MEMBER_ALIVE {
		return
	}
	key := fmt.Sprintf("%s %d %d", fact.GetName(), fact.GetBoot(), fact.GetSequence())
	a.digest[bucketOf(fact.GetName())] ^= xxhash.Sum64String(key)
}

// Self returns this process's own fact.
func (a *Announcer) Self() *messenger.Fact {
	return a.facts[a.self].fact
}

// Fact returns the named member's fact, or nil.
func (a *Announcer) Fact(name string) *messenger.Fact {
	if h := a.facts[name]; h != nil {
		return h.fact
	}
	return nil
}

// Facts returns all facts in the order of their names.
func (a *Announcer) Facts() []*messenger.Fact {
	facts := make([]*messenger.Fact, 0, len(a.facts))
	for _, h := range a.facts {
		facts = append(facts, h.fact)
	}
	slices.SortFunc(facts, func(x, y *messenger.Fact) int {
		return cmp.Compare(x.GetName(), y.GetName())
	})
	return facts
}

// compare orders what is said of one member: a later boot, then a later
// sequence number, then the worse state.
func compare(x, y *messenger.FactKey) int {
	return cmp.Or(
		cmp.Compare(x.GetBoot(), y.GetBoot()),
		cmp.Compare(x.GetSequence(), y.GetSequence()),
		cmp.Compare(x.GetState(), y.GetState()),
	)
}

func keyOf(f *messenger.Fact) *messenger.FactKey {
	return &messenger.FactKey{
		Name:     f.GetName(),
		Boot:     f.GetBoot(),
		Sequence: f.GetSequence(),
		State:    f.GetState(),
	}
}

// Merge takes a fact from elsewhere. It returns the fact to flood, or nil if
// nothing is new: the fact itself, or the refutation of what it says of this
// process.
func (a *Announcer) Merge(fact *messenger.Fact, now time.Time) *messenger.Fact {
	if fact.GetName() == a.self {
		return a.refute(fact, now)
	}
	known := a.facts[fact.GetName()]
	if known == nil && fact.GetState() != messenger.MemberState_MEMBER_ALIVE {
		return nil
	}
	if known != nil && compare(keyOf(fact), keyOf(known.fact)) <= 0 {
		return nil
	}
	a.put(fact, now)
	a.takeOver(fact, now)
	return fact
}

// takeOver notes that a member is gone whose address another member has now.
// What answers there is that one, so that nobody would find the first silent.
// Each process works it out for itself from the facts.
func (a *Announcer) takeOver(fact *messenger.Fact, now time.Time) {
	address := fact.GetOverlayAddress()
	if fact.GetState() != messenger.MemberState_MEMBER_ALIVE || address == "" {
		return
	}
	other := a.Fact(a.owners[address])
	a.owners[address] = fact.GetName()
	here := other != nil && other.GetOverlayAddress() == address && other.GetState() != messenger.MemberState_MEMBER_LEFT
	if !here || other.GetName() == fact.GetName() {
		return
	}
	gone := other
	if other.GetBoot() > fact.GetBoot() {
		gone = fact
		a.owners[address] = other.GetName()
	}
	if gone.GetName() == a.self {
		return
	}
	left := proto.CloneOf(gone)
	left.State = messenger.MemberState_MEMBER_LEFT
	left.Targets = nil
	a.put(left, now)
}

// refute answers a fact that claims more of this process than it said itself.
func (a *Announcer) refute(fact *messenger.Fact, now time.Time) *messenger.Fact {
	own := a.Self()
	if compare(keyOf(fact), keyOf(own)) <= 0 {
		return nil
	}
	next := proto.CloneOf(own)
	next.Sequence = max(next.GetSequence(), fact.GetSequence()) + 1
	if fact.GetBoot() > next.GetBoot() {
		next.Boot = fact.GetBoot() + 1
		next.Sequence = 1
	}
	a.put(next, now)
	return next
}

// Suspect notes that the named boot of a member is not heard, and returns the
// fact to flood, or nil.
func (a *Announcer) Suspect(name string, boot uint64, now time.Time) *messenger.Fact {
	known := a.facts[name]
	if known == nil || name == a.self || known.fact.GetBoot() != boot ||
		known.fact.GetState() != messenger.MemberState_MEMBER_ALIVE {
		return nil
	}
	next := proto.CloneOf(known.fact)
	next.State = messenger.MemberState_MEMBER_SUSPECT
	a.put(next, now)
	return next
}

// SetTargets replaces this process's targets and returns the fact to flood.
func (a *Announcer) SetTargets(targets []*messenger.Target, now time.Time) *messenger.Fact {
	return a.change(now, func(next *messenger.Fact) {
		next.Targets = targets
	})
}

// Leave says that this process is going, and returns the fact to flood.
func (a *Announcer) Leave(now time.Time) *messenger.Fact {
	return a.change(now, func(next *messenger.Fact) {
		next.State = messenger.MemberState_MEMBER_LEFT
		next.Targets = nil
	})
}

func (a *Announcer) change(now time.Time, change func(*messenger.Fact)) *messenger.Fact {
	next := proto.CloneOf(a.Self())
	next.Sequence++
	change(next)
	a.put(next, now)
	return next
}

// Expire drops the facts of members that have been gone for long, and reports
// whether there were any.
func (a *Announcer) Expire(now time.Time) bool {
	dropped := false
	for name, h := range a.facts {
		gone := h.fact.GetState() != messenger.MemberState_MEMBER_ALIVE
		if gone && name != a.self && now.Sub(h.changed) > tombstoneLife {
			a.drop(name)
			dropped = true
		}
	}
	return dropped
}

// Nodes returns the facts of all nodes but those that left longer ago than a
// time.
func (a *Announcer) Nodes(now time.Time, left time.Duration) []*messenger.Fact {
	var nodes []*messenger.Fact
	for _, f := range a.Facts() {
		gone := f.GetState() == messenger.MemberState_MEMBER_LEFT && now.Sub(a.facts[f.GetName()].changed) > left
		if !f.GetControl() && !gone {
			nodes = append(nodes, f)
		}
	}
	return nodes
}

// Targets returns the targets that routes may lead to.
func (a *Announcer) Targets() []fireflymoor.Target {
	var targets []fireflymoor.Target
	for _, f := range a.Facts() {
		if f.GetState() == messenger.MemberState_MEMBER_LEFT {
			continue
		}
		for _, t := range f.GetTargets() {
			targets = append(targets, toTarget(f, t))
		}
	}
	return targets
}

func toTarget(f *messenger.Fact, t *messenger.Target) fireflymoor.Target {
	state := fireflymoor.Ready
	if t.GetState() != messenger.TargetState_TARGET_READY {
		state = fireflymoor.Draining
	}
	if f.GetState() == messenger.MemberState_MEMBER_SUSPECT {
		state = fireflymoor.Suspect
	}
	return fireflymoor.Target{
		ID:      t.GetId(),
		Service: t.GetService(),
		Node:    f.GetName(),
		Boot:    f.GetBoot(),
		Zone:    f.GetZone(),
		Team:    f.GetTeam(),
		Address: f.GetCallAddress(),
		Slots:   int(t.GetSlots()),
		State:   state,
	}
}

func bucketOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name) % Buckets)
}

// Digest sums up the facts of members that are alive, bucket by bucket.
func (a *Announcer) Digest() []uint64 {
	return slices.Clone(a.digest)
}

// Total sums up all buckets.
func Total(buckets []uint64) uint64 {
	total := uint64(0)
	for i, b := range buckets {
		total = total*31 + b + uint64(i)
	}
	return total
}

// Differing returns the buckets in which the facts differ from a digest.
func (a *Announcer) Differing(digest []uint64) []uint32 {
	var buckets []uint32
	for i, own := range a.digest {
		if i >= len(digest) || digest[i] != own {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}

// Keys lists the facts in the buckets.
func (a *Announcer) Keys(buckets []uint32) []*messenger.FactKey {
	var keys []*messenger.FactKey
	for _, f := range a.Facts() {
		if slices.Contains(buckets, bucketOf(f.GetName())) {
			keys = append(keys, keyOf(f))
		}
	}
	return keys
}

// Key returns the key of the named member's fact.
func (a *Announcer) Key(name string) *messenger.FactKey {
	return keyOf(a.Fact(name))
}

// Lacking returns the names of those keys whose facts are newer than what is
// known here.
func (a *Announcer) Lacking(keys []*messenger.FactKey) []string {
	var names []string
	for _, k := range keys {
		known := a.Fact(k.GetName())
		lacked := known == nil && k.GetState() == messenger.MemberState_MEMBER_ALIVE
		if lacked || known != nil && compare(k, keyOf(known)) > 0 {
			names = append(names, k.GetName())
		}
	}
	return names
}

// Newer returns the facts in the buckets that are newer than the keys, or
// that the keys lack.
func (a *Announcer) Newer(buckets []uint32, keys []*messenger.FactKey) []*messenger.Fact {
	byName := map[string]*messenger.FactKey{}
	for _, k := range keys {
		byName[k.GetName()] = k
	}
	var facts []*messenger.Fact
	for _, f := range a.Facts() {
		if !slices.Contains(buckets, bucketOf(f.GetName())) {
			continue
		}
		k := byName[f.GetName()]
		alive := f.GetState() == messenger.MemberState_MEMBER_ALIVE
		if (k == nil && alive) || (k != nil && compare(keyOf(f), k) > 0) {
			facts = append(facts, f)
		}
	}
	return facts
}
