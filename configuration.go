package fireflymoor

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// A Service is a named kind of target. Routes lead to services.
type Service struct {
	// Name is the service's name.
	Name string
	// Slots is the number of calls that one target serves at once, unless
	// the target announces fewer.
	Slots int
	// Queue is the number of calls that may wait for a target's slot.
	Queue int
	// SlowStart is how long a new target gets less than its full share of the
	// calls.
	SlowStart time.Duration
	// HealthPath is the path of the health check on a target of the service, or
	// empty.
	HealthPath string
	// Connections is the number of connections that one target accepts, or 0
	// if it is unknown.
	Connections int
}

// AnyMethod stands for all methods in Route.Idempotent.
const AnyMethod = "*"

// A Share is the share of a route's calls that goes to one service.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the size of the share relative to the other shares of the route.
	Weight float64
}

// A Route leads calls to a service.
type Route struct {
	// Name is the route's name.
	Name string
	// Host is matched against the call's host. An empty host matches all.
	Host string
	// PathPrefix is matched against the start of the call's path. The match must
	// end at the end of a path segment.
	PathPrefix string
	// Service is the name of the service the route leads to, or empty if it
	// leads to several.
	Service string
	// Split distributes the calls among several services, or is empty.
	Split []Share
	// Timeout bounds a call from its arrival to the end of its response.
	Timeout time.Duration
	// Retries is the maximum number of tries after the first one.
	Retries int
	// Idempotent holds the methods whose calls may be sent again after they have
	// been dispatched. AnyMethod stands for all methods.
	Idempotent []string
	// Objective is the time within which a call should be answered, or 0 if the
	// route has none.
	Objective time.Duration
	// Priority is the route's rank when there is no capacity for all calls. The
	// lowest number goes first.
	Priority int
	// MaxBody is the maximum size of a call's body, in bytes.
	MaxBody int64
	// AuthExempt reports whether calls need no key although there are tenants.
	AuthExempt bool
	// Bulk reports whether the route's responses are large and can wait.
	Bulk bool
}

// MayRepeat reports whether a call with this method may be sent again after a
// try whose outcome is unknown.
func (r Route) MayRepeat(method string) bool {
	return slices.Contains(r.Idempotent, method) || slices.Contains(r.Idempotent, AnyMethod)
}

// Choose returns the service for one call. point is in [0, 1); the same point
// always gives the same service.
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

// Balance is how nodes choose the targets of calls.
type Balance int

// The kinds of balance.
const (
	// BalanceDefault is the kind that the settings of a node give, or
	// BalanceTwoChoices.
	BalanceDefault Balance = iota
	// BalanceTwoChoices chooses the better one of two targets.
	BalanceTwoChoices
	// BalanceEven makes the utilization of targets even. The node of a full target may
	// send a call back, so that it is tried at another target.
	BalanceEven
	// BalanceAuto is BalanceEven for the services whose targets report their pace, and
	// BalanceTwoChoices for others.
	BalanceAuto
)

// String returns the name that a configuration gives the kind.
func (b Balance) String() string {
	return [...]string{"default", "two-choices", "even", "auto"}[b]
}

// ParseBalance returns the kind with a name, and false if there is none.
func ParseBalance(name string) (Balance, bool) {
	for b := BalanceTwoChoices; b <= BalanceAuto; b++ {
		if b.String() == name {
			return b, true
		}
	}
	return BalanceDefault, false
}

// Limits are the limits of a team's proxies that don't belong to one route.
type Limits struct {
	// RetryBudget is the maximum share of retries among recent calls, in percent.
	RetryBudget int
	// EjectShare is the maximum share of a service's targets that one proxy
	// may eject at once, in percent.
	EjectShare int
	// Balance is how nodes choose the targets of calls.
	Balance Balance
	// MaxBody is the maximum size of a call's body on a route that sets none, in
	// bytes, or 0 if it is not set.
	MaxBody int64
	// MaxHeaderBytes is the maximum size of a call's header, in bytes, or 0 if it
	// is not set.
	MaxHeaderBytes int
	// HeaderTimeout is how long a caller may take to send a call's header, or 0 if
	// it is not set.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle, or 0 if it is
	// not set.
	IdleTimeout time.Duration
}

// A Configuration is the content of one version for the proxies of one team. It
// is immutable.
type Configuration struct {
	team     string
	number   uint64
	services []Service
	routes   []Route
	limits   Limits
	// byHost holds the indexes in routes by host in lower case, the most specific
	// route first.
	byHost map[string][]int
	// tenantsByName holds the indexes in tenants by name, and tenantsByKey the positions
	// of keys by their hashes.
	tenants       []Tenant
	tenantsByName map[string]int
	tenantsByKey  map[[32]byte]keyIndex
	rollouts      []Rollout
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

// WithDefaultBalance returns a copy of the configuration with a kind of balance, if it
// gives none itself.
func (c Configuration) WithDefaultBalance(balance Balance) Configuration {
	if c.limits.Balance == BalanceDefault {
		c.limits.Balance = balance
	}
	return c
}

// WithNumber returns a copy of the configuration with the version number.
func (c Configuration) WithNumber(number uint64) Configuration {
	c.number = number
	return c
}

// Team returns the team's name.
func (c Configuration) Team() string {
	return c.team
}

// Number returns the number of the version that contains the configuration.
func (c Configuration) Number() uint64 {
	return c.number
}

// Limits returns the team's limits.
func (c Configuration) Limits() Limits {
	return c.limits
}

// Services returns a copy of the services.
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

// Match returns the most specific route for a host and path, and false if none
// matches. The longest path prefix is preferred, and among prefixes of the same
// length a route that names the host.
func (c Configuration) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	hostRoute := c.firstMatch(strings.ToLower(host), path)
	anyHostRoute := c.firstMatch("", path)
	switch {
	case hostRoute < 0 && anyHostRoute < 0:
		return Route{}, false
	case hostRoute < 0 || (anyHostRoute >= 0 && len(c.routes[anyHostRoute].PathPrefix) > len(c.routes[hostRoute].PathPrefix)):
		return c.routes[anyHostRoute], true
	}
	return c.routes[hostRoute], true
}

// firstMatch returns the index of the most specific route of a host that matches
// path, or -1 if there is none.
func (c Configuration) firstMatch(host, path string) int {
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

// Closed reports whether every route leads to services of the configuration.
func (c Configuration) Closed() bool {
	return len(c.OpenReferences()) == 0
}

// OpenReferences returns the references of the routes to services that the configuration
// does not have.
func (c Configuration) OpenReferences() []OpenReference {
	return OpenReferences(c.services, c.routes)
}

// An OpenReference is the name of a service that a route leads to and that does not exist.
type OpenReference struct {
	// Route is the name of the route.
	Route string
	// Service is the name of the missing service. It is empty if the route names none.
	Service string
}

// OpenReferences returns the references of routes to services that are not among the given
// ones. All checks of a configuration use it, so that what one of them accepts no other
// refuses.
func OpenReferences(services []Service, routes []Route) []OpenReference {
	known := make(map[string]bool, len(services))
	for i := range services {
		known[services[i].Name] = services[i].Name != ""
	}
	var open []OpenReference
	for i := range routes {
		for _, name := range routes[i].Services() {
			if !known[name] {
				open = append(open, OpenReference{
					Route:   routes[i].Name,
					Service: name,
				})
			}
		}
	}
	return open
}
