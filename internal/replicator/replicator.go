// Package replicator implements the consensus protocol (Raft) of the replicated
// log for one control replica: elections, replication, commitment,
// linearizable reads and membership changes. It is a deterministic state
// machine without I/O: disks, sockets and clocks belong to the caller.
package replicator

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// ErrNoLeader is returned for a proposal or a read when no leader is known.
var ErrNoLeader = errors.New("no leader is known")

// ErrSuspended is returned if the disk takes no writes.
var ErrSuspended = errors.New("the disk takes no writes")

// initialElectionDivisor divides the minimum election timeout to give the
// maximum delay before the first election of a replica that has just started.
// A short delay is safe: the other replicas refuse pre-votes while they have a
// leader. If all replicas start together, none has to wait out an election
// timeout.
const initialElectionDivisor = 2

// maxInitialNumber bounds the random numbers at which a process begins to count its
// rounds and reads. A reply to an earlier process, which its sender may have kept for
// long, then matches nothing that the process waits for.
const maxInitialNumber = 1 << 48

// progress is the leader's view of one peer.
type progress struct {
	// disk is the peer's disk id. It is empty until the first reply.
	disk         string
	trackedSince time.Time
	// next is the index of the next entry to send.
	next uint64
	// match is the highest index at which the peer's log is known to match.
	match uint64
	// admitIndex is the index that the peer must have before it is admitted:
	// the commit index at admitSince, which is when its disk was first seen or
	// when it had the last such index too late.
	admitIndex uint64
	admitSince time.Time
	// ackedRound is the latest round that the peer has replied to.
	ackedRound  uint64
	lastContact time.Time
	// sentIndex is the last index that was sent, at sentAt.
	sentIndex uint64
	sentAt    time.Time
}

// pendingRead is a read that waits for a quorum to confirm the leader.
type pendingRead struct {
	token uint64
	from  string
	index uint64
	// round is the round of messages that must be acknowledged by a quorum.
	round uint64
}

// A Replicator is one replica of the replicated log. It is not safe for
// concurrent use.
type Replicator struct {
	config  Config
	random  *rand.Rand
	durable DurableState
	peers   map[string]Peer

	// suspended reports whether the disk refused a write and the replica takes
	// no part in the log.
	suspended bool
	role      Role
	leader    string
	commit    uint64
	applied   uint64
	votes     map[string]bool
	progress  map[string]*progress
	// round counts the broadcasts to all peers, of a leader and of a candidate.
	// Replies repeat it.
	round uint64
	// pendingReads are the reads of the current round.
	pendingReads []pendingRead
	// queuedReads are the reads that wait for the next round.
	queuedReads []pendingRead
	lastToken   uint64

	// leaderContact is the time of the last message from a leader.
	leaderContact    time.Time
	electionDeadline time.Time
	nextHeartbeat    time.Time
	lastQuorumCheck  time.Time

	// cachedMembership is the membership decoded from the entry at cachedIndex
	// with cachedTerm.
	cachedMembership *messenger.Membership
	cachedIndex      uint64
	cachedTerm       uint64

	effects Effects
}

// New returns a new Replicator that continues from the durable state.
func New(config Config, durable DurableState, random *rand.Rand, now time.Time) *Replicator {
	r := &Replicator{
		config:    config,
		random:    random,
		durable:   durable,
		peers:     map[string]Peer{},
		round:     random.Uint64N(maxInitialNumber),
		lastToken: random.Uint64N(maxInitialNumber),
	}
	for _, name := range config.Peers {
		r.peers[name] = Peer{
			Name:     name,
			Founding: true,
		}
	}
	if durable.Snapshot != nil {
		r.commit = durable.Snapshot.GetIndex()
		r.applied = r.commit
	}
	r.electionDeadline = now.Add(time.Duration(random.Int64N(int64(config.MinElectionTimeout / initialElectionDivisor))))
	return r
}

// Blank reports whether the disk has never stored any part of a log.
func (r *Replicator) Blank() bool {
	return r.durable.Term == 0 && r.durable.Snapshot == nil && len(r.durable.Entries) == 0
}

