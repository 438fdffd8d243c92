// Package launcher starts real processes of the system on loopback addresses,
// for the integration tests and the measurements.
package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// The ports of every process, each on an address of its own.
const (
	portOverlay   = 7001
	portCalls     = 7002
	portPlatform  = 7003
	portOperators = 7004
	portCallers   = 8080
)

const (
	// Token is the operators' token for all teams.
	Token = "bench"
	// Team is the team of all nodes.
	Team = "portaequipaje"

	pollInterval = 20 * time.Millisecond
	stopTimeout  = 15 * time.Second
	firstOctet   = 127
	leastBlock   = 20
	blocks       = 200
	hostsPerZone = 250
	replicaHost  = 251
	ipParts      = 4
	relayedZones = 100
	fileMode     = 0o600
	folderMode   = 0o700
)

// A Spec is what to start.
type Spec struct {
	// Program is the path of the fireflymoor binary.
	Program string
	// Bench is the path of the fireflybench binary, for stand-in targets.
	Bench string
	// Folder holds settings, logs and data.
	Folder string
	// Zones are the names of the availability zones.
	Zones []string
	// Replicas is the number of control replicas, spread over the zones.
	Replicas int
	// Level is the log level of all processes.
	Level string
	// KeyWindow is how long nodes remember idempotency keys, or 0 for the
	// default.
	KeyWindow time.Duration
	// Relay is called for each address that other processes are told in
	// place of the real one, so that a test can stand between. It may be nil.
	Relay func(listen, to string) error
}

// A Cluster is a set of started processes.
type Cluster struct {
	spec  Spec
	block int

	lock      sync.Mutex
	processes map[string]*Process
	relayed   map[string]bool
	replicas  []Replica
}

// A Replica is a control replica's place.
type Replica struct {
	// Name is its name.
	Name string
	// Zone is its availability zone.
	Zone string
	// IP is its address.
	IP string
}

// Build compiles the system's programs into a folder.
func Build(ctx context.Context, root, folder string, race bool) (program, bench string, err error) {
	program = filepath.Join(folder, "fireflymoor")
	bench = filepath.Join(folder, "fireflybench")
	for path, source := range map[string]string{program: "./cmd/fireflymoor", bench: "./cmd/fireflybench"} {
		arguments := []string{"build", "-o", path}
		if race {
			arguments = append(arguments, "-race")
		}
		command := exec.CommandContext(ctx, "go", append(arguments, source)...)
		command.Dir = root
		if out, err := command.CombinedOutput(); err != nil {
			return "", "", errors.Wrapf(err, "launcher: build: %s", out)
		}
	}
	return program, bench, nil
}

// New returns a new Cluster on a free block of loopback addresses, with
// nothing started.
func New(spec Spec) (*Cluster, error) {
	if spec.Level == "" {
		spec.Level = "info"
	}
	c := &Cluster{
		spec:      spec,
		processes: map[string]*Process{},
		relayed:   map[string]bool{},
	}
	if err := c.takeBlock(); err != nil {
		return nil, err
	}
	for i := range spec.Replicas {
		zone := spec.Zones[i%len(spec.Zones)]
		c.replicas = append(c.replicas, Replica{
			Name: fmt.Sprintf("control-%d", i+1),
			Zone: zone,
			IP:   c.ip(i%len(spec.Zones), replicaHost+i/len(spec.Zones)),
		})
	}
	return c, errors.Wrap(os.MkdirAll(spec.Folder, folderMode), "launcher: make the folder")
}

// Relayed returns the address that stands for another behind the relay.
func (c *Cluster) Relayed(address string) string {
	return c.reroute(address)
}

// reroute returns the address that other processes are told for an address.
func (c *Cluster) reroute(address string) string {
	if c.spec.Relay == nil {
		return address
	}
	parts := strings.SplitN(address, ".", ipParts)
	zone, _ := strconv.Atoi(parts[2])
	parts[2] = strconv.Itoa(zone + relayedZones)
	return strings.Join(parts, ".")
}

