// Package loader reads and checks the settings of a process.
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

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/acceptor"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

// The roles of a process.
const (
	RoleControl = "control"
	RoleNode    = "node"
)

// maxReplicas is the maximum number of control replicas in a system.
const maxReplicas = 9

// Settings are the settings that a process reads when it starts.
type Settings struct {
	// Name is unique among all processes.
	Name string
	// Role is RoleControl or RoleNode.
	Role string
	// Zone is the availability zone of the process.
	Zone string
	// Team is the team whose configuration a node holds.
	Team string
	// DataFolder is the path of the folder for durable state. It is optional for
	// a node.
	DataFolder string
	// CountViolations keeps the process running after a violated invariant.
	CountViolations bool
	// Overlay is the listen address for other processes of the system.
	Overlay string
	// Calls is the listen address for calls from other nodes.
	Calls string
	// Callers is the listen address for callers.
	Callers string
	// Platform is the listen address for health checks, metrics and targets.
	Platform string
	// Operators is the listen address of the administration API.
	Operators string
	// Ready is the listen address for readiness checks. If it is empty, Platform
	// serves them.
	Ready string
	// Announcements is the listen address for the announcements of targets. If it
	// is empty, Platform serves them.
	Announcements string
	// AdvertisedOverlay is the overlay address that is sent to other processes.
	// It is Overlay by default.
	AdvertisedOverlay string
	// AdvertisedCalls is the address for calls that is sent to other nodes. It is
	// Calls by default.
	AdvertisedCalls string
	// Replicas are the control replicas if the settings list them by name.
	// Otherwise, the replicas discover each other through SeedAddresses.
	Replicas []Replica
	// SeedAddresses are the overlay addresses of some control replicas.
	SeedAddresses []string
	// Founding reports whether a control replica takes part in the first start of
	// the system. Such a replica may create the log together with the replicas at
	// SeedAddresses.
	Founding bool
	// CallerService is the service of the instance on which callers run, or
	// empty.
	CallerService string
	// TargetAddress is the known address of the target on the node's instance, or
	// empty. The target's service is CallerService.
	TargetAddress string
	// Tokens are the bearer tokens by team. The key "*" stands for all teams.
	Tokens map[string]string
	// Lease is the time for which a target's announcement is valid.
	Lease time.Duration
	// Keys reports whether calls with an idempotency key run at most once. It must
	// be the same at all nodes.
	Keys bool
	// KeyWindow is the time for which an idempotency key is stored.
	KeyWindow time.Duration
	// Balance is how the node chooses the targets of calls if its configuration does not
	// say so.
	Balance fireflymoor.Balance
	// Pipeline is the maximum number of pipelined requests of a caller's connection in
	// progress at once.
	Pipeline int
	// Grace is the time for which a leaving process continues to serve callers.
	Grace time.Duration
	// Shutdown is the maximum time to wait for in-flight calls when the process
	// ends.
	Shutdown time.Duration
	// KillDelay is the time from SIGTERM to SIGKILL, or 0 if it is not known.
	KillDelay time.Duration
	// Adapter are settings that only the adapter of the process reads, by their keys.
	Adapter map[string]string
	// Heartbeat is the heartbeat interval of the replicated log.
	Heartbeat time.Duration
	// ElectionTimeout is the minimum time without a leader before an election.
	ElectionTimeout time.Duration
	// LinkRate is the rate of the instance's link, in bits a second, or 0 if it is not
	// known.
	LinkRate float64
	// Connections is the maximum number of connections that each listener accepts, or
	// 0 to derive it from the process's limit on descriptors.
	Connections int
	// HeadMemory is the memory for the header sections of requests that are being
	// read or are in progress, in bytes.
	HeadMemory int64
	// Level is the minimum level of logged messages.
	Level zerolog.Level
	// Decisions reports whether each routing decision is logged.
	Decisions bool
	// LinesPerSecond is the maximum number of log lines per second of each
	// component that carries traffic, or 0 for no limit.
	LinesPerSecond int
}

// A Replica is the name and address of a control replica.
type Replica struct {
	// Name is the replica's process name.
	Name string
	// Address is the replica's overlay address.
	Address string
}

