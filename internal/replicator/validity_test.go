package replicator

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// drawMessage returns a message with arbitrary fields, many of them out of range.
func drawMessage(r *rapid.T) *messenger.ReplicaMessage {
	number := rapid.OneOf(rapid.Uint64Range(0, 12), rapid.SampledFrom([]uint64{math.MaxUint64, math.MaxUint64 - 1, 1 << 62}))
	names := rapid.SampledFrom([]string{"a", "b", "c", "x", ""})
	m := &messenger.ReplicaMessage{
		Kind:    messenger.ReplicaMessageKind(rapid.IntRange(0, 12).Draw(r, "kind")),
		From:    names.Draw(r, "from"),
		Disk:    rapid.SampledFrom([]string{"a1", "b1", ""}).Draw(r, "disk"),
		Term:    number.Draw(r, "term"),
		Index:   number.Draw(r, "index"),
		LogTerm: number.Draw(r, "log-term"),
		Commit:  number.Draw(r, "commit"),
		Round:   number.Draw(r, "round"),
		Refused: rapid.Bool().Draw(r, "refused"),
		Data:    rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(r, "data"),
	}
	consecutive := rapid.Bool().Draw(r, "consecutive")
	for i := range rapid.IntRange(0, 3).Draw(r, "entries") {
		e := &messenger.Entry{
			Index: number.Draw(r, "entry-index"),
			Term:  number.Draw(r, "entry-term"),
			Kind:  messenger.EntryKind(rapid.IntRange(0, 3).Draw(r, "entry-kind")),
			Data:  rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(r, "entry-data"),
		}
		if consecutive {
			e.Index = m.GetIndex() + uint64(i) + 1
			e.Term = m.GetTerm()
		}
		m.Entries = append(m.Entries, e)
	}
	if rapid.Bool().Draw(r, "has-snapshot") {
		m.Snapshot = &messenger.Snapshot{
			Index: number.Draw(r, "snapshot-index"),
			Term:  number.Draw(r, "snapshot-term"),
		}
		if rapid.Bool().Draw(r, "has-members") {
			m.Snapshot.Membership = &messenger.Membership{
				Members: []*messenger.Member{{
					Name: "a",
					Disk: "a1",
				}},
			}
		}
	}
	return m
}

// TestMalformedMessages passes arbitrary messages that Validate accepts to
// replicas in various states. None may make a replica panic, now or when it goes
// on.
func TestMalformedMessages(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(t, rapid.Uint64Range(0, 8).Draw(r, "seed"), 3, false)
		c.commit("first")
		m := c.replicas[rapid.SampledFrom(c.names).Draw(r, "replica")]
		if rapid.Bool().Draw(r, "compacted") {
			m.Compact(m.applied, []byte("state"))
		}
		now := c.now
		for range rapid.IntRange(1, 6).Draw(r, "messages") {
			message := drawMessage(r)
			if Validate(message) == nil {
				m.Step(proto.CloneOf(message), now)
			}
			now = now.Add(testElection)
			m.Tick(now)
		}
		_, _ = m.Propose([]byte("value"), now)
		m.Tick(now.Add(time.Second))
	})
}

// TestTermOutOfRange checks that a message cannot raise the term so far that no
// election can follow.
func TestTermOutOfRange(t *testing.T) {
	is := is.New(t)
	is.True(Validate(&messenger.ReplicaMessage{
		Kind: messenger.ReplicaMessageKind_VOTE,
		From: "a",
		Term: math.MaxUint64,
	}) != nil)
}
