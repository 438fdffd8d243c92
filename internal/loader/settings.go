// Package loader reads a process's settings.
package loader

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

// The roles of a process.
const (
	RoleControl = "control"
	RoleNode    = "node"
)

// maxReplicas is the most control replicas a system may have.
const maxReplicas = 9

// Settings are all that a process is told at its start.
type Settings struct {
	// Name is unique among all processes.
	Name string
	// Role is RoleControl or RoleNode.
	Role string
	// Zone is the availability zone.
	Zone string
	// Team is the team whose configuration a node holds.
	Team string
	// DataFolder holds durable state; a node may have none.
	DataFolder string
	// CountViolations keeps the process running after a violated invariant.
	CountViolations bool
	// Overlay is the address for the system's own processes.
	Overlay string
	// Calls is the address for calls from other nodes.
	Calls string
	// Callers is the address for callers.
	Callers string
	// Platform is the address for health, metrics and targets.
	Platform string
	// Operators is the address of the administration API.
	Operators string
	// Ready is the address for questions of readiness, and Announcements that
	// for targets. Both are those of Platform unless they are set.
	Ready string
	// Announcements is the address where targets announce themselves.
	Announcements string
	// AdvertisedOverlay and AdvertisedCalls are the addresses that other
	// processes are told, if they are not the ones listened on.
	AdvertisedOverlay string
	// AdvertisedCalls is told other nodes in place of Calls.
	AdvertisedCalls string
	// Replicas are the control replicas, if they are told by name. If not,
	// they find each other by SeedAddresses.
	Replicas []Replica
	// SeedAddresses are overlay addresses of some control replicas.
	SeedAddresses []string
	// Founding says that a control replica starts with the system's first
	// start. It may begin the log with the others at SeedAddresses.
	Founding bool
	// CallerService is the service of the instance that callers stand on, or
	// empty.
	CallerService string
	// TargetAddress is where the target of the node's instance is known to
	// listen, or empty. Its service is CallerService.
	TargetAddress string
	// Tokens are the bearer tokens, by team; "*" stands for all teams.
	Tokens map[string]string
	// Lease is how long a target's announcement holds.
	Lease time.Duration
	// KeyWindow is how long an idempotency key is remembered.
	KeyWindow time.Duration
	// Grace is how long a leaving process goes on answering callers.
	Grace time.Duration
	// Shutdown bounds the wait for calls in flight at the end.
	Shutdown time.Duration
	// Heartbeat and Election time the replicated log.
	Heartbeat time.Duration
	// Election is the least time without a leader before a vote.
	Election time.Duration
	// Level is the least level that is logged.
	Level zerolog.Level
	// Decisions says whether each routing decision is logged.
	Decisions bool
	// LinesPerSecond bounds the log lines a second of each part that carries
	// traffic, or is 0.
	LinesPerSecond int
}

// A Replica is one control replica.
type Replica struct {
	// Name is the replica's process name.
	Name string
	// Address is its overlay address.
	Address string
}

// Bounds and defaults of the timings.
const (
	defaultLease     = 1500 * time.Millisecond
	defaultKeyWindow = time.Minute
	defaultGrace     = time.Second
	defaultShutdown  = 30 * time.Second
	defaultHeartbeat = 100 * time.Millisecond
	defaultElection  = 600 * time.Millisecond
	maxPort          = 65535
	mostLines        = 1_000_000
	leastTime        = 10 * time.Millisecond
	mostTime         = time.Minute
	// leastKeyWindow is longer than a claim may take, and mostKeyWindow no
	// longer than a member that is gone is known.
	leastKeyWindow = 2 * time.Second
	mostKeyWindow  = 10 * time.Minute
)

// Load reads and checks the settings in a file. The error names every fault.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings: read")
	}
	return Parse(filepath.Base(path), string(text))
}

// Parse reads and checks settings. The error names every fault.
func Parse(name, text string) (Settings, error) {
	d := parser.NewDocument("settings", "", name, text)
	s := Settings{
		Lease:     defaultLease,
		KeyWindow: defaultKeyWindow,
		Grace:     defaultGrace,
		Shutdown:  defaultShutdown,
		Heartbeat: defaultHeartbeat,
		Election:  defaultElection,
		Level:     zerolog.InfoLevel,
		Decisions: true,
		Tokens:    map[string]string{},
	}
	for _, section := range d.Sections() {
		s.read(section)
		section.Close()
	}
	s.AdvertisedOverlay = cmp.Or(s.AdvertisedOverlay, s.Overlay)
	s.AdvertisedCalls = cmp.Or(s.AdvertisedCalls, s.Calls)
	s.check(d)
	return s, d.Err()
}

func (s *Settings) read(section *parser.Section) {
	switch section.Name() {
	case "process":
		s.readProcess(section)
	case "listen":
		s.Overlay = address(section, "overlay")
		s.Calls = address(section, "calls")
		s.Callers = address(section, "callers")
		s.Platform = address(section, "platform")
		s.Operators = address(section, "operators")
		s.Ready = address(section, "ready")
		s.Announcements = address(section, "announcements")
	case "advertise":
		s.AdvertisedOverlay = address(section, "overlay")
		s.AdvertisedCalls = address(section, "calls")
	case "control":
		s.readControl(section)
	case "operators":
		for _, team := range section.Keys() {
			s.Tokens[team] = section.Required(team)
		}
	case "targets":
		s.Lease = section.Duration("lease", defaultLease, leastTime, mostTime)
		s.TargetAddress = address(section, "address")
	case "callers":
		s.CallerService = section.String("service", "")
		s.KeyWindow = section.Duration("key-window", defaultKeyWindow, leastKeyWindow, mostKeyWindow)
	case "log":
		s.readLog(section)
	default:
		section.Fault("", "unknown section")
	}
}