// Defaults and bounds of the settings.
const (
	defaultLease     = 1500 * time.Millisecond
	defaultKeyWindow = time.Minute
	defaultGrace     = time.Second
	// defaultShutdown is the longest timeout of a route, so that no call is cut off
	// before its own end.
	defaultShutdown        = parser.MaxTimeout
	defaultHeartbeat       = 100 * time.Millisecond
	defaultElectionTimeout = 600 * time.Millisecond
	maxPort                = 65535
	maxLinesPerSecond      = 1_000_000
	maxConnections         = 1_000_000
	maxPipeline            = 64
	maxHeadMemory          = 1 << 40
	maxMegabits            = 10_000_000
	minDuration            = 10 * time.Millisecond
	maxDuration            = time.Minute
	// minKeyWindow is longer than a claim may take.
	minKeyWindow = 2 * time.Second
	// maxKeyWindow is no longer than the time for which members that have left or
	// failed are remembered.
	maxKeyWindow = 10 * time.Minute
)

// Load reads and checks the settings in a file. The error lists every fault.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings: read")
	}
	return Parse(filepath.Base(path), string(text))
}

// Parse parses and checks the settings in text. The name of their file is used
// in errors. The error lists every fault.
func Parse(name, text string) (Settings, error) {
	d := parser.NewDocument("settings", "", name, text)
	s := Settings{
		Lease:           defaultLease,
		Keys:            true,
		KeyWindow:       defaultKeyWindow,
		Pipeline:        1,
		Grace:           defaultGrace,
		Shutdown:        defaultShutdown,
		Heartbeat:       defaultHeartbeat,
		ElectionTimeout: defaultElectionTimeout,
		HeadMemory:      acceptor.MinHeadMemory,
		Level:           zerolog.InfoLevel,
		Decisions:       true,
		Tokens:          map[string]string{},
		Adapter:         map[string]string{},
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
		s.Overlay = readAddress(section, "overlay")
		s.Calls = readAddress(section, "calls")
		s.Callers = readAddress(section, "callers")
		s.Platform = readAddress(section, "platform")
		s.Operators = readAddress(section, "operators")
		s.Ready = readAddress(section, "ready")
		s.Announcements = readAddress(section, "announcements")
	case "advertise":
		s.AdvertisedOverlay = readAddress(section, "overlay")
		s.AdvertisedCalls = readAddress(section, "calls")
	case "control":
		s.readControl(section)
	case "operators":
		for _, team := range section.Keys() {
			s.Tokens[team] = section.Required(team)
		}
	case "targets":
		s.Lease = section.Duration("lease", defaultLease, minDuration, maxDuration)
		s.TargetAddress = readAddress(section, "address")
	case "callers":
		s.CallerService = section.String("service", "")
		s.Keys = section.Bool("keys", true)
		s.Balance = readBalance(section)
		s.Pipeline = section.Int("pipeline", 1, 1, maxPipeline)
		s.KeyWindow = section.Duration("key-window", defaultKeyWindow, minKeyWindow, maxKeyWindow)
	case "link":
		s.readLink(section)
	case "clients":
		s.Connections = section.Int("connections", 0, 1, maxConnections)
		s.HeadMemory = int64(section.Int("head-memory", acceptor.MinHeadMemory, acceptor.MinHeadMemory, maxHeadMemory))
	case "log":
		s.readLog(section)
	case "adapter":
		for _, key := range section.Keys() {
			s.Adapter[key] = section.String(key, "")
		}
	default:
		section.Fault("", "unknown section")
	}
}

func readBalance(section *parser.Section) fireflymoor.Balance {
	text := section.String("balance", "")
	balance, ok := fireflymoor.ParseBalance(text)
	if text != "" && !ok {
		section.Fault("balance", fmt.Sprintf("%q is not two-choices, even or auto", text))
	}
	return balance
}

// readLink reads the rate of the link, which is a decimal number of megabits a second.
func (s *Settings) readLink(section *parser.Section) {
	text := section.String("megabits", "")
	if text == "" {
		return
	}
	megabits, err := strconv.ParseFloat(text, 64)
	if err != nil || !(megabits >= 0) || megabits > maxMegabits {
		section.Fault("megabits", fmt.Sprintf("%q is not a number between 0 and %d", text, maxMegabits))
		return
	}
	s.LinkRate = megabits * 1e6
}

