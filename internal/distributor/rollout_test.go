package distributor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// withRollouts returns the next version, in which only the team's roll-outs change,
// and its pieces.
func (s *source) withRollouts(team, rollouts string) (fireflymoor.Manifest, []string) {
	entry, _ := s.manifest.Team(team)
	entry.Rollouts = fireflymoor.HashOf(rollouts)
	s.manifest = s.manifest.With(entry)
	return s.manifest, []string{s.pieces[team][0], s.pieces[team][1], rollouts}
}

// TestRollouts changes the roll-outs of a team twice. A member that holds the version
// before gets them by an update, and one that holds nothing with the whole version.
// Both must have the roll-outs and the unchanged inputs.
func TestRollouts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	s := &source{
		pieces: map[string][2]string{},
	}
	from, near, far := New(failingAsserter{TB: t}), New(failingAsserter{TB: t}), New(failingAsserter{TB: t})
	from.Store(s.change("team", "[values]\n"))
	near.Store(from.Manifest(), from.Pieces())
	from.Store(s.withRollouts("team", "first"))
	from.Store(s.withRollouts("team", "second"))
	inputs, _ := from.Inputs("team")
	is.Equal(inputs.Rollouts, "second")

	near.OnHead("peer", &messenger.Head{Number: 3}, now)
	near.OnUpdates("peer", from.updatesSince(1), now)
	got, _ := near.Inputs("team")
	is.Equal(got, inputs)

	far.OnHead("peer", &messenger.Head{Number: 3}, now)
	effects := far.OnManifest("peer", messenger.FromManifest(from.Manifest()), now)
	pull := effects.Sends[0].Frame.GetPull()
	is.Equal(len(pull.GetPieces()), 3)
	effects = from.OnPull("peer", pull, now)
	far.OnPieces("peer", effects.Sends[0].Frame.GetPieces(), now)
	got, _ = far.Inputs("team")
	is.Equal(got, inputs)
	is.Equal(far.Manifest().Hash(), s.manifest.Hash())
}
