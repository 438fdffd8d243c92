package replicator

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	maxEntriesPerMessage = 128
	// resendHeartbeats is the number of heartbeat intervals after which
	// unacknowledged entries are sent again. It gives a slow follower, or one
	// on a link of low bandwidth, time to process what it was sent.
	resendHeartbeats = 5
)

func (r *Replicator) tickLeader(now time.Time) {
	if now.Sub(r.lastQuorumCheck) >= r.config.MinElectionTimeout {
		r.lastQuorumCheck = now
		if !r.hasQuorumContact(now) {
			r.becomeFollower(r.durable.Term, "", now)
			return
		}
	}
	last := r.lastIndex()
	// Proposals and reads postpone the next heartbeat, but must not postpone this.
	r.changeMembership(now)
	if r.lastIndex() > last || !now.Before(r.nextHeartbeat) {
		r.replicate(now)
		r.advanceCommit()
	}
}

// hasQuorumContact reports whether this replica, as the leader, received
// messages within the minimum election timeout from enough members to form a
// quorum together with itself.
func (r *Replicator) hasQuorumContact(now time.Time) bool {
	contacted := 1
	for name, p := range r.progress {
		if r.countsInQuorum(name, p.disk) && now.Sub(p.lastContact) < r.config.MinElectionTimeout {
			contacted++
		}
	}
	return contacted >= r.quorum()
}

// replicate starts a new round: it sends every peer the entries that it lacks,
// or a heartbeat.
func (r *Replicator) replicate(now time.Time) {
	r.nextHeartbeat = now.Add(r.config.Heartbeat)
	r.round++
	for name, p := range r.progress {
		r.sendAppend(name, p, now)
	}
}

// sendAppend sends a peer the entries or the snapshot that it lacks. If they
// were sent less than resendHeartbeats intervals ago and are not acknowledged
// yet, it sends only a heartbeat.
func (r *Replicator) sendAppend(name string, p *progress, now time.Time) {
	if p.sentIndex >= p.next && now.Sub(p.sentAt) < resendHeartbeats*r.config.Heartbeat {
		r.sendHeartbeat(name, p)
		return
	}
	p.sentAt = now
	if p.next <= r.snapshotIndex() {
		p.sentIndex = r.snapshotIndex()
		r.send(&messenger.ReplicaMessage{
			Kind:     messenger.ReplicaMessageKind_INSTALL,
			To:       name,
			Commit:   r.commit,
			Round:    r.round,
			Snapshot: r.durable.Snapshot,
		})
		return
	}
	from := p.next - r.snapshotIndex() - 1
	until := min(from+maxEntriesPerMessage, uint64(len(r.durable.Entries)))
	p.sentIndex = r.snapshotIndex() + until
	r.send(&messenger.ReplicaMessage{
		Kind:    messenger.ReplicaMessageKind_APPEND,
		To:      name,
		Index:   p.next - 1,
		LogTerm: r.termAt(p.next - 1),
		Commit:  r.commit,
		Round:   r.round,
		Entries: slices.Clone(r.durable.Entries[from:until]),
	})
}

// sendHeartbeat sends an append message without entries. Its index is the last
// one that the peer is known to have. Nothing is sent if that index is before
// the snapshot, because the log no longer has its term.
func (r *Replicator) sendHeartbeat(name string, p *progress) {
	if p.match < r.snapshotIndex() {
		return
	}
	r.send(&messenger.ReplicaMessage{
		Kind:    messenger.ReplicaMessageKind_APPEND,
		To:      name,
		Index:   p.match,
		LogTerm: r.termAt(p.match),
		Commit:  r.commit,
		Round:   r.round,
	})
}

// onAppend processes entries or a snapshot from a leader.
func (r *Replicator) onAppend(m *messenger.ReplicaMessage, now time.Time) {
	reply := &messenger.ReplicaMessage{
		Kind:  messenger.ReplicaMessageKind_APPEND_REPLY,
		To:    m.GetFrom(),
		Round: m.GetRound(),
	}
	if m.GetTerm() < r.durable.Term {
		reply.Refused = true
		r.send(reply)
		return
	}
	r.becomeFollower(m.GetTerm(), m.GetFrom(), now)
	r.leaderContact = now
	r.resetElection(now)
	if m.GetKind() == messenger.ReplicaMessageKind_INSTALL {
		reply.Index = r.installSnapshot(m.GetSnapshot())
		r.send(reply)
		return
	}
	match, ok := r.acceptEntries(m)
	reply.Index = match
	reply.Refused = !ok
	if ok {
		r.commit = max(r.commit, min(m.GetCommit(), match))
	}
	r.send(reply)
}