func (s *Settings) readProcess(section *parser.Section) {
	s.Name = section.Required("name")
	s.Role = section.Required("role")
	s.Zone = section.Required("zone")
	s.Team = section.String("team", "")
	s.DataFolder = section.String("data-folder", "")
	s.CountViolations = section.Bool("count-violations", false)
	s.Grace = section.Duration("grace", defaultGrace, 0, maxDuration)
	s.Shutdown = section.Duration("shutdown", defaultShutdown, minDuration, parser.MaxTimeout)
	s.KillDelay = section.Duration("kill-delay", 0, time.Second, parser.MaxTimeout)
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
	s.Heartbeat = section.Duration("heartbeat", defaultHeartbeat, minDuration, maxDuration)
	s.ElectionTimeout = section.Duration("election", defaultElectionTimeout, minDuration, maxDuration)
	if s.ElectionTimeout < 3*s.Heartbeat {
		section.Fault("election", "is less than three heartbeats")
	}
}

func (s *Settings) readReplicas(section *parser.Section) {
	words := section.Words("replicas", nil)
	for _, word := range words {
		name, address, ok := strings.Cut(word, "@")
		if !ok || !parser.ValidName(name) {
			section.Fault("replicas", fmt.Sprintf("%q is not NAME@ADDRESS", word))
			continue
		}
		if reason := checkAddress(address); reason != "" {
			section.Fault("replicas", reason)
		}
		s.Replicas = append(s.Replicas, Replica{
			Name:    name,
			Address: address,
		})
	}
	needsReplicas := len(words) > 0 || section.String("seeds", "") == ""
	if needsReplicas && (len(s.Replicas) == 0 || len(s.Replicas) > maxReplicas) {
		section.Fault("replicas", fmt.Sprintf("names %d replicas, between 1 and %d are needed", len(s.Replicas), maxReplicas))
	}
}

// readSeeds reads the addresses of some replicas. If seed-port is set, it
// replaces their ports, because the listed ports may not be those of the overlay.
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
		section.Fault("seeds", "cannot be set together with replicas")
	}
}

func (s *Settings) readLog(section *parser.Section) {
	s.Decisions = section.Bool("decisions", true)
	s.LinesPerSecond = section.Int("lines-per-second", 0, 0, maxLinesPerSecond)
	text := section.String("level", "info")
	level, err := zerolog.ParseLevel(text)
	if err != nil {
		section.Fault("level", fmt.Sprintf("%q is not one of debug, info, warn and error", text))
		return
	}
	s.Level = level
}

// check reports settings that are missing or not allowed for the role.
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
	require := func(section, key, value string) {
		if value == "" {
			d.Fault(section, key, "is needed for the role "+s.Role)
		}
	}
	forbid := func(section, key, value string) {
		if value != "" {
			d.Fault(section, key, "has no meaning for the role "+s.Role)
		}
	}
	require("listen", "overlay", s.Overlay)
	require("listen", "platform", s.Platform)
	switch s.Role {
	case RoleControl:
		require("process", "data-folder", s.DataFolder)
		require("listen", "operators", s.Operators)
		forbid("listen", "calls", s.Calls)
		forbid("listen", "callers", s.Callers)
		forbid("process", "team", s.Team)
		s.checkReplica(d)
	case RoleNode:
		require("process", "team", s.Team)
		require("listen", "calls", s.Calls)
		require("listen", "callers", s.Callers)
		forbid("listen", "operators", s.Operators)
	}
}

// checkReplica checks that Replicas, if it is used, includes this process.
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

func readAddress(section *parser.Section, key string) string {
	value := section.String(key, "")
	if value == "" {
		return ""
	}
	if reason := checkAddress(value); reason != "" {
		section.Fault(key, reason)
	}
	return value
}

// checkAddress returns the fault of an address, or "" if it is valid.
func checkAddress(value string) string {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" {
		return fmt.Sprintf("%q is not IP:PORT", value)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	return ""
}

// Seeds returns the overlay addresses of the configured control replicas.
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
