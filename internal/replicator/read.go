package replicator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// onRead queues a read for another replica. The reply is sent once a quorum has
// confirmed that this replica is still the leader.
func (r *Replicator) onRead(m *messenger.ReplicaMessage, now time.Time) {
	if r.role == Leader {
		r.queueRead(m.GetToken(), m.GetFrom(), now)
	}
}

// onReadReply completes a read that the leader has confirmed.
func (r *Replicator) onReadReply(m *messenger.ReplicaMessage) {
	r.effects.Reads = append(r.effects.Reads, Read{
		Token: m.GetToken(),
		Index: m.GetIndex(),
	})
}

// queueRead adds a read to the next round. Until an entry of the leader's
// current term is committed, the read is dropped and the reader must retry.
func (r *Replicator) queueRead(token uint64, from string, now time.Time) {
	if r.termAt(r.commit) != r.durable.Term {
		return
	}
	r.queuedReads = append(r.queuedReads, pendingRead{
		token: token,
		from:  from,
	})
	r.startReadRound(now)
}

// startReadRound starts a confirmation round for the queued reads, unless
// another round is in progress. Reads that arrive during a round share the next
// one.
func (r *Replicator) startReadRound(now time.Time) {
	if len(r.pendingReads) > 0 || len(r.queuedReads) == 0 {
		return
	}
	r.replicate(now)
	for _, read := range r.queuedReads {
		read.index = r.commit
		read.round = r.round
		r.pendingReads = append(r.pendingReads, read)
	}
	r.queuedReads = nil
	r.completeReads(now)
}

// completeReads completes the reads whose round a quorum has confirmed, and
// starts the next round if none is left.
func (r *Replicator) completeReads(now time.Time) {
	waiting := r.pendingReads[:0]
	for _, read := range r.pendingReads {
		if !r.roundConfirmed(read.round) {
			waiting = append(waiting, read)
			continue
		}
		r.completeRead(read)
	}
	r.pendingReads = waiting
	r.startReadRound(now)
}

func (r *Replicator) roundConfirmed(round uint64) bool {
	confirmed := 1
	for name, p := range r.progress {
		if p.ackedRound >= round && r.countsInQuorum(name, p.disk) {
			confirmed++
		}
	}
	return confirmed >= r.quorum()
}

func (r *Replicator) completeRead(read pendingRead) {
	if read.from == r.config.Name {
		r.effects.Reads = append(r.effects.Reads, Read{
			Token: read.token,
			Index: read.index,
		})
		return
	}
	r.send(&messenger.ReplicaMessage{
		Kind:  messenger.ReplicaMessageKind_READ_REPLY,
		To:    read.from,
		Token: read.token,
		Index: read.index,
	})
}
