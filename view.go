package fireflymoor

import (
	"slices"
)

// TargetState is the state of a target as a proxy knows it.
type TargetState int

// The states of a target.
const (
	// Ready targets get new work.
	Ready TargetState = iota
	// Draining targets get no new work.
	Draining
	// Suspect targets belong to a node that is suspected of having failed.
	Suspect
)

// String returns the state's name.
func (s TargetState) String() string {
	return [...]string{"ready", "draining", "suspect"}[s]
}

// A Target describes one target to a proxy.
type Target struct {
	// ID is unique among the targets of one boot of the node.
	ID string
	// Service is the name of the target's service.
	Service string
	// Node is the name of the node in the target's instance.
	Node string
	// Boot is the incarnation number of the node's process.
	Boot uint64
	// Zone is the availability zone of the node.
	Zone string
	// Team is the team that the node serves.
	Team string
	// Address is the address where the node accepts calls from other nodes.
	Address string
	// Version is the version of the target's software, or empty if it gave none.
	Version string
	// Unvetted is set if the proxy does not know whether the version is to be rolled
	// out. It counts only while no roll-out of the service was ever ordered.
	Unvetted bool
	// Slots is the number of calls that the target serves at once.
	Slots int
	// State is the target's state.
	State TargetState
}

// A View is the configuration and the targets by which a proxy routes calls. It
// is immutable.
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

// WithConfiguration returns a copy of the view with another configuration.
func (v View) WithConfiguration(configuration Configuration) View {
	v.configuration = configuration
	return v
}

// WithTargets returns a copy of the view with other targets.
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

// A Candidate is a target with the proxy's current knowledge of its load.
type Candidate struct {
	// Target is the target.
	Target Target
	// InFlight is the number of this proxy's calls in flight to the target.
	InFlight int
	// Load is the share of the target's slots in use at its last response or
	// refusal. It is more than 1 while calls wait. It is a hint, and 0 if it is
	// outdated.
	Load float64
	// ZoneLoad is the mean load that targets of the same service and
	// availability zone recently reported to this proxy. A refusal counts as 2.
	// It is 0 if there was no recent report.
	ZoneLoad float64
	// ZoneFull is the share of the recent reports of targets of the same service and
	// availability zone by which all their slots were in use.
	ZoneFull float64
	// Capacity is how many slots of the target calls can use. It is less than its
	// slots if the target states a limit of its rate, and 0 if it is not known.
	Capacity float64
	// Limited is set if the target states a limit of its rate.
	Limited bool
	// Slowness is the recent latency of this proxy's calls at the target, as a
	// multiple of the usual latency on their routes. It is 1 if it is unknown.
	Slowness float64
	// Utilization is the expected share of the target's slots that calls of all
	// proxies use or wait for. It is the last report of the target's load, which
	// approaches ZoneLoad as it ages, and this proxy's picks since. It is more
	// than 1 while calls wait.
	Utilization float64
	// RelativeHold is how long calls hold a slot of the target, as a multiple of
	// the mean of its service and availability zone. It is 1 if it is unknown.
	RelativeHold float64
	// Stalled reports whether calls of this proxy are in flight to the target and
	// none has returned for far longer than calls usually take there.
	Stalled bool
	// Weight is the share of work that the target should get, relative to a
	// target after slow start. It is in (0, 1].
	Weight float64
	// SameZone reports whether the target is in the proxy's availability zone.
	SameZone bool
	// SameInstance reports whether the target is in the proxy's instance, so that
	// calls to it do not cross the network.
	SameInstance bool
}

// A Pick is a balancer's choice.
type Pick struct {
	// Target is the chosen target.
	Target Target
	// Reason is why the target was chosen, for the log.
	Reason string
	// MayRedirect reports whether another target probably has a free slot, so that
	// the target's node may send the call back instead of letting it wait.
	MayRedirect bool
}
