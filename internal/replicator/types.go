package replicator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// Role is a replica's Raft role in the current term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config is the configuration of a Replicator.
type Config struct {
	// Name is this replica's name.
	Name string
	// Disk is the id of the disk that stores this replica's state.
	Disk string
	// Peers are the names of the replicas known at the start, including this
	// replica. SetPeers replaces them.
	Peers []string
	// Heartbeat is the interval between a leader's heartbeats.
	Heartbeat time.Duration
	// MinElectionTimeout is the minimum election timeout. The actual timeout is
	// random, between MinElectionTimeout and twice that. Only the first one
	// after a start is shorter.
	MinElectionTimeout time.Duration
	// ReplaceTimeout is how long a member may be unresponsive before it is
	// removed in favour of the replica that was admitted to replace it.
	ReplaceTimeout time.Duration
	// AbandonTimeout is how long a member may be unresponsive before it is removed
	// without a replacement, if the quorum gets smaller by that. Zero means that it
	// is never removed.
	AbandonTimeout time.Duration
	// AdmitAnyDisk lets a replica with a new disk vote under its old name
	// without being readmitted. This is unsafe. It exists so that a test can
	// show that an acknowledged change is then lost.
	AdmitAnyDisk bool
}

// DurableState is the state of a replica that is stored on disk.
type DurableState struct {
	// Term is the highest term seen.
	Term uint64
	// Vote is the candidate voted for in Term, or empty.
	Vote string
	// Snapshot is the latest snapshot, or nil.
	Snapshot *messenger.Snapshot
	// Entries are the entries after the snapshot, without a gap.
	Entries []*messenger.Entry
}

// Save is a write to the durable state. The caller must sync it to disk
// before it sends the messages of the same Effects.
type Save struct {
	// Term replaces the stored term.
	Term uint64
	// Vote is the candidate voted for in Term. It replaces the stored vote.
	Vote string
	// From is the index of the first entry to write. All stored entries from
	// that index on are deleted first. Zero leaves the entries unchanged.
	From uint64
	// Entries are the entries to write, beginning at From.
	Entries []*messenger.Entry
	// Snapshot replaces the stored snapshot and all entries up to its index.
	// Nil leaves them unchanged.
	Snapshot *messenger.Snapshot
	// Reset deletes all stored entries. It is set when Snapshot came from the
	// leader and the log does not match it at its index.
	Reset bool
}

// Read is a confirmed linearizable read.
type Read struct {
	// Token is the token that was passed to Confirm.
	Token uint64
	// Index is the index that must be applied before the state is read.
	Index uint64
}

// Effects are the actions that the caller must carry out after a step, in the
// order of the fields.
type Effects struct {
	// Save is the write to sync to disk, or nil.
	Save *Save
	// Messages are the messages to send.
	Messages []*messenger.ReplicaMessage
	// Restore is the snapshot that replaces the state machine, or nil.
	Restore *messenger.Snapshot
	// Committed are the entries to apply, in order.
	Committed []*messenger.Entry
	// Reads are the reads that were confirmed.
	Reads []Read
}

// Status is a replica's view of the log.
type Status struct {
	// Role is the replica's role.
	Role Role
	// Term is the current term.
	Term uint64
	// Leader is the leader's name, or empty.
	Leader string
	// Commit is the commit index.
	Commit uint64
	// Last is the index of the last entry.
	Last uint64
	// Members are the voting members.
	Members []*messenger.Member
	// Size is the number of members while no replacement is in progress, or zero if
	// members are not replaced.
	Size int
	// Unresponsive are the names of the members that have not replied to this replica,
	// as the leader, for the replacement timeout.
	Unresponsive []string
	// Voter reports whether this replica's disk counts in a quorum.
	Voter bool
	// Quorum reports whether there was contact with a quorum within the
	// election timeout. A leader counts the members that it received messages
	// from. Any other replica needs to have received a message from a leader.
	Quorum bool
	// Suspended reports whether the replica takes no part in the log because its
	// disk refused a write.
	Suspended bool
}

// A Peer is a replica that the log may be replicated to.
type Peer struct {
	// Name is the replica's name.
	Name string
	// Address is the replica's overlay address. It is empty if the address is
	// distributed in another way.
	Address string
	// Founding reports whether the replica was present at the system's first
	// start. The log's size counts each founding replica once, when a leader first
	// knows it. Any other replica leaves the size unchanged, so that it can replace
	// a member.
	Founding bool
}