// relay has the addresses of a process relayed, once.
func (c *Cluster) relay(addresses ...string) error {
	if c.spec.Relay == nil {
		return nil
	}
	for _, address := range addresses {
		c.lock.Lock()
		known := c.relayed[address]
		c.relayed[address] = true
		c.lock.Unlock()
		if known {
			continue
		}
		if err := c.spec.Relay(c.reroute(address), address); err != nil {
			return err
		}
	}
	return nil
}

// ZoneOf returns the index of the zone that an IP number belongs to.
func ZoneOf(ip string) int {
	parts := strings.SplitN(ip, ".", ipParts)
	zone, _ := strconv.Atoi(parts[2])
	return zone%relayedZones - 1
}

// takeBlock finds a block of addresses that no other cluster uses. The
// listener marks it for as long as this process lives.
func (c *Cluster) takeBlock() error {
	first := rand.IntN(blocks)
	for i := range blocks {
		block := leastBlock + (first+i)%blocks
		if _, err := net.Listen("tcp", fmt.Sprintf("%d.%d.255.254:7000", firstOctet, block)); err == nil {
			c.block = block
			return nil
		}
	}
	return errors.New("launcher: no block of addresses is free")
}

func (c *Cluster) ip(zone, host int) string {
	return fmt.Sprintf("%d.%d.%d.%d", firstOctet, c.block, zone+1, host)
}

// Replicas returns the places of the control replicas.
func (c *Cluster) Replicas() []Replica {
	return c.replicas
}

// Address returns an overlay address.
func Address(ip string) string {
	return fmt.Sprintf("%s:%d", ip, portOverlay)
}

// CallsAddress returns the address for calls from other nodes.
func CallsAddress(ip string) string {
	return fmt.Sprintf("%s:%d", ip, portCalls)
}

// PlatformAddress returns the address for the platform and targets.
func PlatformAddress(ip string) string {
	return fmt.Sprintf("%s:%d", ip, portPlatform)
}

// CallersAddress returns the address for callers.
func CallersAddress(ip string) string {
	return fmt.Sprintf("%s:%d", ip, portCallers)
}

// OperatorsAddress returns the address of the administration API.
func OperatorsAddress(ip string) string {
	return fmt.Sprintf("%s:%d", ip, portOperators)
}

// StartReplica starts the control replica of that index.
func (c *Cluster) StartReplica(index int) (*Process, error) {
	r := c.replicas[index]
	if err := c.relay(Address(r.IP)); err != nil {
		return nil, err
	}
	folder := c.DataFolder(r.Name)
	settings := c.settings(r.Name, "control", r.Zone) + fmt.Sprintf(
		"data-folder = %s\n[listen]\noverlay = %s\nplatform = %s\noperators = %s\n[operators]\n* = %s\n[advertise]\noverlay = %s\n",
		folder, Address(r.IP), PlatformAddress(r.IP), OperatorsAddress(r.IP), Token, c.reroute(Address(r.IP)))
	return c.start(r.Name, r.IP, r.Zone, settings, "control")
}

// DataFolder returns the data folder of a control replica.
func (c *Cluster) DataFolder(name string) string {
	return filepath.Join(c.spec.Folder, name+".data")
}

