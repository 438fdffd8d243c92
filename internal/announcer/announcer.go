// Package announcer maintains a process's view of the members of the overlay
// and of their targets. It does no I/O and reads no clock: its methods take
// facts and the current time, and return the facts to flood.
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

// Buckets is the number of buckets into which facts are hashed for the digests
// that members compare.
const Buckets = 64

// tombstoneRetention is how long the fact of a member that has left or is
// suspected is kept.
const tombstoneRetention = 10 * time.Minute

// An Announcer holds one fact for each member. Its methods are called from
// one goroutine.
type Announcer struct {
	self  string
	facts map[string]*record
	// digest holds the XOR of the hashes of the live members' facts for each
	// bucket. It is updated incrementally.
	digest []uint64
	// nameByAddress maps each overlay address to the name of the member that was
	// last known to use it.
	nameByAddress map[string]string
	// rings (by zone) and neighbours are caches, invalidated by each change.
	rings      map[string][]*messenger.Fact
	neighbours []*messenger.Fact
}

// record is a member's fact and the time of its last change in this process.
type record struct {
	fact      *messenger.Fact
	changedAt time.Time
	// unrepeated are the departures that earlier runs of the member announced and
	// its current run has not.
	unrepeated []*messenger.Departure
}

// New returns an Announcer that holds only self, the fact of this process.
func New(self *messenger.Fact, now time.Time) *Announcer {
	a := &Announcer{
		self:   self.GetName(),
		facts:  map[string]*record{},
		digest: make([]uint64, Buckets),
		nameByAddress: map[string]string{
			self.GetOverlayAddress(): self.GetName(),
		},
	}
	a.put(self, now)
	return a
}

// put replaces the fact of a member, and records the time of the change.
func (a *Announcer) put(fact *messenger.Fact, now time.Time) {
	unrepeated := unrepeatedDepartures(a.facts[fact.GetName()], fact)
	a.drop(fact.GetName())
	a.facts[fact.GetName()] = &record{
		fact:       fact,
		changedAt:  now,
		unrepeated: unrepeated,
	}
	a.toggleDigest(fact)
}

// drop removes a fact, and invalidates the cached rings and neighbours.
func (a *Announcer) drop(name string) {
	a.rings = map[string][]*messenger.Fact{}
	a.neighbours = nil
	if old := a.facts[name]; old != nil {
		a.toggleDigest(old.fact)
		delete(a.facts, name)
	}
}

// toggleDigest adds a live member's fact to the digest, or removes it if the
// digest includes it already.
func (a *Announcer) toggleDigest(fact *messenger.Fact) {
	if fact.GetState() != messenger.MemberState_MEMBER_ALIVE {
		return
	}
	key := fmt.Sprintf("%s %d %d", fact.GetName(), fact.GetBoot(), fact.GetSequence())
	a.digest[bucketOf(fact.GetName())] ^= xxhash.Sum64String(key)
}

// Self returns the fact of this process.
func (a *Announcer) Self() *messenger.Fact {
	return a.facts[a.self].fact
}

// Fact returns the named member's fact, or nil.
func (a *Announcer) Fact(name string) *messenger.Fact {
	if r := a.facts[name]; r != nil {
		return r.fact
	}
	return nil
}

// ChangedAt returns when the named member's fact last changed in this process, or
// the zero time if there is none.
func (a *Announcer) ChangedAt(name string) time.Time {
	if r := a.facts[name]; r != nil {
		return r.changedAt
	}
	return time.Time{}
}

// Len returns the number of facts.
func (a *Announcer) Len() int {
	return len(a.facts)
}

// Facts returns all facts, sorted by name.
func (a *Announcer) Facts() []*messenger.Fact {
	facts := make([]*messenger.Fact, 0, len(a.facts))
	for _, r := range a.facts {
		facts = append(facts, r.fact)
	}
	slices.SortFunc(facts, func(x, y *messenger.Fact) int {
		return cmp.Compare(x.GetName(), y.GetName())
	})
	return facts
}

// compare orders the facts of one member. A higher boot number supersedes a
// lower one, then a higher sequence number, then the worse state.
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

// Merge applies a fact received from another process. It returns the fact to
// flood: the same fact if it is new, or a refutation if it is about this
// process and newer than the local one. It returns nil if there is nothing new.
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
	a.markDisplaced(fact, now)
	return fact
}

