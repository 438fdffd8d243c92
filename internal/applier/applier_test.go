package applier

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

// failingAsserter fails the test when an invariant is violated.
type failingAsserter struct {
	testing.TB
}

// Check implements asserter.Asserter.
func (f failingAsserter) Check(ok bool, invariant, detail string) {
	if !ok {
		f.Fatalf("%s: %s", invariant, detail)
	}
}

func newVersion(number uint64, slots string) (fireflymoor.Manifest, fireflymoor.Inputs) {
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

// TestFloor checks that no version is put in force before a quorum has confirmed
// the floor, none below the floor, and none that is not newer than the version
// in force.
func TestFloor(t *testing.T) {
	is := is.New(t)
	a := New("team", renderer.New(parser.New()), failingAsserter{TB: t})
	is.True(!a.Apply(newVersion(7, "3"))) // not confirmed
	a.Confirm(9)
	is.True(!a.Apply(newVersion(8, "3"))) // below the floor
	is.Equal(a.Number(), uint64(0))
	is.True(a.Apply(newVersion(9, "3")))
	is.True(!a.Apply(newVersion(8, "4"))) // older
	is.True(!a.Apply(newVersion(9, "4"))) // not newer
	is.Equal(a.Number(), uint64(9))
}

// TestRefusal checks that the version in force stays, with a reason, when a newer
// version can't be rendered or its rendered form is not the accepted one.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	a := New("team", renderer.New(parser.New()), failingAsserter{TB: t})
	a.Confirm(0)
	is.True(a.Apply(newVersion(1, "3")))
	is.True(!a.Apply(newVersion(2, "none")))
	is.True(a.Refusal() != nil)
	manifest, _ := newVersion(3, "4")
	_, other := newVersion(3, "5")
	is.True(!a.Apply(manifest, other)) // not the accepted rendered form
	is.Equal(a.Number(), uint64(1))
	service, _ := a.Current().Service("a")
	is.Equal(service.Slots, 3)
	is.True(a.Apply(newVersion(4, "6")))
	is.NoErr(a.Refusal())
}
