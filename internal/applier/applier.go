// Package applier decides when a proxy puts a stored version in force. A version
// is put in force completely or not at all, and never after a newer one.
package applier

import (
	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/asserter"
)

var (
	errNoFloor  = errors.New("no quorum has yet confirmed how new a version must be")
	errMismatch = errors.New("the rendered form differs from the accepted one")
)

// An Applier holds the configuration in force at one proxy. It is not safe for
// concurrent use.
type Applier struct {
	team      string
	renderer  fireflymoor.Renderer
	asserter  asserter.Asserter
	floor     uint64
	confirmed bool
	refusal   error
	entry     fireflymoor.TeamEntry
	current   fireflymoor.Configuration
}

// New returns an Applier for a proxy of team.
func New(team string, renderer fireflymoor.Renderer, asserter asserter.Asserter) *Applier {
	return &Applier{
		team:     team,
		renderer: renderer,
		asserter: asserter,
	}
}

// Confirm raises the floor, the lowest version that may be put in force, to a
// version that a quorum confirmed after this process started or that was read
// from the local disk. A lower number leaves the floor as it is.
func (a *Applier) Confirm(number uint64) {
	a.floor = max(a.floor, number)
	a.confirmed = true
}

// Confirmed reports whether the floor is known.
func (a *Applier) Confirmed() bool {
	return a.confirmed
}

// Number returns the number of the version in force.
func (a *Applier) Number() uint64 {
	return a.current.Number()
}

// Current returns the configuration in force.
func (a *Applier) Current() fireflymoor.Configuration {
	return a.current
}

// Refusal returns the reason why the last newer version was not put in force, or
// nil if it was.
func (a *Applier) Refusal() error {
	return a.refusal
}

// Apply puts a version in force, given the inputs of the proxy's team in this
// version. It reports whether it did so. Otherwise the version in force stays.
func (a *Applier) Apply(manifest fireflymoor.Manifest, inputs fireflymoor.Inputs) bool {
	if manifest.Number() <= a.Number() {
		return false
	}
	if !a.confirmed || manifest.Number() < a.floor {
		a.refusal = errNoFloor
		return false
	}
	next, entry, err := a.renderVersion(manifest, inputs)
	a.refusal = err
	if err != nil {
		return false
	}
	a.asserter.Check(next.Closed(), "routes-closed", a.team)
	a.asserter.Check(next.Number() > a.Number(), "never-older", a.team)
	a.current = next
	a.entry = entry
	return true
}

// renderVersion returns the configuration and the team's entry of a version. It
// renders the inputs only if the hash of the rendered form has changed, and fails
// if they don't give that form. A version without the team gives an empty
// configuration.
func (a *Applier) renderVersion(manifest fireflymoor.Manifest, inputs fireflymoor.Inputs) (fireflymoor.Configuration, fireflymoor.TeamEntry, error) {
	entry, ok := manifest.Team(a.team)
	if !ok {
		empty := fireflymoor.NewConfiguration(a.team, nil, nil, fireflymoor.Limits{})
		return empty.WithNumber(manifest.Number()), entry, nil
	}
	rollouts, err := fireflymoor.DecodeRollouts(inputs.Rollouts)
	if err != nil {
		return fireflymoor.Configuration{}, entry, errors.Wrapf(err, "applier: version %d", manifest.Number())
	}
	if entry.Rendered == a.entry.Rendered {
		return a.current.WithNumber(manifest.Number()).WithRollouts(rollouts), entry, nil
	}
	rendered, err := a.renderer.Render(a.team, inputs)
	if err != nil {
		return fireflymoor.Configuration{}, entry, errors.Wrapf(err, "applier: render version %d", manifest.Number())
	}
	if fireflymoor.HashOf(rendered.Text) != entry.Rendered {
		return fireflymoor.Configuration{}, entry, errors.Wrapf(errMismatch, "applier: version %d", manifest.Number())
	}
	return rendered.Configuration.WithNumber(manifest.Number()).WithRollouts(rollouts), entry, nil
}