// installSnapshot replaces the log up to the index of a snapshot from the
// leader, unless its entries are all committed here already. The entries after
// that index stay if the log matches the snapshot there: the leader may have
// counted them. It returns the commit index.
func (r *Replicator) installSnapshot(s *messenger.Snapshot) uint64 {
	if s.GetIndex() <= r.commit {
		return r.commit
	}
	save := r.pendingSave()
	save.Snapshot = s
	if s.GetIndex() <= r.lastIndex() && r.termAt(s.GetIndex()) == s.GetTerm() {
		r.durable.Entries = slices.Clone(r.durable.Entries[s.GetIndex()-r.snapshotIndex():])
	} else {
		r.durable.Entries = nil
		save.Reset = true
		save.From = 0
		save.Entries = nil
	}
	r.durable.Snapshot = s
	r.commit = s.GetIndex()
	r.applied = s.GetIndex()
	r.effects.Restore = s
	return s.GetIndex()
}

// acceptEntries appends the entries of an append message if the log matches
// the leader's at the message's previous index. It returns the index up to
// which this log matches the leader's. If the logs do not match there, it
// returns false and the highest index at which they may still match.
func (r *Replicator) acceptEntries(m *messenger.ReplicaMessage) (uint64, bool) {
	previous := m.GetIndex()
	entries := m.GetEntries()
	for previous < r.commit && len(entries) > 0 {
		previous = entries[0].GetIndex()
		entries = entries[1:]
	}
	if previous < r.commit {
		return r.commit, true
	}
	if previous > r.lastIndex() {
		return r.lastIndex(), false
	}
	if previous == m.GetIndex() && r.termAt(previous) != m.GetLogTerm() {
		return min(previous-1, r.lastIndex()), false
	}
	match := previous
	for i, e := range entries {
		if e.GetIndex() <= r.lastIndex() && r.termAt(e.GetIndex()) == e.GetTerm() {
			match = e.GetIndex()
			continue
		}
		r.truncateAndAppend(entries[i:])
		match = entries[len(entries)-1].GetIndex()
		break
	}
	return match, true
}

func (r *Replicator) onAppendReply(m *messenger.ReplicaMessage, now time.Time) {
	p := r.progress[m.GetFrom()]
	if r.role != Leader || m.GetTerm() != r.durable.Term || p == nil || m.GetRound() > r.round {
		return
	}
	if p.disk != m.GetDisk() {
		*p = progress{
			disk:         m.GetDisk(),
			trackedSince: p.trackedSince,
			next:         r.lastIndex() + 1,
			admitIndex:   r.commit,
			admitSince:   now,
		}
	}
	p.lastContact = now
	p.ackedRound = max(p.ackedRound, m.GetRound())
	if m.GetRefused() {
		p.next = max(p.match+1, min(p.next, m.GetIndex()+1))
		p.sentIndex = 0
		r.sendAppend(m.GetFrom(), p, now)
		return
	}
	p.match = max(p.match, min(m.GetIndex(), r.lastIndex()))
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	r.completeReads(now)
	if p.next <= r.lastIndex() && m.GetIndex()+1 == p.next && p.sentIndex < p.next {
		r.sendAppend(m.GetFrom(), p, now)
	}
}

// advanceCommit advances the commit index to the highest index that is stored
// by a quorum of disks, provided its entry is of the leader's current term.
// Entries of earlier terms are committed only through such an entry.
func (r *Replicator) advanceCommit() {
	if r.role != Leader {
		return
	}
	for index := r.lastIndex(); index > r.commit; index-- {
		if r.termAt(index) != r.durable.Term {
			return
		}
		if r.storedByQuorum(index) {
			r.commit = index
			return
		}
	}
}

func (r *Replicator) storedByQuorum(index uint64) bool {
	stored := 0
	for _, m := range r.members() {
		p := r.progress[m.GetName()]
		switch {
		case m.GetName() == r.config.Name:
			stored++
		case p != nil && p.match >= index && r.countsInQuorum(m.GetName(), p.disk):
			stored++
		}
	}
	return stored >= r.quorum()
}

