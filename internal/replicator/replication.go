package replicator

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// entriesPerMessage bounds the entries in one message.
	entriesPerMessage = 128
	// resendAfter is the number of heartbeats after which entries that were not
	// acknowledged are sent again. A follower that is slow, or whose link is
	// narrow, has time to take what it got.
	resendAfter = 5
)

func (r *Replicator) tickLeader(now time.Time) {
	if now.Sub(r.quorumChecked) >= r.config.Election {
		r.quorumChecked = now
		if !r.heardByQuorum(now) {
			r.becomeFollower(r.durable.Term, "", now)
			return
		}
	}
	if !now.Before(r.heartbeatDue) {
		r.changeMembership(now)
		r.replicate(now)
		r.advanceCommit()
	}
}

func (r *Replicator) heardByQuorum(now time.Time) bool {
	heard := 1
	for name, p := range r.progress {
		if r.counts(name, p.disk) && now.Sub(p.heard) < r.config.Election {
			heard++
		}
	}
	return heard >= r.quorum()
}

// replicate sends every peer what it lacks, and a heartbeat in any case.
func (r *Replicator) replicate(now time.Time) {
	r.heartbeatDue = now.Add(r.config.Heartbeat)
	r.round++
	for name, p := range r.progress {
		r.sendAppend(name, p, now)
	}
}

// sendAppend sends a peer what it lacks. What has been sent lately is not sent
// again before there was time to answer: only a heartbeat goes.
func (r *Replicator) sendAppend(name string, p *progress, now time.Time) {
	if p.sentTo >= p.next && now.Sub(p.sentAt) < resendAfter*r.config.Heartbeat {
		r.sendHeartbeat(name, p)
		return
	}
	p.sentAt = now
	if p.next <= r.snapshotIndex() {
		p.sentTo = r.snapshotIndex()
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
	until := min(from+entriesPerMessage, uint64(len(r.durable.Entries)))
	p.sentTo = r.snapshotIndex() + until
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

// sendHeartbeat sends a message without entries, after the last one that the
// peer is known to hold.
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

// onAppend takes entries or a snapshot from the leader of the term.
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
	r.heard = now
	r.resetElection(now)
	if m.GetKind() == messenger.ReplicaMessageKind_INSTALL {
		reply.Index = r.install(m.GetSnapshot())
		r.send(reply)
		return
	}
	match, ok := r.accept(m)
	reply.Index = match
	reply.Refused = !ok
	if ok {
		r.commit = max(r.commit, min(m.GetCommit(), match))
	}
	r.send(reply)
}

// install takes a snapshot and returns the index that is held after it.
func (r *Replicator) install(s *messenger.Snapshot) uint64 {
	if s.GetIndex() <= r.commit {
		return r.commit
	}
	r.durable.Snapshot = s
	r.durable.Entries = nil
	save := r.save()
	save.Snapshot = s
	save.Reset = true
	save.From = 0
	save.Entries = nil
	r.commit = s.GetIndex()
	r.applied = s.GetIndex()
	r.effects.Restore = s
	return s.GetIndex()
}

// accept writes the entries that follow the previous one, and returns the
// index up to which this log is now the leader's.
func (r *Replicator) accept(m *messenger.ReplicaMessage) (uint64, bool) {
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
		r.append(entries[i:])
		match = entries[len(entries)-1].GetIndex()
		break
	}
	return match, true
}

