// Package replicator decides for one control replica of the replicated log:
// elections, replication, commitment, reads and membership. It is a pure step
// function. Disks, sockets and clocks belong to the caller.
package replicator

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// ErrNoLeader says that a proposal or read was not taken, as no leader is
// known.
var ErrNoLeader = errors.New("no leader is known")

// firstElection is the part of the election time within which a replica that
// has just started seeks votes. It gets none while others hear a leader, and if
// all have started together none of them needs to wait for one.
const firstElection = 2

type progress struct {
	disk    string
	since   time.Time
	next    uint64
	match   uint64
	admitAt uint64
	round   uint64
	heard   time.Time
	// sentTo is the last index that was sent, at sentAt.
	sentTo uint64
	sentAt time.Time
}

type pendingRead struct {
	token uint64
	from  string
	index uint64
	round uint64
}

// A Replicator holds one replica's part of the replicated log. Its methods
// are called from one goroutine.
type Replicator struct {
	config  Config
	random  *rand.Rand
	durable Durable
	peers   map[string]Peer

	role     Role
	leader   string
	commit   uint64
	applied  uint64
	votes    map[string]bool
	progress map[string]*progress
	round    uint64
	reads    []pendingRead
	// asked are reads that wait for the next round.
	asked []pendingRead

	heard         time.Time
	electionDue   time.Time
	heartbeatDue  time.Time
	quorumChecked time.Time

	// decoded is the membership of the entry at decodedAt, of decodedTerm.
	decoded     *messenger.Membership
	decodedAt   uint64
	decodedTerm uint64

	effects Effects
}

// New returns a new Replicator that goes on from what its disk holds.
func New(config Config, durable Durable, random *rand.Rand, now time.Time) *Replicator {
	r := &Replicator{
		config:  config,
		random:  random,
		durable: durable,
		peers:   map[string]Peer{},
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
	r.electionDue = now.Add(time.Duration(random.Int64N(int64(config.Election / firstElection))))
	return r
}

// Blank says whether the disk has never held any of the log.
func (r *Replicator) Blank() bool {
	return r.durable.Term == 0 && r.durable.Snapshot == nil && len(r.durable.Entries) == 0
}

// SetPeers replaces the replicas that the log may be replicated to, beside its
// members.
func (r *Replicator) SetPeers(peers []Peer, now time.Time) {
	r.peers = map[string]Peer{}
	for _, p := range peers {
		r.peers[p.Name] = p
	}
	if r.role == Leader {
		r.follow(now)
	}
}

// Bootstrap starts a new log with its first members, of which this replica is
// one. With all replicas among them a quorum of all elects the first leader,
// so that replicas that start a log at the same time come to share one.
// Replicas that are not among them are admitted when they have caught up.
//
// Size is the number of members when none is being replaced, or zero if no
// member is ever replaced by one of another name.
func (r *Replicator) Bootstrap(first []*messenger.Member, size int, now time.Time) (Effects, error) {
	if !r.Blank() {
		return Effects{}, errors.New("the disk holds a log already")
	}
	r.setTerm(1, "")
	members := slices.Clone(first)
	slices.SortFunc(members, func(a, b *messenger.Member) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	r.append([]*messenger.Entry{membershipEntry(1, 1, &messenger.Membership{
		Members: members,
		Size:    uint32(size),
	})})
	r.electionDue = now
	return r.Tick(now), nil
}

// Status returns the replica's view of the log.
func (r *Replicator) Status(now time.Time) Status {
	quorum := r.role != Leader && r.leader != "" && now.Sub(r.heard) < r.config.Election
	if r.role == Leader {
		quorum = r.heardByQuorum(now)
	}
	return Status{
		Role:    r.role,
		Term:    r.durable.Term,
		Leader:  r.leader,
		Commit:  r.commit,
		Last:    r.lastIndex(),
		Members: r.members(),
		Voter:   r.counts(r.config.Name, r.config.Disk),
		Quorum:  quorum,
	}
}

// Tick lets time pass.
func (r *Replicator) Tick(now time.Time) Effects {
	if r.role == Leader {
		r.tickLeader(now)
		return r.take()
	}
	if !now.Before(r.electionDue) {
		r.startPreVote(now)
	}
	return r.take()
}

// Propose asks for data to be committed. It forwards to the leader; the
// caller learns the outcome when the entry is applied.
func (r *Replicator) Propose(data []byte, now time.Time) (Effects, error) {
	if r.role == Leader {
		r.appendOwn(messenger.EntryKind_ENTRY_CHANGE, data)
		r.replicate(now)
		r.advanceCommit()
		return r.take(), nil
	}
	if r.leader == "" {
		return Effects{}, ErrNoLeader
	}
	r.send(&messenger.ReplicaMessage{
		Kind: messenger.ReplicaMessageKind_FORWARD,
		To:   r.leader,
		Data: data,
	})
	return r.take(), nil
}

// Confirm asks for an index that a quorum confirms after this call.
func (r *Replicator) Confirm(token uint64, now time.Time) (Effects, error) {
	if r.role == Leader {
		r.startRead(token, r.config.Name, now)
		return r.take(), nil
	}
	if r.leader == "" {
		return Effects{}, ErrNoLeader
	}
	r.send(&messenger.ReplicaMessage{
		Kind:  messenger.ReplicaMessageKind_READ,
		To:    r.leader,
		Token: token,
	})
	return r.take(), nil
}

// Compact replaces the log up to index by state.
func (r *Replicator) Compact(index uint64, state []byte) Effects {
	if index > r.applied || index <= r.snapshotIndex() {
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
	r.save().Snapshot = snapshot
	return r.take()
}

// Step takes one message from another replica.
func (r *Replicator) Step(m *messenger.ReplicaMessage, now time.Time) Effects {
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
		r.effects.Reads = append(r.effects.Reads, Read{
			Token: m.GetToken(),
			Index: m.GetIndex(),
		})
	default:
		r.stepInTerm(m, now)
	}
	return r.take()
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
	r.appendOwn(messenger.EntryKind_ENTRY_CHANGE, m.GetData())
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

// take returns the effects gathered since the last call.
func (r *Replicator) take() Effects {
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

func (r *Replicator) save() *Save {
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
	r.save()
}

func (r *Replicator) resetElection(now time.Time) {
	r.electionDue = now.Add(r.spread(r.config.Election))
}

// spread returns a random time between d and twice d.
func (r *Replicator) spread(d time.Duration) time.Duration {
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
	r.reads = nil
	r.asked = nil
}
