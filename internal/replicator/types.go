package replicator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// Role is a replica's part in the current term.
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

// Config is what a Replicator is told at its start.
type Config struct {
	// Name is this replica's name.
	Name string
	// Disk identifies the disk under this replica.
	Disk string
	// Peers are the names of the replicas that are known at the start, this
	// one included. SetPeers replaces them.
	Peers []string
	// Heartbeat is the time between a leader's messages.
	Heartbeat time.Duration
	// Election is the least time without a leader before a vote.
	Election time.Duration
	// Replace is how long a member may be silent before the replica that
	// stands in for it takes its place for good.
	Replace time.Duration
	// AdmitAnyDisk lets a new disk vote under its old name at once. It is
	// unsafe, and exists so that a test can show the loss.
	AdmitAnyDisk bool
}

// Durable is what a disk holds of a replica.
type Durable struct {
	// Term is the highest term seen.
	Term uint64
	// Vote is the candidate voted for in Term, or empty.
	Vote string
	// Snapshot is the latest snapshot, or nil.
	Snapshot *messenger.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*messenger.Entry
}

// Save must be synced to disk before an Effects' messages leave.
type Save struct {
	// Term and Vote replace those on disk.
	Term uint64
	// Vote is the candidate voted for in Term.
	Vote string
	// From is the index of the first entry to replace; all after it go.
	// Zero leaves the entries alone.
	From uint64
	// Entries are written from From on.
	Entries []*messenger.Entry
	// Snapshot replaces the snapshot and all entries up to its index.
	Snapshot *messenger.Snapshot
	// Reset drops all entries, as the snapshot came from the leader.
	Reset bool
}

// Read is the answer to a read.
type Read struct {
	// Token is the one given to Confirm.
	Token uint64
	// Index must be applied before the reader may look.
	Index uint64
}

// Effects is what a step asks its caller to do, in the order of the fields.
type Effects struct {
	// Save is to be synced first, unless nil.
	Save *Save
	// Messages are to be sent.
	Messages []*messenger.ReplicaMessage
	// Restore replaces the state machine, unless nil.
	Restore *messenger.Snapshot
	// Committed are to be applied in order.
	Committed []*messenger.Entry
	// Reads are confirmed reads.
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
	// Members are the voters.
	Members []*messenger.Member
	// Voter says whether this replica's disk counts in a quorum.
	Voter bool
	// Quorum says whether a quorum was heard within the election time: by a
	// leader itself, by others through a leader.
	Quorum bool
}

// A Peer is a replica that the log may be replicated to.
type Peer struct {
	// Name is the replica's name.
	Name string
	// Address is its overlay address, or empty if it is told otherwise.
	Address string
	// Founding says that it was there at the system's first start, so that
	// its admission makes the log larger by one.
	Founding bool
}
