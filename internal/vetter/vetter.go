// Package vetter decides which versions of a service's targets a node may use before
// any roll-out of the service is ordered. Targets of a new version may start shortly
// before their order is in force at the node, or while the node is cut off from it.
package vetter

import (
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// startTime is how long after its start a node learns of targets that were there
	// before it. All versions seen until then are vetted.
	startTime = 10 * time.Second
	// holdTime is how long an order may take to follow the first target of its version
	// and to be in force.
	holdTime = 10 * time.Second
)

// service identifies a service of a team.
type service struct {
	team, name string
}

// seen is a version of a service's targets.
type seen struct {
	since  time.Time
	vetted bool
}

// A Vetter remembers the versions of targets. It is not safe for concurrent use.
type Vetter struct {
	started  time.Time
	services map[service]map[string]*seen
}

// New returns a Vetter of a node that starts now.
func New(now time.Time) *Vetter {
	return &Vetter{
		started:  now,
		services: map[service]map[string]*seen{},
	}
}

// Vet sets Unvetted on those of all known targets whose versions may not be used yet.
// The versions of the first targets of a service are vetted at once, others when
// ConfirmDue is called. A version without targets is forgotten unless it is vetted.
func (v *Vetter) Vet(targets []fireflymoor.Target, now time.Time) {
	v.learn(targets, now)
	for i := range targets {
		targets[i].Unvetted = !v.services[serviceOf(&targets[i])][targets[i].Version].vetted
	}
}

func serviceOf(target *fireflymoor.Target) service {
	return service{
		team: target.Team,
		name: target.Service,
	}
}

func (v *Vetter) learn(targets []fireflymoor.Target, now time.Time) {
	starting := now.Sub(v.started) < startTime
	first := map[service]bool{}
	present := map[service]map[string]bool{}
	for i := range targets {
		s := serviceOf(&targets[i])
		version := targets[i].Version
		if v.services[s] == nil {
			v.services[s] = map[string]*seen{}
			first[s] = true
		}
		if present[s] == nil {
			present[s] = map[string]bool{}
		}
		present[s][version] = true
		if v.services[s][version] == nil {
			v.services[s][version] = &seen{
				since:  now,
				vetted: starting || first[s],
			}
		}
	}
	for s, versions := range v.services {
		for version, known := range versions {
			if !known.vetted && !present[s][version] {
				delete(versions, version)
			}
		}
	}
}

// IsDue reports whether a version has been held for so long that it may be used if the
// configuration in force is the newest.
func (v *Vetter) IsDue(now time.Time) bool {
	for _, versions := range v.services {
		for _, known := range versions {
			if !known.vetted && now.Sub(known.since) >= holdTime {
				return true
			}
		}
	}
	return false
}

// ConfirmDue vets the versions that were due at a time after which a quorum confirmed
// that the configuration in force is the newest: no order holds them back.
func (v *Vetter) ConfirmDue(at time.Time) {
	for _, versions := range v.services {
		for _, known := range versions {
			known.vetted = known.vetted || at.Sub(known.since) >= holdTime
		}
	}
}