// changeMembership proposes at most one membership change, and none while the
// last one is uncommitted. It counts new founding replicas, or removes a member whose
// disk has changed, or admits a replica that has caught up, or removes an unresponsive
// member for which a replacement was admitted.
func (r *Replicator) changeMembership(now time.Time) {
	if r.config.AdmitAnyDisk && len(r.members()) == len(r.config.Peers) {
		return
	}
	if r.commit < r.membershipIndex(r.lastIndex()) || r.termAt(r.commit) != r.durable.Term {
		return
	}
	if r.countFounding() {
		return
	}
	for name, p := range r.progress {
		disk, member := r.memberDisk(name)
		if p.disk == "" || p.disk == disk {
			continue
		}
		if member {
			r.proposeMembers(withoutMember(r.members(), name))
			r.trackPeers(now)
			return
		}
		if r.caughtUp(p, now) {
			r.admit(name, p.disk)
			return
		}
	}
	r.removeUnresponsive(now)
}

// caughtUp reports whether a peer has all that was committed less than an
// election timeout ago. To ask for all that is committed now would keep out a
// peer that is always a little behind the other members.
func (r *Replicator) caughtUp(p *progress, now time.Time) bool {
	if p.match < p.admitIndex {
		return false
	}
	if p.match >= r.commit || now.Sub(p.admitSince) < r.config.MinElectionTimeout {
		return true
	}
	p.admitIndex = r.commit
	p.admitSince = now
	return false
}

// admit proposes a replica as a member.
func (r *Replicator) admit(name, disk string) {
	r.proposeMembers(append(slices.Clone(r.members()), &messenger.Member{
		Name:    name,
		Disk:    disk,
		Address: r.peers[name].Address,
	}))
}

// removeUnresponsive removes the member that has been unresponsive longest. It does so
// after Config.ReplaceTimeout if there are more members than the log's size, because then
// a replacement has been admitted. If there are as many, it does so after
// Config.AbandonTimeout, but only if their number is even: the others then need one
// replica less for a quorum, and bear the loss of as many disks as before. A size that is
// too large would otherwise keep a member that is gone, and the greater quorum, for good.
func (r *Replicator) removeUnresponsive(now time.Time) {
	size, count := int(r.membership().GetSize()), len(r.members())
	timeout := r.config.ReplaceTimeout
	switch {
	case size == 0 || count < size:
		return
	case count == size:
		timeout = r.config.AbandonTimeout
		if timeout == 0 || count%2 != 0 {
			return
		}
	}
	unresponsive := ""
	longest := timeout
	for _, m := range r.members() {
		if silence := r.silence(m.GetName(), now); silence > longest {
			unresponsive = m.GetName()
			longest = silence
		}
	}
	if unresponsive != "" {
		r.proposeMembers(withoutMember(r.members(), unresponsive))
		r.trackPeers(now)
	}
}

// silence returns for how long this replica, as the leader, has not received a reply from
// a member. It is zero for this replica itself.
func (r *Replicator) silence(name string, now time.Time) time.Duration {
	p := r.progress[name]
	if p == nil || name == r.config.Name {
		return 0
	}
	if p.lastContact.After(p.trackedSince) {
		return now.Sub(p.lastContact)
	}
	return now.Sub(p.trackedSince)
}

// unresponsive returns the members that have not replied to this replica, as the leader,
// for Config.ReplaceTimeout.
func (r *Replicator) unresponsive(now time.Time) []string {
	if r.role != Leader {
		return nil
	}
	var names []string
	for _, m := range r.members() {
		if r.silence(m.GetName(), now) > r.config.ReplaceTimeout {
			names = append(names, m.GetName())
		}
	}
	return names
}

func withoutMember(members []*messenger.Member, name string) []*messenger.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *messenger.Member) bool {
		return m.GetName() == name
	})
}

// proposeMembers proposes members, with the size of the latest membership.
func (r *Replicator) proposeMembers(members []*messenger.Member) {
	founding, _ := r.countedFounding()
	r.proposeMembership(&messenger.Membership{
		Members:  members,
		Size:     r.membership().GetSize(),
		Founding: founding,
	})
}

func (r *Replicator) proposeMembership(membership *messenger.Membership) {
	entry := membershipEntry(r.lastIndex()+1, r.durable.Term, membership)
	r.truncateAndAppend([]*messenger.Entry{entry})
}
