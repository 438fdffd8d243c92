// Package parser parses the rendered form of a team's configuration, and other INI
// texts.
package parser

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/fireflymoor/fireflymoor"
)

// Limits and defaults of a configuration's values. MaxText, MaxBodyBytes,
// MaxHeadBytes and DefaultBody are in bytes; DefaultBudget and DefaultEject are
// in percent; MaxRate is in calls a second, and MaxBurst in calls. MaxText is enough
// for 20,000 keys of tenants, which take 72 bytes each.
const (
	MaxText        = 2 << 20
	MaxSlots       = 10_000
	MaxQueue       = 100_000
	MaxRetries     = 100
	MaxTimeout     = 10 * time.Minute
	MaxSlowStart   = 10 * time.Minute
	MaxBodyBytes   = 1 << 30
	MaxHeadBytes   = 1 << 20
	MaxPriority    = 1_000
	MaxConnections = 1_000_000
	MaxRate        = 1e9
	MaxBurst       = 1e9
	MaxWeight      = 1e6
	DefaultSlots   = 20
	DefaultQueue   = 40
	DefaultTimeout = 10 * time.Second
	DefaultRetries = 2
	DefaultBody    = 1 << 20
	DefaultBudget  = 20
	DefaultEject   = 30
	DefaultWeight  = 1
	maxPercent     = 100
)

// defaultIdempotent are the idempotent methods of a route that sets none.
var defaultIdempotent = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}

// parser is a fireflymoor.Parser without a cache.
type parser struct{}

// New returns a fireflymoor.Parser that caches the sections of the text that it
// parsed last. It is safe for concurrent use.
func New() fireflymoor.Parser {
	return &cachingParser{}
}

// Parse implements fireflymoor.Parser. It returns all faults of the text as
// fireflymoor.Faults.
func (parser) Parse(team, text string) (fireflymoor.Configuration, error) {
	d := NewDocument("rendered", team, "rendered", text)
	if d.file == nil {
		return fireflymoor.Configuration{}, d.Err()
	}
	content := readSections(d)
	content.applyMaxBody()
	content.checkReferences(d)
	if err := d.Err(); err != nil {
		return fireflymoor.Configuration{}, err
	}
	return content.configuration(team), nil
}

// content is the content of a text, or of one section.
type content struct {
	services []fireflymoor.Service
	routes   []fireflymoor.Route
	tenants  []fireflymoor.Tenant
	limits   fireflymoor.Limits
	// hasLimits reports whether the text has a section of limits.
	hasLimits bool
}

// newContent returns the content of an empty text, with the default limits.
func newContent() content {
	return content{
		limits: fireflymoor.Limits{
			RetryBudget: DefaultBudget,
			EjectShare:  DefaultEject,
		},
	}
}

// configuration returns the configuration of a team with the content.
func (c content) configuration(team string) fireflymoor.Configuration {
	configuration := fireflymoor.NewConfiguration(team, c.services, c.routes, c.limits)
	if len(c.tenants) == 0 {
		return configuration
	}
	return configuration.WithTenants(c.tenants)
}

// merge returns the content with that of a section added.
func (c content) merge(section content) content {
	c.services = append(c.services, section.services...)
	c.routes = append(c.routes, section.routes...)
	c.tenants = append(c.tenants, section.tenants...)
	if section.hasLimits {
		c.limits = section.limits
	}
	return c
}

// readSections reads all sections of a document and notes their faults.
func readSections(d *Document) content {
	c := newContent()
	for _, s := range d.Sections() {
		kind, name, _ := strings.Cut(s.Name(), " ")
		switch {
		case kind == "service" && name != "":
			c.services = append(c.services, readService(s, name))
		case kind == "route" && name != "":
			c.routes = append(c.routes, readRoute(s, name))
		case kind == "tenant" && name != "":
			c.tenants = append(c.tenants, readTenant(s, name))
		case s.Name() == "limits":
			c.limits = readLimits(s)
			c.hasLimits = true
		default:
			s.Fault("", "unknown section; known are [service NAME], [route NAME], [tenant NAME] and [limits]")
		}
		s.Close()
	}
	return c
}

// applyMaxBody sets the maximum body size of the routes that give none to that of
// the limits, or to DefaultBody.
func (c content) applyMaxBody() {
	for i := range c.routes {
		if c.routes[i].MaxBody < 0 {
			c.routes[i].MaxBody = cmp.Or(c.limits.MaxBody, DefaultBody)
		}
	}
}