func (s *Settings) readProcess(section *parser.Section) {
	s.Name = section.Required("name")
	s.Role = section.Required("role")
	s.Zone = section.Required("zone")
	s.Team = section.String("team", "")
	s.DataFolder = section.String("data-folder", "")
	s.CountViolations = section.Bool("count-violations", false)
	s.Grace = section.Duration("grace", defaultGrace, 0, mostTime)
	s.Shutdown = section.Duration("shutdown", defaultShutdown, leastTime, mostTime)
	checkName(section, "name", s.Name)
	checkName(section, "zone", s.Zone)
	checkName(section, "team", s.Team)
	if s.Role != "" && s.Role != RoleControl && s.Role != RoleNode {
		section.Fault("role", "is neither control nor node")
	}
}

func checkName(section *parser.Section, key, value string) {
	if value != "" && !parser.ValidName(value) {
		section.Fault(key, "is not in kebab case")
	}
}

func (s *Settings) readControl(section *parser.Section) {
	s.readReplicas(section)
	s.readSeeds(section)
	s.Founding = section.Bool("founding", false)
	s.Heartbeat = section.Duration("heartbeat", defaultHeartbeat, leastTime, mostTime)
	s.Election = section.Duration("election", defaultElection, leastTime, mostTime)
	if s.Election < 3*s.Heartbeat {
		section.Fault("election", "is less than three heartbeats")
	}
}

func (s *Settings) readReplicas(section *parser.Section) {
	words := section.Words("replicas", nil)
	for _, word := range words {
		name, at, ok := strings.Cut(word, "@")
		if !ok || !parser.ValidName(name) {
			section.Fault("replicas", fmt.Sprintf("%q is not NAME@ADDRESS", word))
			continue
		}
		if reason := checkAddress(at); reason != "" {
			section.Fault("replicas", reason)
		}
		s.Replicas = append(s.Replicas, Replica{
			Name:    name,
			Address: at,
		})
	}
	told := len(words) > 0 || section.String("seeds", "") == ""
	if told && (len(s.Replicas) == 0 || len(s.Replicas) > maxReplicas) {
		section.Fault("replicas", fmt.Sprintf("names %d replicas, between 1 and %d are needed", len(s.Replicas), maxReplicas))
	}
}

// readSeeds reads the addresses of some replicas. They may be told by another
// port than that of the overlay.
func (s *Settings) readSeeds(section *parser.Section) {
	port := section.Int("seed-port", 0, 1, maxPort)
	for _, word := range section.Words("seeds", nil) {
		if reason := checkAddress(word); reason != "" {
			section.Fault("seeds", reason)
			continue
		}
		if host, _, err := net.SplitHostPort(word); err == nil && port > 0 {
			word = net.JoinHostPort(host, strconv.Itoa(port))
		}
		s.SeedAddresses = append(s.SeedAddresses, word)
	}
	if len(s.SeedAddresses) > 0 && len(s.Replicas) > 0 {
		section.Fault("seeds", "stands beside replicas")
	}
}

func (s *Settings) readLog(section *parser.Section) {
	s.Decisions = section.Bool("decisions", true)
	s.LinesPerSecond = section.Int("lines-per-second", 0, 0, mostLines)
	text := section.String("level", "info")
	level, err := zerolog.ParseLevel(text)
	if err != nil {
		section.Fault("level", fmt.Sprintf("%q is none of debug, info, warn and error", text))
		return
	}
	s.Level = level
}

// check finds what a role lacks or must not have.
func (s *Settings) check(d *parser.Document) {
	if s.Name == "" && s.Role == "" {
		d.Fault("process", "", "the section is missing")
	}
	if len(s.Replicas)+len(s.SeedAddresses) == 0 {
		d.Fault("control", "replicas", "is missing")
	}
	if s.Role != RoleControl && s.Role != RoleNode {
		return
	}
	need := func(section, key, value string) {
		if value == "" {
			d.Fault(section, key, "is needed for the role "+s.Role)
		}
	}
	forbid := func(section, key, value string) {
		if value != "" {
			d.Fault(section, key, "has no meaning for the role "+s.Role)
		}
	}
	need("listen", "overlay", s.Overlay)
	need("listen", "platform", s.Platform)
	switch s.Role {
	case RoleControl:
		need("process", "data-folder", s.DataFolder)
		need("listen", "operators", s.Operators)
		forbid("listen", "calls", s.Calls)
		forbid("listen", "callers", s.Callers)
		forbid("process", "team", s.Team)
		s.checkReplica(d)
	case RoleNode:
		need("process", "team", s.Team)
		need("listen", "calls", s.Calls)
		need("listen", "callers", s.Callers)
		forbid("listen", "operators", s.Operators)
	}
}

func (s *Settings) checkReplica(d *parser.Document) {
	if len(s.SeedAddresses) > 0 {
		return
	}
	for _, r := range s.Replicas {
		if r.Name == s.Name {
			return
		}
	}
	d.Fault("control", "replicas", "does not name this replica, "+s.Name)
}

func address(section *parser.Section, key string) string {
	value := section.String(key, "")
	if value == "" {
		return ""
	}
	if reason := checkAddress(value); reason != "" {
		section.Fault(key, reason)
	}
	return value
}

func checkAddress(value string) string {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" {
		return fmt.Sprintf("%q is not IP:PORT", value)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is no IP number", host)
	}
	return ""
}

// Seeds returns the overlay addresses of the control replicas that are told.
func (s *Settings) Seeds() []string {
	if len(s.SeedAddresses) > 0 {
		return s.SeedAddresses
	}
	seeds := make([]string, 0, len(s.Replicas))
	for _, r := range s.Replicas {
		seeds = append(seeds, r.Address)
	}
	return seeds
}