// SetPeers replaces the replicas that the log may be replicated to in addition
// to its members.
func (r *Replicator) SetPeers(peers []Peer, now time.Time) {
	r.peers = map[string]Peer{}
	for _, p := range peers {
		r.peers[p.Name] = p
	}
	if r.role == Leader {
		r.trackPeers(now)
	}
}

// Bootstrap starts a new log with its initial members, which must include this
// replica. If the initial members are all replicas, the first leader needs
// votes from a quorum of them, so replicas that bootstrap at the same time end
// up with one shared log. Replicas that are not initial members are admitted
// when they have caught up.
//
// Size is the number of members while no replacement is in progress. Zero means
// that a member is never replaced by a replica of another name.
//
// Bootstrap fails if the disk already stores a log.
func (r *Replicator) Bootstrap(initial []*messenger.Member, size int, now time.Time) (Effects, error) {
	if !r.Blank() {
		return Effects{}, errors.New("the disk holds a log already")
	}
	if r.suspended {
		return Effects{}, ErrSuspended
	}
	r.setTerm(1, "")
	members := slices.Clone(initial)
	slices.SortFunc(members, func(a, b *messenger.Member) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	membership := &messenger.Membership{
		Members: members,
		Size:    uint32(size),
	}
	if size > 0 {
		for _, m := range members {
			membership.Founding = append(membership.Founding, m.GetName())
		}
	}
	r.truncateAndAppend([]*messenger.Entry{membershipEntry(1, 1, membership)})
	r.electionDeadline = now
	return r.Tick(now), nil
}

// Status returns the replica's view of the log.
func (r *Replicator) Status(now time.Time) Status {
	quorum := !r.suspended && r.role != Leader && r.leader != "" && now.Sub(r.leaderContact) < r.config.MinElectionTimeout
	if r.role == Leader {
		quorum = r.hasQuorumContact(now)
	}
	return Status{
		Role:    r.role,
		Term:    r.durable.Term,
		Leader:  r.leader,
		Commit:  r.commit,
		Last:    r.lastIndex(),
		Members: r.members(),
		Size:    int(r.membership().GetSize()),
		Voter:   r.countsInQuorum(r.config.Name, r.config.Disk),
		Quorum:  quorum,

		Suspended: r.suspended,

		Unresponsive: r.unresponsive(now),
	}
}

// Tick starts an election or sends heartbeats if they are due at now. A leader
// that has lost contact with a quorum steps down.
func (r *Replicator) Tick(now time.Time) Effects {
	if r.suspended {
		return r.takeEffects()
	}
	if r.role == Leader {
		r.tickLeader(now)
		return r.takeEffects()
	}
	if !now.Before(r.electionDeadline) {
		r.startPreVote(now)
	}
	return r.takeEffects()
}

// Propose appends data to the log as a new entry, or forwards it to the leader.
// The entry may still be lost: the outcome is known only when the entry is
// applied. Propose returns ErrNoLeader if no leader is known.
func (r *Replicator) Propose(data []byte, now time.Time) (Effects, error) {
	if r.role == Leader {
		r.appendEntry(messenger.EntryKind_ENTRY_CHANGE, data)
		r.replicate(now)
		r.advanceCommit()
		return r.takeEffects(), nil
	}
	if r.leader == "" {
		return Effects{}, ErrNoLeader
	}
	r.send(&messenger.ReplicaMessage{
		Kind: messenger.ReplicaMessageKind_FORWARD,
		To:   r.leader,
		Data: data,
	})
	return r.takeEffects(), nil
}

// Confirm starts a linearizable read and returns its token. Once a quorum has
// confirmed the leader after this call, a Read with the token and the index to wait
// for is returned in the Effects of this or a later step. The request may be
// dropped, so the caller must retry. Confirm returns ErrNoLeader if no leader is
// known.
func (r *Replicator) Confirm(now time.Time) (uint64, Effects, error) {
	r.lastToken++
	token := r.lastToken
	if r.role == Leader {
		r.queueRead(token, r.config.Name, now)
		return token, r.takeEffects(), nil
	}
	if r.leader == "" {
		return token, Effects{}, ErrNoLeader
	}
	r.send(&messenger.ReplicaMessage{
		Kind:  messenger.ReplicaMessageKind_READ,
		To:    r.leader,
		Token: token,
	})
	return token, r.takeEffects(), nil
}

// Compact replaces the log up to and including index by a snapshot with state.
// It does nothing if index is not applied or is already in a snapshot.
func (r *Replicator) Compact(index uint64, state []byte) Effects {
	if r.suspended || index > r.applied || index <= r.snapshotIndex() {
		return Effects{}
	}
	snapshot := &messenger.Snapshot{
		Index:      index,
		Term:       r.termAt(index),
		Membership: r.membershipAt(index),
		State:      state,
	}
	r.durable.Entries = r.durable.Entries[index-r.snapshotIndex():]
	r.durable.Snapshot = snapshot
	r.pendingSave().Snapshot = snapshot
	return r.takeEffects()
}

// Step processes one message from another replica.
func (r *Replicator) Step(m *messenger.ReplicaMessage, now time.Time) Effects {
	if r.suspended {
		r.stepSuspended(m, now)
		return r.takeEffects()
	}
	switch m.GetKind() {
	case messenger.ReplicaMessageKind_PRE_VOTE:
		r.onPreVote(m, now)
	case messenger.ReplicaMessageKind_PRE_VOTE_REPLY:
		r.onPreVoteReply(m, now)
	case messenger.ReplicaMessageKind_FORWARD:
		r.onForward(m, now)
	case messenger.ReplicaMessageKind_READ:
		r.onRead(m, now)
	case messenger.ReplicaMessageKind_READ_REPLY:
		r.onReadReply(m)
	default:
		r.stepInTerm(m, now)
	}
	return r.takeEffects()
}

func (r *Replicator) stepInTerm(m *messenger.ReplicaMessage, now time.Time) {
	if m.GetTerm() > r.durable.Term {
		r.becomeFollower(m.GetTerm(), "", now)
	}
	switch m.GetKind() {
	case messenger.ReplicaMessageKind_VOTE:
		r.onVote(m, now)
	case messenger.ReplicaMessageKind_VOTE_REPLY:
		r.onVoteReply(m, now)
	case messenger.ReplicaMessageKind_APPEND, messenger.ReplicaMessageKind_INSTALL:
		r.onAppend(m, now)
	case messenger.ReplicaMessageKind_APPEND_REPLY:
		r.onAppendReply(m, now)
	}
}

func (r *Replicator) onForward(m *messenger.ReplicaMessage, now time.Time) {
	if r.role != Leader {
		return
	}
	r.appendEntry(messenger.EntryKind_ENTRY_CHANGE, m.GetData())
	r.replicate(now)
	r.advanceCommit()
}

func (r *Replicator) send(m *messenger.ReplicaMessage) {
	m.From = r.config.Name
	m.Disk = r.config.Disk
	if m.GetTerm() == 0 {
		m.Term = r.durable.Term
	}
	r.effects.Messages = append(r.effects.Messages, m)
}

// takeEffects returns the effects collected since the last call and clears
// them.
func (r *Replicator) takeEffects() Effects {
	r.applyCommitted()
	effects := r.effects
	r.effects = Effects{}
	return effects
}

func (r *Replicator) applyCommitted() {
	for r.applied < r.commit {
		r.applied++
		r.effects.Committed = append(r.effects.Committed, r.entryAt(r.applied))
	}
}

// pendingSave returns the write of the current step, with the current term and
// vote.
func (r *Replicator) pendingSave() *Save {
	if r.effects.Save == nil {
		r.effects.Save = &Save{}
	}
	r.effects.Save.Term = r.durable.Term
	r.effects.Save.Vote = r.durable.Vote
	return r.effects.Save
}

func (r *Replicator) setTerm(term uint64, vote string) {
	r.durable.Term = term
	r.durable.Vote = vote
	r.pendingSave()
}

func (r *Replicator) resetElection(now time.Time) {
	r.electionDeadline = now.Add(r.withJitter(r.config.MinElectionTimeout))
}

// withJitter returns a random duration between d and twice d.
func (r *Replicator) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(r.random.Int64N(int64(d)))
}

func (r *Replicator) becomeFollower(term uint64, leader string, now time.Time) {
	if term > r.durable.Term {
		r.setTerm(term, "")
	}
	if r.role == Leader {
		r.resetElection(now)
	}
	r.role = Follower
	r.leader = leader
	r.pendingReads = nil
	r.queuedReads = nil
}