func readService(s *Section, name string) fireflymoor.Service {
	s.CheckName(name)
	return fireflymoor.Service{
		Name:      name,
		Slots:     s.Int("slots", DefaultSlots, 1, MaxSlots),
		Queue:     s.Int("queue", DefaultQueue, 0, MaxQueue),
		SlowStart: s.Duration("slow-start", 0, 0, MaxSlowStart),

		HealthPath:  s.String("health-path", ""),
		Connections: s.Int("connections", 0, 0, MaxConnections),
	}
}

func readRoute(s *Section, name string) fireflymoor.Route {
	s.CheckName(name)
	route := fireflymoor.Route{
		Name:       name,
		Host:       s.String("host", ""),
		PathPrefix: s.String("path-prefix", "/"),
		Split:      readSplit(s),
		Timeout:    s.Duration("timeout", DefaultTimeout, time.Millisecond, MaxTimeout),
		Retries:    s.Int("retries", DefaultRetries, 0, MaxRetries),
		Idempotent: s.Words("idempotent", defaultIdempotent),
		MaxBody:    int64(s.Int("max-body", -1, 0, MaxBodyBytes)),
		Objective:  s.Duration("objective", 0, 0, MaxTimeout),
		Priority:   s.Int("priority", 0, 0, MaxPriority),
		AuthExempt: s.Bool("auth-exempt", false),
		Bulk:       s.Bool("bulk", false),
	}
	if len(route.Split) == 0 {
		route.Service = s.Required("service")
	} else if s.String("service", "") != "" {
		s.Fault("service", "cannot be combined with split")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		s.Fault("path-prefix", "does not begin with /")
	}
	return route
}

// readSplit reads the services among which a route splits its calls, each written
// as SERVICE:WEIGHT.
func readSplit(s *Section) []fireflymoor.Share {
	var split []fireflymoor.Share
	total := 0.0
	for _, word := range s.Words("split", nil) {
		name, text, ok := strings.Cut(word, ":")
		weight, err := strconv.ParseFloat(text, 64)
		if !ok || name == "" || err != nil || !(weight >= 0) || math.IsInf(weight, 0) {
			s.Fault("split", fmt.Sprintf("%q is not SERVICE:WEIGHT with a weight of 0 or more", word))
			return split
		}
		total += weight
		split = append(split, fireflymoor.Share{
			Service: name,
			Weight:  weight,
		})
	}
	if len(split) > 0 && (total <= 0 || math.IsInf(total, 0)) {
		s.Fault("split", fmt.Sprintf("the weights add up to %g", total))
	}
	return split
}

func readLimits(s *Section) fireflymoor.Limits {
	return fireflymoor.Limits{
		RetryBudget:    s.Int("retry-budget", DefaultBudget, 0, maxPercent),
		EjectShare:     s.Int("eject-share", DefaultEject, 0, maxPercent),
		Balance:        readBalance(s),
		MaxBody:        int64(s.Int("max-body", 0, 0, MaxBodyBytes)),
		MaxHeaderBytes: s.Int("max-head", 0, 0, MaxHeadBytes),
		HeaderTimeout:  s.Duration("head-timeout", 0, 0, MaxTimeout),
		IdleTimeout:    s.Duration("idle-timeout", 0, 0, MaxTimeout),
	}
}

// readBalance reads how nodes choose the targets of calls.
func readBalance(s *Section) fireflymoor.Balance {
	text := s.String("balance", "")
	balance, ok := fireflymoor.ParseBalance(text)
	if text != "" && !ok {
		s.Fault("balance", fmt.Sprintf("%q is not two-choices, even or auto", text))
	}
	return balance
}

// checkReferences notes a fault for each route that leads to an unknown service or
// matches the same calls as another one, and for each key that several tenants have.
func (c content) checkReferences(d *Document) {
	for _, open := range fireflymoor.OpenReferences(c.services, c.routes) {
		reason := "no service " + open.Service + " in this configuration"
		if open.Service == "" {
			reason = "leads to a service without a name"
		}
		d.Fault("route "+open.Route, "service", reason)
	}
	matches := map[string]string{}
	for i := range c.routes {
		r := c.routes[i]
		section := "route " + r.Name
		match := strings.ToLower(r.Host) + r.PathPrefix
		if other, ok := matches[match]; ok {
			d.Fault(section, "", "matches the same calls as route "+other)
		}
		matches[match] = r.Name
	}
	c.checkKeys(d)
}

func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreInlineComment:      false,
		SkipUnrecognizableLines:  false,
		AllowNonUniqueSections:   false,
		SpaceBeforeInlineComment: true,
	}
}