func (r *Replicator) onAppendReply(m *messenger.ReplicaMessage, now time.Time) {
	p := r.progress[m.GetFrom()]
	if r.role != Leader || m.GetTerm() != r.durable.Term || p == nil {
		return
	}
	if p.disk != m.GetDisk() {
		*p = progress{
			disk:    m.GetDisk(),
			since:   p.since,
			next:    r.lastIndex() + 1,
			admitAt: r.commit,
		}
	}
	p.heard = now
	p.round = max(p.round, m.GetRound())
	if m.GetRefused() {
		p.next = max(p.match+1, min(p.next, m.GetIndex()+1))
		p.sentTo = 0
		r.sendAppend(m.GetFrom(), p, now)
		return
	}
	p.match = max(p.match, min(m.GetIndex(), r.lastIndex()))
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	r.answerReads(now)
	if p.next <= r.lastIndex() && m.GetIndex()+1 == p.next && p.sentTo < p.next {
		r.sendAppend(m.GetFrom(), p, now)
	}
}

// advanceCommit moves the commit index to what a quorum of disks holds, once
// an entry of the leader's own term is among it.
func (r *Replicator) advanceCommit() {
	if r.role != Leader {
		return
	}
	for index := r.lastIndex(); index > r.commit; index-- {
		if r.termAt(index) != r.durable.Term {
			return
		}
		if r.heldByQuorum(index) {
			r.commit = index
			return
		}
	}
}

func (r *Replicator) heldByQuorum(index uint64) bool {
	held := 0
	for _, m := range r.members() {
		p := r.progress[m.GetName()]
		switch {
		case m.GetName() == r.config.Name:
			held++
		case p != nil && p.match >= index && r.counts(m.GetName(), p.disk):
			held++
		}
	}
	return held >= r.quorum()
}

// changeMembership takes at most one step towards the peers that are there: it
// removes a member whose disk has changed, or admits a replica that holds
// everything that was committed when it was first heard and everything
// committed now, or removes a silent member that another stands in for.
func (r *Replicator) changeMembership(now time.Time) {
	if r.config.AdmitAnyDisk && len(r.members()) == len(r.config.Peers) {
		return
	}
	if r.commit < r.membershipIndex(r.lastIndex()) || r.termAt(r.commit) != r.durable.Term {
		return
	}
	for name, p := range r.progress {
		disk, member := r.memberDisk(name)
		if p.disk == "" || p.disk == disk {
			continue
		}
		if member {
			r.proposeMembers(without(r.members(), name), r.membership().GetSize())
			r.follow(now)
			return
		}
		if p.match >= p.admitAt && p.match >= r.commit {
			r.admit(name, p.disk)
			return
		}
	}
	r.replaceSilent(now)
}

// admit proposes a replica as a member.
func (r *Replicator) admit(name, disk string) {
	peer := r.peers[name]
	size := r.membership().GetSize()
	if size > 0 && peer.Founding {
		size++
	}
	r.proposeMembers(append(slices.Clone(r.members()), &messenger.Member{
		Name:    name,
		Disk:    disk,
		Address: peer.Address,
	}), size)
}

// replaceSilent removes the member that has been silent longest, if there are
// more members than the log's size, so that one of them stands in for it.
func (r *Replicator) replaceSilent(now time.Time) {
	membership := r.membership()
	if membership.GetSize() == 0 || len(membership.GetMembers()) <= int(membership.GetSize()) {
		return
	}
	silent := ""
	longest := r.config.Replace
	for _, m := range membership.GetMembers() {
		p := r.progress[m.GetName()]
		if p == nil || m.GetName() == r.config.Name {
			continue
		}
		heard := p.since
		if p.heard.After(heard) {
			heard = p.heard
		}
		if now.Sub(heard) > longest {
			silent = m.GetName()
			longest = now.Sub(heard)
		}
	}
	if silent != "" {
		r.proposeMembers(without(membership.GetMembers(), silent), membership.GetSize())
		r.follow(now)
	}
}

func without(members []*messenger.Member, name string) []*messenger.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *messenger.Member) bool {
		return m.GetName() == name
	})
}

func (r *Replicator) proposeMembers(members []*messenger.Member, size uint32) {
	entry := membershipEntry(r.lastIndex()+1, r.durable.Term, &messenger.Membership{
		Members: members,
		Size:    size,
	})
	r.append([]*messenger.Entry{entry})
}
