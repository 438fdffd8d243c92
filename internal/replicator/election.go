package replicator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// mayVote reports whether this replica's disk is the disk that the candidate's
// membership lists for it. A disk that is not listed has not been admitted and
// may lack committed entries, so its vote could lose them.
func (r *Replicator) mayVote(expectedDisk string) bool {
	return r.config.AdmitAnyDisk || expectedDisk == r.config.Disk
}

// memberDisk returns the disk id of a member, and false if name is no member.
func (r *Replicator) memberDisk(name string) (string, bool) {
	for _, m := range r.members() {
		if m.GetName() == name {
			return m.GetDisk(), true
		}
	}
	return "", false
}

// countsInQuorum reports whether a message sent by name from disk counts in a
// quorum.
func (r *Replicator) countsInQuorum(name, disk string) bool {
	expected, ok := r.memberDisk(name)
	return ok && (r.config.AdmitAnyDisk || expected == disk)
}

func (r *Replicator) quorum() int {
	return len(r.members())/2 + 1
}

func (r *Replicator) startPreVote(now time.Time) {
	r.resetElection(now)
	if !r.countsInQuorum(r.config.Name, r.config.Disk) {
		return
	}
	r.role = PreCandidate
	r.leader = ""
	r.votes = map[string]bool{r.config.Name: true}
	r.requestVotes(messenger.ReplicaMessageKind_PRE_VOTE, r.durable.Term+1)
	r.countPreVotes(now)
}

func (r *Replicator) requestVotes(kind messenger.ReplicaMessageKind, term uint64) {
	r.round++
	for _, m := range r.members() {
		if m.GetName() == r.config.Name {
			continue
		}
		r.send(&messenger.ReplicaMessage{
			Kind:    kind,
			To:      m.GetName(),
			Term:    term,
			Index:   r.lastIndex(),
			LogTerm: r.termAt(r.lastIndex()),
			Round:   r.round,
			Data:    []byte(m.GetDisk()),
		})
	}
}

// onPreVote grants a pre-vote if the candidate's term is higher, its log is up
// to date and this disk may vote for it. It refuses if this replica leads, or
// received a message from a leader within the minimum election timeout.
func (r *Replicator) onPreVote(m *messenger.ReplicaMessage, now time.Time) {
	leaderAlive := r.role == Leader || (r.leader != "" && now.Sub(r.leaderContact) < r.config.MinElectionTimeout)
	granted := !leaderAlive &&
		m.GetTerm() > r.durable.Term &&
		r.mayVote(string(m.GetData())) &&
		r.upToDate(m.GetIndex(), m.GetLogTerm())
	reply := &messenger.ReplicaMessage{
		Kind:    messenger.ReplicaMessageKind_PRE_VOTE_REPLY,
		To:      m.GetFrom(),
		Term:    m.GetTerm(),
		Round:   m.GetRound(),
		Refused: !granted,
	}
	if !granted {
		reply.Term = r.durable.Term
	}
	r.send(reply)
}

func (r *Replicator) onPreVoteReply(m *messenger.ReplicaMessage, now time.Time) {
	if m.GetRefused() {
		if m.GetTerm() > r.durable.Term {
			r.becomeFollower(m.GetTerm(), "", now)
		}
		return
	}
	if r.role != PreCandidate || m.GetTerm() != r.durable.Term+1 || !r.answersRound(m) {
		return
	}
	r.addVote(m)
	r.countPreVotes(now)
}

// answersRound reports whether a vote is a reply to the last request for votes of
// this process. Builds that do not repeat the round send none.
func (r *Replicator) answersRound(m *messenger.ReplicaMessage) bool {
	return m.GetRound() == 0 || m.GetRound() == r.round
}

func (r *Replicator) addVote(m *messenger.ReplicaMessage) {
	if r.countsInQuorum(m.GetFrom(), m.GetDisk()) {
		r.votes[m.GetFrom()] = true
	}
}

func (r *Replicator) countPreVotes(now time.Time) {
	if len(r.votes) < r.quorum() {
		return
	}
	r.role = Candidate
	r.setTerm(r.durable.Term+1, r.config.Name)
	r.resetElection(now)
	r.votes = map[string]bool{r.config.Name: true}
	r.requestVotes(messenger.ReplicaMessageKind_VOTE, r.durable.Term)
	r.countVotes(now)
}

func (r *Replicator) onVote(m *messenger.ReplicaMessage, now time.Time) {
	granted := m.GetTerm() == r.durable.Term &&
		(r.durable.Vote == "" || r.durable.Vote == m.GetFrom()) &&
		r.mayVote(string(m.GetData())) &&
		r.upToDate(m.GetIndex(), m.GetLogTerm())
	if granted {
		r.setTerm(r.durable.Term, m.GetFrom())
		r.resetElection(now)
	}
	r.send(&messenger.ReplicaMessage{
		Kind:    messenger.ReplicaMessageKind_VOTE_REPLY,
		To:      m.GetFrom(),
		Round:   m.GetRound(),
		Refused: !granted,
	})
}

func (r *Replicator) onVoteReply(m *messenger.ReplicaMessage, now time.Time) {
	if r.role != Candidate || m.GetTerm() != r.durable.Term || m.GetRefused() || !r.answersRound(m) {
		return
	}
	r.addVote(m)
	r.countVotes(now)
}

func (r *Replicator) countVotes(now time.Time) {
	if len(r.votes) < r.quorum() {
		return
	}
	r.role = Leader
	r.leader = r.config.Name
	r.pendingReads = nil
	r.queuedReads = nil
	r.lastQuorumCheck = now
	r.progress = map[string]*progress{}
	r.trackPeers(now)
	r.appendEntry(messenger.EntryKind_ENTRY_EMPTY, nil)
	r.replicate(now)
	r.advanceCommit()
}

// trackPeers makes the leader track exactly the members and the known peers,
// without itself.
func (r *Replicator) trackPeers(now time.Time) {
	wanted := map[string]bool{}
	for _, m := range r.members() {
		wanted[m.GetName()] = true
	}
	for name := range r.peers {
		wanted[name] = true
	}
	delete(wanted, r.config.Name)
	for name := range r.progress {
		if !wanted[name] {
			delete(r.progress, name)
		}
	}
	for name := range wanted {
		if r.progress[name] == nil {
			r.progress[name] = &progress{
				next:         r.lastIndex() + 1,
				trackedSince: now,
			}
		}
	}
}
