package replicator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// onRead answers once a quorum has confirmed that this replica still leads.
func (r *Replicator) onRead(m *messenger.ReplicaMessage, now time.Time) {
	if r.role == Leader {
		r.startRead(m.GetToken(), m.GetFrom(), now)
	}
}

// startRead is dropped until an entry of the leader's own term is committed;
// the reader asks again.
func (r *Replicator) startRead(token uint64, from string, now time.Time) {
	if r.termAt(r.commit) != r.durable.Term {
		return
	}
	r.asked = append(r.asked, pendingRead{
		token: token,
		from:  from,
	})
	r.startRound(now)
}

// startRound begins a round for the reads that wait for one, unless another
// round of reads is under way: many reads at once share the next one.
func (r *Replicator) startRound(now time.Time) {
	if len(r.reads) > 0 || len(r.asked) == 0 {
		return
	}
	r.replicate(now)
	for _, read := range r.asked {
		read.index = r.commit
		read.round = r.round
		r.reads = append(r.reads, read)
	}
	r.asked = nil
	r.answerReads(now)
}

func (r *Replicator) answerReads(now time.Time) {
	waiting := r.reads[:0]
	for _, read := range r.reads {
		if !r.roundConfirmed(read.round) {
			waiting = append(waiting, read)
			continue
		}
		r.answerRead(read)
	}
	r.reads = waiting
	r.startRound(now)
}

func (r *Replicator) roundConfirmed(round uint64) bool {
	confirmed := 1
	for name, p := range r.progress {
		if p.round >= round && r.counts(name, p.disk) {
			confirmed++
		}
	}
	return confirmed >= r.quorum()
}

func (r *Replicator) answerRead(read pendingRead) {
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
