package applier

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
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

// openRenderer renders a configuration whose route leads to a service that it has not, as
// a build with other checks may accept it.
type openRenderer struct {
	fireflymoor.Renderer
	services []string
}

// Render implements fireflymoor.Renderer.
func (r *openRenderer) Render(team string, inputs fireflymoor.Inputs) (fireflymoor.Rendered, error) {
	rendered, err := r.Renderer.Render(team, inputs)
	if err != nil || len(r.services) == 0 {
		return rendered, err
	}
	route := fireflymoor.Route{
		Name: "r",
	}
	for _, name := range r.services {
		route.Split = append(route.Split, fireflymoor.Share{
			Service: name,
			Weight:  1,
		})
	}
	rendered.Configuration = fireflymoor.NewConfiguration(team, rendered.Configuration.Services(), []fireflymoor.Route{route}, fireflymoor.Limits{})
	return rendered, nil
}

// TestOpenVersionIsRefused guards against nodes that end, again after each start, when a
// version with an open reference was accepted. The version in force must stay, if there is
// one, and a further version must be put in force.
func TestOpenVersionIsRefused(t *testing.T) {
	for _, services := range [][]string{{""}, {"a", ""}, {"a", "b"}} {
		for _, started := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, version in force %t", services, started), func(t *testing.T) {
				is := is.New(t)
				r := &openRenderer{Renderer: renderer.New(parser.New())}
				a := New("team", r, failingAsserter{TB: t})
				a.Confirm(0)
				before := uint64(0)
				if started {
					is.True(a.Apply(newVersion(1, "3")))
					before = 1
				}
				r.services = services
				is.True(!a.Apply(newVersion(2, "4")))
				is.True(errors.Is(a.Refusal(), errOpenReference))
				is.Equal(a.Number(), before)
				r.services = nil
				is.True(a.Apply(newVersion(3, "5")))
				is.NoErr(a.Refusal())
				service, _ := a.Current().Service("a")
				is.Equal(service.Slots, 5)
			})
		}
	}
}
