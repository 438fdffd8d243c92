package replicator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// Suspend discards the last step, whose write to disk failed, and takes the
// replica out of the log until Resume. The durable state is the one that the
// disk still holds, and applied is the index of the last applied entry. While it
// is suspended, the replica neither votes nor leads nor acknowledges entries,
// because it could not keep such a promise. It still learns who leads, so that
// reads and proposals can be passed on.
func (r *Replicator) Suspend(durable DurableState, applied uint64) {
	r.durable = durable
	r.commit = max(applied, r.snapshotIndex())
	r.applied = r.commit
	r.role = Follower
	r.leader = ""
	r.votes = nil
	r.progress = nil
	r.pendingReads = nil
	r.queuedReads = nil
	r.cachedMembership = nil
	r.effects = Effects{}
	r.suspended = true
}

// Resume lets a suspended replica take part in the log again.
func (r *Replicator) Resume(now time.Time) {
	r.suspended = false
	r.resetElection(now)
}

// Suspended reports whether the replica is suspended.
func (r *Replicator) Suspended() bool {
	return r.suspended
}

// stepSuspended processes a message while the replica is suspended.
func (r *Replicator) stepSuspended(m *messenger.ReplicaMessage, now time.Time) {
	switch m.GetKind() {
	case messenger.ReplicaMessageKind_READ_REPLY:
		r.onReadReply(m)
	case messenger.ReplicaMessageKind_APPEND, messenger.ReplicaMessageKind_INSTALL:
		if m.GetTerm() >= r.durable.Term {
			r.leader = m.GetFrom()
			r.leaderContact = now
		}
	}
}
