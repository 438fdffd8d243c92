package applier

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

// failing is an asserter that fails the test.
type failing struct {
	testing.TB
}

// Check implements asserter.Asserter.
func (f failing) Check(ok bool, invariant, detail string) {
	if !ok {
		f.Fatalf("%s: %s", invariant, detail)
	}
}

func version(number uint64, slots string) (fireflymoor.Manifest, fireflymoor.Inputs) {
	inputs := fireflymoor.Inputs{
		Template: "---\n[service a]\nslots = " + slots + "\n",
	}
	entry := fireflymoor.TeamEntry{
		Team:     "team",
		Number:   number,
		Rendered: fireflymoor.HashOf("[service a]\nslots = " + slots + "\n"),
	}
	return fireflymoor.NewManifest(number, []fireflymoor.TeamEntry{entry}), inputs
}

// TestFloor puts nothing in force before a quorum has confirmed how new it
// must be, nothing older than that, and never goes back.
func TestFloor(t *testing.T) {
	is := is.New(t)
	a := New("team", renderer.New(parser.New()), failing{TB: t})
	is.True(!a.Apply(version(7, "3"))) // not confirmed
	a.Confirm(9)
	is.True(!a.Apply(version(8, "3"))) // below the floor
	is.Equal(a.Held(), uint64(0))
	is.True(a.Apply(version(9, "3")))
	is.True(!a.Apply(version(8, "4"))) // older
	is.True(!a.Apply(version(9, "4"))) // no newer
	is.Equal(a.Held(), uint64(9))
}

// TestRefusal keeps the version before, and says why, when a version does not
// render or does not give the accepted form.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	a := New("team", renderer.New(parser.New()), failing{TB: t})
	a.Confirm(0)
	is.True(a.Apply(version(1, "3")))
	is.True(!a.Apply(version(2, "none")))
	is.True(a.Refusal() != nil)
	manifest, _ := version(3, "4")
	_, other := version(3, "5")
	is.True(!a.Apply(manifest, other)) // not the accepted form
	is.Equal(a.Held(), uint64(1))
	service, _ := a.Current().Service("a")
	is.Equal(service.Slots, 3)
	is.True(a.Apply(version(4, "6")))
	is.NoErr(a.Refusal())
}
