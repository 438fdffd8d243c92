package fireflymoor

import (
	"cmp"
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
	// HealthPath is where a target of the service says whether it is well, or
	// empty.
	HealthPath string
	// Connections is the number of connections that one target accepts, or 0
	// if that is not known.
	Connections int
}

// AnyMethod stands for all methods among those of a route.
const AnyMethod = "*"

// A Share is one service's part of a route's calls.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the part, in proportion to the other shares of the route.
	Weight float64
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
	// Service is the name of the service the route leads to, or empty if it
	// leads to several.
	Service string
	// Split parts the calls among several services, or is empty.
	Split []Share
	// Timeout bounds a call from its arrival to the end of its answer.
	Timeout time.Duration
	// Retries is the number of further tries a call may get.
	Retries int
	// Idempotent are the methods that may be sent again after dispatch.
	// AnyMethod stands for all.
	Idempotent []string
	// Objective is the time within which a call should be answered, or 0.
	Objective time.Duration
	// Priority is the route's rank when there is not room for all. The lowest
	// number goes first.
	Priority int
	// MaxBody is the largest body of a call, in bytes.
	MaxBody int64
}

// MayRepeat says whether a call with this method may be sent again after a
// try whose outcome is unknown.
func (r Route) MayRepeat(method string) bool {
	return slices.Contains(r.Idempotent, method) || slices.Contains(r.Idempotent, AnyMethod)
}

// Choose returns the service for one call. Point is between 0 and 1, and the
// same point always gives the same service.
func (r Route) Choose(point float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	chosen := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		chosen = s.Service
		point -= s.Weight / total
		if point < 0 {
			break
		}
	}
	return chosen
}

// Services returns the names of all services that the route may lead to.
func (r Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		names = append(names, s.Service)
	}
	return names
}

// Limits bound what a team's proxies do beyond single calls.
type Limits struct {
	// RetryBudget is the share of retries among recent calls, in percent.
	RetryBudget int
	// EjectShare is the largest share of a service's targets that one proxy
	// may eject at once, in percent.
	EjectShare int
	// MaxBody is the largest body of a call on a route that sets none, in
	// bytes, or 0.
	MaxBody int64
	// MaxHead is the largest head of a call, in bytes, or 0.
	MaxHead int
	// HeadTimeout is how long a caller may take to send a call's head, or 0.
	HeadTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle, or 0.
	IdleTimeout time.Duration
}

// A Configuration is what every proxy of a team holds in one version. It is
// immutable.
type Configuration struct {
	team     string
	number   uint64
	services []Service
	routes   []Route
	limits   Limits
	// byHost holds the indexes of the routes of each host in lower case, the
	// most specific first.
	byHost map[string][]int
}

// NewConfiguration returns a new Configuration of team.
func NewConfiguration(team string, services []Service, routes []Route, limits Limits) Configuration {
	c := Configuration{
		team:     team,
		services: slices.Clone(services),
		routes:   slices.Clone(routes),
		limits:   limits,
		byHost:   map[string][]int{},
	}
	for i := range c.routes {
		host := strings.ToLower(c.routes[i].Host)
		c.byHost[host] = append(c.byHost[host], i)
	}
	for _, indexes := range c.byHost {
		slices.SortStableFunc(indexes, func(a, b int) int {
			return cmp.Or(
				len(c.routes[b].PathPrefix)-len(c.routes[a].PathPrefix),
				strings.Compare(c.routes[a].Name, c.routes[b].Name),
			)
		})
	}
	return c
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

// Routes returns the routes in the order in which they were given.
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
// none matches. The longest path prefix goes first, and of two as long the one
// that names the host.
func (c Configuration) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	named := c.first(strings.ToLower(host), path)
	other := c.first("", path)
	switch {
	case named < 0 && other < 0:
		return Route{}, false
	case named < 0 || (other >= 0 && len(c.routes[other].PathPrefix) > len(c.routes[named].PathPrefix)):
		return c.routes[other], true
	}
	return c.routes[named], true
}

// first returns the index of the most specific route of a host that matches
// path, or -1.
func (c Configuration) first(host, path string) int {
	for _, i := range c.byHost[host] {
		if c.routes[i].matches(path) {
			return i
		}
	}
	return -1
}

func (r *Route) matches(path string) bool {
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
		for _, name := range c.routes[i].Services() {
			if _, ok := c.Service(name); !ok {
				return false
			}
		}
	}
	return true
}