// markDisplaced marks a member as left if another member now uses its overlay
// address. Failure detection cannot notice its absence, because the other
// member responds at that address. Of the two, the one with the lower boot
// number is displaced. Each process derives this from the facts by itself.
func (a *Announcer) markDisplaced(fact *messenger.Fact, now time.Time) {
	address := fact.GetOverlayAddress()
	if fact.GetState() != messenger.MemberState_MEMBER_ALIVE || address == "" {
		return
	}
	previous := a.Fact(a.nameByAddress[address])
	a.nameByAddress[address] = fact.GetName()
	present := previous != nil && previous.GetOverlayAddress() == address && previous.GetState() != messenger.MemberState_MEMBER_LEFT
	if !present || previous.GetName() == fact.GetName() {
		return
	}
	displaced := previous
	if previous.GetBoot() > fact.GetBoot() {
		displaced = fact
		a.nameByAddress[address] = previous.GetName()
	}
	if displaced.GetName() == a.self {
		return
	}
	left := proto.CloneOf(displaced)
	left.State = messenger.MemberState_MEMBER_LEFT
	left.Targets = nil
	a.put(left, now)
}

// refute returns a fact of this process that supersedes the received one, or
// nil if the received one is not newer than the local fact.
func (a *Announcer) refute(fact *messenger.Fact, now time.Time) *messenger.Fact {
	self := a.Self()
	if compare(keyOf(fact), keyOf(self)) <= 0 {
		return nil
	}
	next := proto.CloneOf(self)
	next.Sequence = max(next.GetSequence(), fact.GetSequence()) + 1
	if fact.GetBoot() > next.GetBoot() {
		next.Boot = fact.GetBoot() + 1
		next.Sequence = 1
	}
	a.put(next, now)
	return next
}

// Suspect marks the named member as suspected if it is alive and has the given
// boot number. It returns the fact to flood, or nil if nothing changed.
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

// SetTargets replaces this process's targets and departures, and returns the fact
// to flood.
func (a *Announcer) SetTargets(targets []*messenger.Target, departures []*messenger.Departure, now time.Time) *messenger.Fact {
	return a.change(now, func(next *messenger.Fact) {
		next.Targets = targets
		next.Departures = departures
	})
}

// Leave marks this process as left, removes its targets, and returns the fact
// to flood.
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

// Expire removes the facts of members that left or became suspected longer ago
// than the tombstone retention. It reports whether any were removed.
func (a *Announcer) Expire(now time.Time) bool {
	dropped := false
	for name, r := range a.facts {
		inactive := r.fact.GetState() != messenger.MemberState_MEMBER_ALIVE
		if inactive && name != a.self && now.Sub(r.changedAt) > tombstoneRetention {
			if address := r.fact.GetOverlayAddress(); a.nameByAddress[address] == name {
				delete(a.nameByAddress, address)
			}
			a.drop(name)
			dropped = true
		}
	}
	return dropped
}

// Nodes returns the facts of all nodes, except of those that left longer ago
// than retention. Control replicas are not included.
func (a *Announcer) Nodes(now time.Time, retention time.Duration) []*messenger.Fact {
	var nodes []*messenger.Fact
	for _, f := range a.Facts() {
		expired := f.GetState() == messenger.MemberState_MEMBER_LEFT && now.Sub(a.facts[f.GetName()].changedAt) > retention
		if !f.GetControl() && !expired {
			nodes = append(nodes, f)
		}
	}
	return nodes
}

// Targets returns the targets to which calls may be routed: the targets of all
// members that have not left.
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
		Version: t.GetVersion(),
		Slots:   int(t.GetSlots()),
		State:   state,
	}
}

func bucketOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name) % Buckets)
}

// Digest returns, for each bucket, the digest of the live members' facts.
func (a *Announcer) Digest() []uint64 {
	return slices.Clone(a.digest)
}

// CombineDigest returns a single hash of all buckets of a digest.
func CombineDigest(buckets []uint64) uint64 {
	total := uint64(0)
	for i, b := range buckets {
		total = total*31 + b + uint64(i)
	}
	return total
}

// Differing returns the buckets in which the local digest differs from the
// given one.
func (a *Announcer) Differing(digest []uint64) []uint32 {
	var buckets []uint32
	for i, local := range a.digest {
		if i >= len(digest) || digest[i] != local {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}

// Keys returns the keys of all facts in the given buckets.
func (a *Announcer) Keys(buckets []uint32) []*messenger.FactKey {
	var keys []*messenger.FactKey
	for _, f := range a.Facts() {
		if slices.Contains(buckets, bucketOf(f.GetName())) {
			keys = append(keys, keyOf(f))
		}
	}
	return keys
}

// Key returns the key of the named member's fact, or an empty key if the member
// is unknown.
func (a *Announcer) Key(name string) *messenger.FactKey {
	return keyOf(a.Fact(name))
}

// Missing returns the names of the keys that are newer than the local facts.
// Keys of unknown members count only if the member is alive.
func (a *Announcer) Missing(keys []*messenger.FactKey) []string {
	var names []string
	for _, k := range keys {
		known := a.Fact(k.GetName())
		missing := known == nil && k.GetState() == messenger.MemberState_MEMBER_ALIVE
		if missing || known != nil && compare(k, keyOf(known)) > 0 {
			names = append(names, k.GetName())
		}
	}
	return names
}

// Newer returns the facts in the given buckets that are newer than their keys,
// and those of live members without a key.
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
