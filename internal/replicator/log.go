package replicator

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

func membershipEntry(index, term uint64, membership *messenger.Membership) *messenger.Entry {
	data, err := proto.Marshal(membership)
	if err != nil {
		panic(err)
	}
	return &messenger.Entry{
		Index: index,
		Term:  term,
		Kind:  messenger.EntryKind_ENTRY_MEMBERSHIP,
		Data:  data,
	}
}

func (r *Replicator) snapshotIndex() uint64 {
	return r.durable.Snapshot.GetIndex()
}

func (r *Replicator) lastIndex() uint64 {
	return r.snapshotIndex() + uint64(len(r.durable.Entries))
}

func (r *Replicator) entryAt(index uint64) *messenger.Entry {
	return r.durable.Entries[index-r.snapshotIndex()-1]
}

// termAt returns the term of the entry at index, which must be in the log or
// be the snapshot's own.
func (r *Replicator) termAt(index uint64) uint64 {
	if index == r.snapshotIndex() {
		return r.durable.Snapshot.GetTerm()
	}
	return r.entryAt(index).GetTerm()
}

// append writes entries after the last one.
func (r *Replicator) append(entries []*messenger.Entry) {
	if len(entries) == 0 {
		return
	}
	save := r.save()
	if save.From == 0 || save.From > entries[0].GetIndex() {
		save.From = entries[0].GetIndex()
		save.Entries = nil
	}
	keep := entries[0].GetIndex() - save.From
	save.Entries = append(save.Entries[:keep:keep], entries...)
	head := entries[0].GetIndex() - r.snapshotIndex() - 1
	r.durable.Entries = append(r.durable.Entries[:head:head], entries...)
}

func (r *Replicator) appendOwn(kind messenger.EntryKind, data []byte) {
	r.append([]*messenger.Entry{
		{
			Index: r.lastIndex() + 1,
			Term:  r.durable.Term,
			Kind:  kind,
			Data:  data,
		},
	})
}

// members returns the voters by the latest entry that names them, committed
// or not.
func (r *Replicator) members() []*messenger.Member {
	return r.membership().GetMembers()
}

// membership returns the latest membership. It is decoded once: it is asked
// for with every message.
func (r *Replicator) membership() *messenger.Membership {
	at := r.membershipIndex(r.lastIndex())
	if r.decoded == nil || r.decodedAt != at || (at > r.snapshotIndex() && r.decodedTerm != r.termAt(at)) {
		r.decoded = r.membershipAt(r.lastIndex())
		r.decodedAt = at
		r.decodedTerm = r.termAt(at)
	}
	return r.decoded
}

func (r *Replicator) membershipAt(index uint64) *messenger.Membership {
	at := r.membershipIndex(index)
	if at == r.snapshotIndex() {
		return r.durable.Snapshot.GetMembership()
	}
	membership := &messenger.Membership{}
	if err := proto.Unmarshal(r.entryAt(at).GetData(), membership); err != nil {
		panic(err)
	}
	return membership
}

// membershipIndex returns where the membership in force at index stands.
func (r *Replicator) membershipIndex(index uint64) uint64 {
	for i := index; i > r.snapshotIndex(); i-- {
		if r.entryAt(i).GetKind() == messenger.EntryKind_ENTRY_MEMBERSHIP {
			return i
		}
	}
	return r.snapshotIndex()
}

// upToDate says whether a log that ends at index and term holds all that this
// one may have committed.
func (r *Replicator) upToDate(index, term uint64) bool {
	last := r.termAt(r.lastIndex())
	if term != last {
		return term > last
	}
	return index >= r.lastIndex()
}
