package applier

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

// TestRollouts puts versions in force of which only the roll-outs, or only the inputs,
// differ. Neither may be lost, and a version whose roll-outs cannot be read must be
// refused.
func TestRollouts(t *testing.T) {
	is := is.New(t)
	a := New("team", renderer.New(parser.New()), failingAsserter{TB: t})
	a.Confirm(0)
	text, err := fireflymoor.EncodeRollouts([]fireflymoor.Rollout{{
		Service: "a",
		Version: "v2",
		State:   fireflymoor.RolloutRunning,
		Share:   0.05,
	}})
	is.NoErr(err)
	apply := func(number uint64, slots, rollouts string) bool {
		manifest, inputs := newVersion(number, slots)
		inputs.Rollouts = rollouts
		return a.Apply(manifest, inputs)
	}
	is.True(apply(1, "3", ""))
	is.True(apply(2, "3", text))
	rollout, _ := a.Current().Rollout("a")
	is.Equal(rollout.Share, 0.05)
	is.True(apply(3, "4", text))
	rollout, _ = a.Current().Rollout("a")
	is.Equal(rollout.Version, "v2")
	service, _ := a.Current().Service("a")
	is.Equal(service.Slots, 4)
	is.True(!apply(4, "4", "nonsense"))
	is.Equal(a.Number(), uint64(3))
}
