package replicator

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// countFounding proposes a larger size if there are founding replicas that it does not
// count. Each of them counts once, by its name: a process keeps saying that it is
// founding while it runs, also after it was removed or replaced.
func (r *Replicator) countFounding() bool {
	membership := r.membership()
	if membership.GetSize() == 0 || !r.hasFoundingPeer() {
		return false
	}
	counted, ok := r.countedFounding()
	if !ok {
		return false
	}
	var added []string
	for name, peer := range r.peers {
		if peer.Founding && !slices.Contains(counted, name) {
			added = append(added, name)
		}
	}
	if len(added) == 0 {
		return false
	}
	slices.Sort(added)
	r.proposeMembership(&messenger.Membership{
		Members:  membership.GetMembers(),
		Size:     membership.GetSize() + uint32(len(added)),
		Founding: slices.Concat(counted, added),
	})
	return true
}

func (r *Replicator) hasFoundingPeer() bool {
	for _, peer := range r.peers {
		if peer.Founding {
			return true
		}
	}
	return false
}

// countedFounding returns the names of the replicas that the size counts. If a build that
// does not know the field has written the latest membership, all that have been members
// since the last one with the field, or since the start of the log, are taken for counted.
// It returns false if a snapshot has replaced that part of the log: the size is not
// increased then, as replicas that were founding may have been members before.
func (r *Replicator) countedFounding() ([]string, bool) {
	if founding := r.membership().GetFounding(); len(founding) > 0 {
		return founding, true
	}
	counted := map[string]bool{}
	count := func(membership *messenger.Membership) {
		for _, m := range membership.GetMembers() {
			counted[m.GetName()] = true
		}
		for _, name := range membership.GetFounding() {
			counted[name] = true
		}
	}
	if snapshot := r.durable.Snapshot; snapshot != nil {
		if len(snapshot.GetMembership().GetFounding()) == 0 {
			return nil, false
		}
		count(snapshot.GetMembership())
	}
	for _, e := range r.durable.Entries {
		if e.GetKind() == messenger.EntryKind_ENTRY_MEMBERSHIP {
			count(decodeMembership(e))
		}
	}
	return slices.Sorted(maps.Keys(counted)), true
}

// decodeMembership returns the membership of an entry that is valid.
func decodeMembership(e *messenger.Entry) *messenger.Membership {
	membership := &messenger.Membership{}
	if err := proto.Unmarshal(e.GetData(), membership); err != nil {
		panic(err)
	}
	return membership
}
