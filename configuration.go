package fireflymoor

import (
	"slices"
	"strings"
	"time"
)

// A Service is one kind of target that routes may lead to.
type Service struct {
	// Name is the service's name.
	Name string
	// Slots is the number of calls that one target serves at once, unless
	// the target announces fewer.
	Slots int
	// Queue is the number of calls that may wait for a target's slot.
	Queue int
	// SlowStart is how long a new target gets less than its share.
	SlowStart time.Duration
}

// A Route leads calls to a service.
type Route struct {
	// Name is the route's name.
	Name string
	// Host is matched against the call's host; empty matches all.
	Host string
	// PathPrefix is matched against the start of the call's path, at a
	// segment's end.
	PathPrefix string
	// Service is the name of the service the route leads to.
	Service string
	// Timeout bounds a call from its arrival to the end of its answer.
	Timeout time.Duration
	// Retries is the number of further tries a call may get.
	Retries int
	// Idempotent are the methods that may be sent again after dispatch.
	Idempotent []string
	// MaxBody is the largest body of a call, in bytes.
	MaxBody int64
}

// MayRepeat says whether a call with this method may be sent again after a
// try whose outcome is unknown.
func (r Route) MayRepeat(method string) bool {
	return slices.Contains(r.Idempotent, method)
}

// Limits bound what a team's proxies do beyond single calls.
type Limits struct {
	// RetryBudget is the share of retries among recent calls, in percent.
	RetryBudget int
	// EjectShare is the largest share of a service's targets that one proxy
	// may eject at once, in percent.
	EjectShare int
}

// A Configuration is what every proxy of a team holds in one version. It is
// immutable.
type Configuration struct {
	team     string
	number   uint64
	services []Service
	routes   []Route
	limits   Limits
}

// NewConfiguration returns a new Configuration of team. Routes are ordered so
// that the first match is the most specific.
func NewConfiguration(team string, services []Service, routes []Route, limits Limits) Configuration {
	ordered := slices.Clone(routes)
	slices.SortStableFunc(ordered, moreSpecific)
	return Configuration{
		team:     team,
		services: slices.Clone(services),
		routes:   ordered,
		limits:   limits,
	}
}

func moreSpecific(a, b Route) int {
	if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
		return d
	}
	if d := len(b.Host) - len(a.Host); d != 0 {
		return d
	}
	return strings.Compare(a.Name, b.Name)
}

// WithNumber returns the same configuration as held in the version number.
func (c Configuration) WithNumber(number uint64) Configuration {
	c.number = number
	return c
}

// Team returns the team's name.
func (c Configuration) Team() string {
	return c.team
}

// Number returns the number of the version in which this is held.
func (c Configuration) Number() uint64 {
	return c.number
}

// Limits returns the team's limits.
func (c Configuration) Limits() Limits {
	return c.limits
}

// Services returns the services.
func (c Configuration) Services() []Service {
	return slices.Clone(c.services)
}

// Routes returns the routes, the most specific first.
func (c Configuration) Routes() []Route {
	return slices.Clone(c.routes)
}

// Service returns the named service, and false if there is none.
func (c Configuration) Service(name string) (Service, bool) {
	for i := range c.services {
		if c.services[i].Name == name {
			return c.services[i], true
		}
	}
	return Service{}, false
}

// Match returns the most specific route for a host and path, and false if
// none matches.
func (c Configuration) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for i := range c.routes {
		if c.routes[i].matches(host, path) {
			return c.routes[i], true
		}
	}
	return Route{}, false
}

func (r *Route) matches(host, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	return len(path) == len(r.PathPrefix) ||
		strings.HasSuffix(r.PathPrefix, "/") ||
		path[len(r.PathPrefix)] == '/'
}

// Closed says whether every route leads to a service of the configuration.
func (c Configuration) Closed() bool {
	for i := range c.routes {
		if _, ok := c.Service(c.routes[i].Service); !ok {
			return false
		}
	}
	return true
}
