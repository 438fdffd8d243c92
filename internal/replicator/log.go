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

// termAt returns the term of the entry at index. The index must be in the log
// or be the index of the snapshot.
func (r *Replicator) termAt(index uint64) uint64 {
	if index == r.snapshotIndex() {
		return r.durable.Snapshot.GetTerm()
	}
	return r.entryAt(index).GetTerm()
}

// truncateAndAppend writes consecutive entries and deletes any entries at or
// after the index of the first of them.
func (r *Replicator) truncateAndAppend(entries []*messenger.Entry) {
	if len(entries) == 0 {
		return
	}
	save := r.pendingSave()
	if save.From == 0 || save.From > entries[0].GetIndex() {
		save.From = entries[0].GetIndex()
		save.Entries = nil
	}
	keep := entries[0].GetIndex() - save.From
	save.Entries = append(save.Entries[:keep:keep], entries...)
	prefix := entries[0].GetIndex() - r.snapshotIndex() - 1
	r.durable.Entries = append(r.durable.Entries[:prefix:prefix], entries...)
}

// appendEntry appends one new entry in the current term.
func (r *Replicator) appendEntry(kind messenger.EntryKind, data []byte) {
	r.truncateAndAppend([]*messenger.Entry{
		{
			Index: r.lastIndex() + 1,
			Term:  r.durable.Term,
			Kind:  kind,
			Data:  data,
		},
	})
}

// members returns the voting members of the latest membership.
func (r *Replicator) members() []*messenger.Member {
	return r.membership().GetMembers()
}

// membership returns the latest membership in the log, whether committed or
// not. The decoded value is cached because it is needed for every message.
func (r *Replicator) membership() *messenger.Membership {
	at := r.membershipIndex(r.lastIndex())
	if r.cachedMembership == nil || r.cachedIndex != at || (at > r.snapshotIndex() && r.cachedTerm != r.termAt(at)) {
		r.cachedMembership = r.membershipAt(r.lastIndex())
		r.cachedIndex = at
		r.cachedTerm = r.termAt(at)
	}
	return r.cachedMembership
}

// membershipAt returns the membership in force at index.
func (r *Replicator) membershipAt(index uint64) *messenger.Membership {
	at := r.membershipIndex(index)
	if at == r.snapshotIndex() {
		return r.durable.Snapshot.GetMembership()
	}
	return decodeMembership(r.entryAt(at))
}

// membershipIndex returns the index of the entry or snapshot that has the
// membership in force at index.
func (r *Replicator) membershipIndex(index uint64) uint64 {
	for i := index; i > r.snapshotIndex(); i-- {
		if r.entryAt(i).GetKind() == messenger.EntryKind_ENTRY_MEMBERSHIP {
			return i
		}
	}
	return r.snapshotIndex()
}

// upToDate reports whether a log whose last entry has index and term is at
// least as up to date as this log, so that it has every entry that may have
// been committed here.
func (r *Replicator) upToDate(index, term uint64) bool {
	last := r.termAt(r.lastIndex())
	if term != last {
		return term > last
	}
	return index >= r.lastIndex()
}