// StartNode starts a node in the zone of that index, at one of its hosts.
func (c *Cluster) StartNode(zone, host int) (*Process, error) {
	zoneName := c.spec.Zones[zone]
	ip := c.ip(zone, host%hostsPerZone)
	name := fmt.Sprintf("%s-%d", zoneName, host)
	if err := c.relay(Address(ip), CallsAddress(ip)); err != nil {
		return nil, err
	}
	settings := c.settings(name, "node", zoneName) + fmt.Sprintf(
		"team = %s\n[listen]\noverlay = %s\nplatform = %s\ncalls = %s\ncallers = %s\n[advertise]\noverlay = %s\ncalls = %s\n",
		Team, Address(ip), PlatformAddress(ip), CallsAddress(ip), CallersAddress(ip),
		c.reroute(Address(ip)), c.reroute(CallsAddress(ip)))
	if c.spec.KeyWindow > 0 {
		settings += fmt.Sprintf("[callers]\nkey-window = %s\n", c.spec.KeyWindow)
	}
	return c.start(name, ip, zoneName, settings, "node")
}

func (c *Cluster) settings(name, role, zone string) string {
	words := make([]string, 0, len(c.replicas))
	for _, r := range c.replicas {
		at := Address(r.IP)
		if r.Name != name {
			at = c.reroute(at)
		}
		words = append(words, r.Name+"@"+at)
	}
	return fmt.Sprintf("[control]\nreplicas = %s\n[log]\nlevel = %s\n[process]\nname = %s\nrole = %s\nzone = %s\n",
		strings.Join(words, " "), c.spec.Level, name, role, zone)
}

// IP returns the address of a host in the zone of that index.
func (c *Cluster) IP(zone, host int) string {
	return c.ip(zone, host)
}

// StartProcess starts a process whose settings and arguments, the path of its
// settings left out, are given.
func (c *Cluster) StartProcess(name, ip, zone, settings string, arguments ...string) (*Process, error) {
	return c.start(name, ip, zone, settings, arguments...)
}

func (c *Cluster) start(name, ip, zone, settings string, arguments ...string) (*Process, error) {
	path := filepath.Join(c.spec.Folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), fileMode); err != nil {
		return nil, errors.Wrap(err, "launcher: write settings")
	}
	p := &Process{
		Name:      name,
		IP:        ip,
		Zone:      zone,
		program:   c.spec.Program,
		arguments: append(slices.Clone(arguments), path),
		log:       filepath.Join(c.spec.Folder, name+".log"),
	}
	return p, c.run(p)
}

// StartTarget starts a stand-in target beside a node.
func (c *Cluster) StartTarget(node *Process, service string, slots int, delay time.Duration) (*Process, error) {
	p := &Process{
		Name:    node.Name + "-target",
		IP:      node.IP,
		Zone:    node.Zone,
		program: c.spec.Bench,
		arguments: []string{
			"target", "--id", "target", "--service", service,
			"--address", node.IP + ":0", "--node", PlatformAddress(node.IP),
			"--slots", fmt.Sprint(slots), "--delay", delay.String(),
			"--runs", c.RunsFile(),
		},
		log: filepath.Join(c.spec.Folder, node.Name+"-target.log"),
	}
	return p, c.run(p)
}

// RunsFile is the file that stand-in targets note each run in.
func (c *Cluster) RunsFile() string {
	return filepath.Join(c.spec.Folder, "runs")
}

func (c *Cluster) run(p *Process) error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "launcher: open the log")
	}
	defer func() {
		_ = log.Close()
	}()
	p.command = exec.Command(p.program, p.arguments...)
	p.command.Stdout = log
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "launcher: start %s", p.Name)
	}
	p.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(p.command, p.ended)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.processes[p.Name] = p
	return nil
}

// Client returns a client of the administration API.
func (c *Cluster) Client(timeout time.Duration) *administrator.Client {
	var addresses []string
	for _, r := range c.replicas {
		addresses = append(addresses, OperatorsAddress(r.IP))
	}
	return administrator.New(addresses, Token, timeout)
}

// Until calls ask until it reports true or ctx ends.
func Until(ctx context.Context, what string, ask func() bool) error {
	for !ask() {
		select {
		case <-ctx.Done():
			return errors.Newf("launcher: gave up waiting: %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Ready says whether a process's platform address says that it is ready.
func Ready(ip string) bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + PlatformAddress(ip) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
