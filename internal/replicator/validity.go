package replicator

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// maxTerm is the highest term that a message may have. A term near the largest
// number would end all elections, as the next one could not be greater.
const maxTerm = 1 << 62

// Validate returns an error if a message from another replica is malformed, so
// that Step must not be called with it.
func Validate(m *messenger.ReplicaMessage) error {
	switch {
	case m.GetFrom() == "":
		return errors.New("replicator: the message has no sender")
	case m.GetTerm() > maxTerm || m.GetLogTerm() > maxTerm:
		return errors.Newf("replicator: term %d is out of range", max(m.GetTerm(), m.GetLogTerm()))
	}
	switch m.GetKind() {
	case messenger.ReplicaMessageKind_APPEND:
		return validateEntries(m)
	case messenger.ReplicaMessageKind_INSTALL:
		s := m.GetSnapshot()
		if s.GetIndex() == 0 || s.GetTerm() > m.GetTerm() || len(s.GetMembership().GetMembers()) == 0 {
			return errors.Newf("replicator: the snapshot at entry %d is incomplete", s.GetIndex())
		}
	}
	return nil
}

// validateEntries returns an error unless the entries of an append message follow
// its index without a gap, in the order of their terms.
func validateEntries(m *messenger.ReplicaMessage) error {
	index, term := m.GetIndex(), uint64(0)
	for _, e := range m.GetEntries() {
		index++
		if e.GetIndex() != index || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return errors.Newf("replicator: entry %d of term %d is out of order", e.GetIndex(), e.GetTerm())
		}
		term = e.GetTerm()
		if e.GetKind() != messenger.EntryKind_ENTRY_MEMBERSHIP {
			continue
		}
		membership := &messenger.Membership{}
		if err := proto.Unmarshal(e.GetData(), membership); err != nil || len(membership.GetMembers()) == 0 {
			return errors.Newf("replicator: the membership of entry %d is unreadable", e.GetIndex())
		}
	}
	return nil
}
