package fireflymoor

import (
	"slices"
)

// TargetState is what is known of a target.
type TargetState int

// The states of a target.
const (
	// Ready targets may be given work.
	Ready TargetState = iota
	// Draining targets get no new work.
	Draining
	// Suspect targets are behind a node that is not heard.
	Suspect
)

// String returns the state's name.
func (s TargetState) String() string {
	return [...]string{"ready", "draining", "suspect"}[s]
}

// A Target is one target as a proxy sees it.
type Target struct {
	// ID is unique among the targets of a node's boot.
	ID string
	// Service is the name of the target's service.
	Service string
	// Node is the name of the node in the target's instance.
	Node string
	// Boot is the boot id of the node.
	Boot uint64
	// Zone is the availability zone.
	Zone string
	// Team is the team that the node serves.
	Team string
	// Address is where the node takes calls from other nodes.
	Address string
	// Slots is the number of calls the target serves at once.
	Slots int
	// State is the target's state.
	State TargetState
}

// A View is what one proxy routes by. It is immutable.
type View struct {
	configuration Configuration
	targets       map[string][]Target
}

// NewView returns a new View of a configuration and targets.
func NewView(configuration Configuration, targets []Target) View {
	v := View{
		configuration: configuration,
	}
	return v.WithTargets(targets)
}

// WithConfiguration returns the same view under another configuration.
func (v View) WithConfiguration(configuration Configuration) View {
	v.configuration = configuration
	return v
}

// WithTargets returns the same view with other targets.
func (v View) WithTargets(targets []Target) View {
	byService := map[string][]Target{}
	for i := range targets {
		t := targets[i]
		byService[t.Service] = append(byService[t.Service], t)
	}
	v.targets = byService
	return v
}

// Configuration returns the configuration in force.
func (v View) Configuration() Configuration {
	return v.configuration
}

// Targets returns the targets of a service. The caller must not change them.
func (v View) Targets(service string) []Target {
	return slices.Clip(v.targets[service])
}

// A Candidate is a target with what the proxy knows of its load.
type Candidate struct {
	// Target is the target.
	Target Target
	// InFlight is the number of this proxy's calls at the target.
	InFlight int
	// Load is the share of the target's slots in use when it last answered
	// or refused, more than 1 while calls wait. It is a hint, and 0 when old.
	Load float64
	// ZoneLoad is the mean load that targets of its service and availability
	// zone have told this proxy lately, where a refusal counts as 2. It is 0 if
	// none has.
	ZoneLoad float64
	// Slowness is how long this proxy's own calls have taken there lately, as a
	// multiple of what is usual on their routes. It is 1 if that is not known.
	Slowness float64
	// Stalled says that calls of this proxy are at the target and none has
	// come back for far longer than they take there.
	Stalled bool
	// Weight is the share of a full target's work that it should get, above
	// 0 and up to 1.
	Weight float64
	// Local says whether it is in the proxy's own availability zone.
	Local bool
	// Own says whether it is in the proxy's own instance, so that its calls
	// cross no link.
	Own bool
}

// A Pick is a balancer's choice.
type Pick struct {
	// Target is the chosen target.
	Target Target
	// Reason says why, for the log.
	Reason string
}
