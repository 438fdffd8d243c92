// Package parser reads the rendered form of a team's configuration.
package parser

import (
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/fireflymoor/fireflymoor"
)

// Bounds of a configuration's values.
const (
	MaxText        = 1 << 20
	MaxSlots       = 10_000
	MaxQueue       = 100_000
	MaxRetries     = 5
	MaxTimeout     = 10 * time.Minute
	MaxSlowStart   = 10 * time.Minute
	MaxBodyBytes   = 1 << 30
	DefaultSlots   = 20
	DefaultQueue   = 40
	DefaultTimeout = 10 * time.Second
	DefaultRetries = 2
	DefaultBody    = 1 << 20
	DefaultBudget  = 20
	DefaultEject   = 30
	percent        = 100
)

var defaultIdempotent = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}

type parser struct{}

// New returns a new fireflymoor.Parser.
func New() fireflymoor.Parser {
	return parser{}
}

// Parse implements fireflymoor.Parser. It finds every fault of the text.
func (parser) Parse(team, text string) (fireflymoor.Configuration, error) {
	d := NewDocument("rendered", team, "rendered", text)
	if d.file == nil {
		return fireflymoor.Configuration{}, d.Err()
	}
	content := readSections(d)
	content.checkReferences(d)
	if err := d.Err(); err != nil {
		return fireflymoor.Configuration{}, err
	}
	return fireflymoor.NewConfiguration(team, content.services, content.routes, content.limits), nil
}

type content struct {
	services []fireflymoor.Service
	routes   []fireflymoor.Route
	limits   fireflymoor.Limits
}

func readSections(d *Document) content {
	c := content{
		limits: fireflymoor.Limits{
			RetryBudget: DefaultBudget,
			EjectShare:  DefaultEject,
		},
	}
	for _, s := range d.Sections() {
		kind, name, _ := strings.Cut(s.Name(), " ")
		switch {
		case kind == "service" && name != "":
			c.services = append(c.services, readService(s, name))
		case kind == "route" && name != "":
			c.routes = append(c.routes, readRoute(s, name))
		case s.Name() == "limits":
			c.limits = readLimits(s)
		default:
			s.Fault("", "unknown section; known are [service NAME], [route NAME] and [limits]")
		}
		s.Close()
	}
	return c
}

func readService(s *Section, name string) fireflymoor.Service {
	s.CheckName(name)
	return fireflymoor.Service{
		Name:      name,
		Slots:     s.Int("slots", DefaultSlots, 1, MaxSlots),
		Queue:     s.Int("queue", DefaultQueue, 0, MaxQueue),
		SlowStart: s.Duration("slow-start", 0, 0, MaxSlowStart),
	}
}

func readRoute(s *Section, name string) fireflymoor.Route {
	s.CheckName(name)
	route := fireflymoor.Route{
		Name:       name,
		Host:       s.String("host", ""),
		PathPrefix: s.String("path-prefix", "/"),
		Service:    s.Required("service"),
		Timeout:    s.Duration("timeout", DefaultTimeout, time.Millisecond, MaxTimeout),
		Retries:    s.Int("retries", DefaultRetries, 0, MaxRetries),
		Idempotent: s.Words("idempotent", defaultIdempotent),
		MaxBody:    int64(s.Int("max-body", DefaultBody, 0, MaxBodyBytes)),
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		s.Fault("path-prefix", "does not begin with /")
	}
	return route
}

func readLimits(s *Section) fireflymoor.Limits {
	return fireflymoor.Limits{
		RetryBudget: s.Int("retry-budget", DefaultBudget, 0, percent),
		EjectShare:  s.Int("eject-share", DefaultEject, 0, percent),
	}
}

func (c content) checkReferences(d *Document) {
	services := map[string]bool{}
	for i := range c.services {
		services[c.services[i].Name] = true
	}
	matches := map[string]string{}
	for i := range c.routes {
		r := c.routes[i]
		section := "route " + r.Name
		if r.Service != "" && !services[r.Service] {
			d.Fault(section, "service", "no service "+r.Service+" in this configuration")
		}
		match := strings.ToLower(r.Host) + r.PathPrefix
		if other, ok := matches[match]; ok {
			d.Fault(section, "", "matches the same calls as route "+other)
		}
		matches[match] = r.Name
	}
}

func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreInlineComment:      false,
		SkipUnrecognizableLines:  false,
		AllowNonUniqueSections:   false,
		SpaceBeforeInlineComment: true,
	}
}
