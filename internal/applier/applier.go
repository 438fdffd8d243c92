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
	// errOpenReference is no violated invariant: the version may come from a replica of
	// another build, with other checks.
	errOpenReference = errors.New("a route leads to a service that is not in the configuration")
	// errNotRendered stays the result of a preparation whose rendering has panicked.
	errNotRendered = errors.New("the version was not rendered")
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
	p := a.Begin(manifest, inputs)
	if p == nil {
		return false
	}
	p.Render()
	return a.Finish(p)
}

// A Preparation is the work of rendering a version before it is put in force.
type Preparation struct {
	manifest fireflymoor.Manifest
	inputs   fireflymoor.Inputs
	team     string
	renderer fireflymoor.Renderer
	// current and entry are those of the version in force.
	current fireflymoor.Configuration
	entry   fireflymoor.TeamEntry
	// next and nextEntry are the result, unless err is set.
	next      fireflymoor.Configuration
	nextEntry fireflymoor.TeamEntry
	err       error
}

// Begin begins to put a version in force, given the inputs of the proxy's team in this
// version. It returns nil if the version may not be put in force. Only one preparation may
// be rendered at a time.
func (a *Applier) Begin(manifest fireflymoor.Manifest, inputs fireflymoor.Inputs) *Preparation {
	if manifest.Number() <= a.Number() {
		return nil
	}
	if !a.confirmed || manifest.Number() < a.floor {
		a.refusal = errNoFloor
		return nil
	}
	return &Preparation{
		manifest: manifest,
		inputs:   inputs,
		team:     a.team,
		renderer: a.renderer,
		current:  a.current,
		entry:    a.entry,
		err:      errNotRendered,
	}
}

// Render renders the version. It may run beside the methods of the Applier.
func (p *Preparation) Render() {
	p.next, p.nextEntry, p.err = p.renderVersion()
}

// Finish puts a rendered version in force. It reports whether it did so. Otherwise the
// version in force stays.
func (a *Applier) Finish(p *Preparation) bool {
	a.refusal = p.err
	if p.err != nil {
		return false
	}
	if p.manifest.Number() < a.floor {
		a.refusal = errNoFloor
		return false
	}
	a.asserter.Check(p.next.Number() > a.Number(), "never-older", a.team)
	a.current = p.next
	a.entry = p.nextEntry
	return true
}

// renderVersion returns the configuration and the team's entry of a version. It
// renders the inputs only if the hash of the rendered form has changed, and fails
// if they don't give that form. A version without the team gives an empty
// configuration.
func (p *Preparation) renderVersion() (fireflymoor.Configuration, fireflymoor.TeamEntry, error) {
	number := p.manifest.Number()
	entry, ok := p.manifest.Team(p.team)
	if !ok {
		empty := fireflymoor.NewConfiguration(p.team, nil, nil, fireflymoor.Limits{})
		return empty.WithNumber(number), entry, nil
	}
	rollouts, err := fireflymoor.DecodeRollouts(p.inputs.Rollouts)
	if err != nil {
		return fireflymoor.Configuration{}, entry, errors.Wrapf(err, "applier: version %d", number)
	}
	if entry.Rendered == p.entry.Rendered {
		return p.current.WithNumber(number).WithRollouts(rollouts), entry, nil
	}
	rendered, err := p.renderer.Render(p.team, p.inputs)
	if err != nil {
		return fireflymoor.Configuration{}, entry, errors.Wrapf(err, "applier: render version %d", number)
	}
	if fireflymoor.HashOf(rendered.Text) != entry.Rendered {
		return fireflymoor.Configuration{}, entry, errors.Wrapf(errMismatch, "applier: version %d", number)
	}
	for _, open := range rendered.Configuration.OpenReferences() {
		return fireflymoor.Configuration{}, entry, errors.Wrapf(errOpenReference, "applier: version %d, route %s, service %q",
			number, open.Route, open.Service)
	}
	return rendered.Configuration.WithNumber(number).WithRollouts(rollouts), entry, nil
}
