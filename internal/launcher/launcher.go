// Package launcher starts fireflymoor processes on loopback addresses, for the
// integration tests and the benchmarks.
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

// All processes listen on the same ports, each process on a separate address.
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
	// Team is the team that all nodes belong to.
	Team = "portaequipaje"

	pollInterval      = 20 * time.Millisecond
	stopTimeout       = 15 * time.Second
	firstOctet        = 127
	minBlock          = 20
	blockCount        = 200
	hostsPerZone      = 250
	firstReplicaHost  = 251
	octetCount        = 4
	relayedZoneOffset = 100
	fileMode          = 0o600
	folderMode        = 0o700
)

// A Spec describes the processes of a Cluster.
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
	// KeyWindow is the retention time of idempotency keys on nodes, or 0 for
	// the default.
	KeyWindow time.Duration
	// Environment holds additional environment variables of the replicas and
	// nodes, as NAME=VALUE.
	Environment []string
	// MaxDescriptors is the maximum number of open file descriptors of each
	// replica and node, or 0 for the limit of this process.
	MaxDescriptors int
	// Relay is called for each address that is advertised to other processes
	// in place of the real one, so that a test can intercept connections. It
	// must accept connections at listen and relay them to the real address. It
	// may be nil.
	Relay func(listen, to string) error
}

// A Cluster is a set of started processes.
type Cluster struct {
	spec  Spec
	block int
	// reservation is the listener that reserves the block.
	reservation net.Listener

	lock      sync.Mutex
	processes map[string]*Process
	relayed   map[string]bool
	replicas  []Replica
}

// A Replica describes a control replica, whether or not it was started.
type Replica struct {
	Name string
	// Zone is its availability zone.
	Zone string
	// IP is the address of all its listeners.
	IP string
}

// Build compiles the programs fireflymoor and fireflybench, whose source is at
// root, into a folder, and returns their paths.
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

// New returns a new Cluster on a free block of loopback addresses. It starts no
// process.
func New(spec Spec) (*Cluster, error) {
	if spec.Level == "" {
		spec.Level = "info"
	}
	c := &Cluster{
		spec:      spec,
		processes: map[string]*Process{},
		relayed:   map[string]bool{},
	}
	if err := c.reserveBlock(); err != nil {
		return nil, err
	}
	for i := range spec.Replicas {
		zone := spec.Zones[i%len(spec.Zones)]
		c.replicas = append(c.replicas, Replica{
			Name: fmt.Sprintf("control-%d", i+1),
			Zone: zone,
			IP:   c.ip(i%len(spec.Zones), firstReplicaHost+i/len(spec.Zones)),
		})
	}
	return c, errors.Wrap(os.MkdirAll(spec.Folder, folderMode), "launcher: make the folder")
}

// RelayedAddress returns the address that is advertised in place of a given one,
// or the same address if the cluster has no relay.
func (c *Cluster) RelayedAddress(address string) string {
	return c.relayedAddress(address)
}

// relayedAddress returns the address that is advertised in place of a given one.
func (c *Cluster) relayedAddress(address string) string {
	if c.spec.Relay == nil {
		return address
	}
	parts := strings.SplitN(address, ".", octetCount)
	zone, _ := strconv.Atoi(parts[2])
	parts[2] = strconv.Itoa(zone + relayedZoneOffset)
	return strings.Join(parts, ".")
}

// relay calls the Spec's Relay for each address that is not relayed yet.
func (c *Cluster) relay(addresses ...string) error {
	if c.spec.Relay == nil {
		return nil
	}
	for _, address := range addresses {
		c.lock.Lock()
		relayed := c.relayed[address]
		c.relayed[address] = true
		c.lock.Unlock()
		if relayed {
			continue
		}
		if err := c.spec.Relay(c.relayedAddress(address), address); err != nil {
			return err
		}
	}
	return nil
}

// ZoneOf returns the index of the zone that an IP address belongs to.
func ZoneOf(ip string) int {
	parts := strings.SplitN(ip, ".", octetCount)
	zone, _ := strconv.Atoi(parts[2])
	return zone%relayedZoneOffset - 1
}

// reserveBlock finds a block of addresses that no other cluster uses. A listener
// reserves the block until Stop.
func (c *Cluster) reserveBlock() error {
	first := rand.IntN(blockCount)
	for i := range blockCount {
		block := minBlock + (first+i)%blockCount
		if listener, err := net.Listen("tcp", fmt.Sprintf("%d.%d.255.254:7000", firstOctet, block)); err == nil {
			c.block = block
			c.reservation = listener
			return nil
		}
	}
	return errors.New("launcher: no block of addresses is free")
}

func (c *Cluster) ip(zone, host int) string {
	return fmt.Sprintf("%d.%d.%d.%d", firstOctet, c.block, zone+1, host)
}

// Replicas returns the control replicas, in the order of their indices.
func (c *Cluster) Replicas() []Replica {
	return c.replicas
}

// OverlayAddress returns the overlay address of a process.
func OverlayAddress(ip string) string {
	return fmt.Sprintf("%s:%d", ip, portOverlay)
}

// CallsAddress returns the address for calls from other nodes.
func CallsAddress(ip string) string {
	return fmt.Sprintf("%s:%d", ip, portCalls)
}

// PlatformAddress returns the address for requests of the platform and targets.
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

// StartReplica starts the control replica with the given index.
func (c *Cluster) StartReplica(index int) (*Process, error) {
	r := c.replicas[index]
	if err := c.relay(OverlayAddress(r.IP)); err != nil {
		return nil, err
	}
	folder := c.DataFolder(r.Name)
	settings := c.settings(r.Name, "control", r.Zone) + fmt.Sprintf(
		"data-folder = %s\n[listen]\noverlay = %s\nplatform = %s\noperators = %s\n[operators]\n* = %s\n[advertise]\noverlay = %s\n",
		folder, OverlayAddress(r.IP), PlatformAddress(r.IP), OperatorsAddress(r.IP), Token, c.relayedAddress(OverlayAddress(r.IP)))
	return c.start(r.Name, r.IP, r.Zone, settings, "control")
}

// DataFolder returns the data folder of a control replica.
func (c *Cluster) DataFolder(name string) string {
	return filepath.Join(c.spec.Folder, name+".data")
}

// StartNode starts a node in the zone with the given index, at the given host
// number.
func (c *Cluster) StartNode(zone, host int) (*Process, error) {
	zoneName := c.spec.Zones[zone]
	ip := c.ip(zone, host%hostsPerZone)
	name := fmt.Sprintf("%s-%d", zoneName, host)
	if err := c.relay(OverlayAddress(ip), CallsAddress(ip)); err != nil {
		return nil, err
	}
	settings := c.settings(name, "node", zoneName) + fmt.Sprintf(
		"team = %s\n[listen]\noverlay = %s\nplatform = %s\ncalls = %s\ncallers = %s\n[advertise]\noverlay = %s\ncalls = %s\n",
		Team, OverlayAddress(ip), PlatformAddress(ip), CallsAddress(ip), CallersAddress(ip),
		c.relayedAddress(OverlayAddress(ip)), c.relayedAddress(CallsAddress(ip)))
	if c.spec.KeyWindow > 0 {
		settings += fmt.Sprintf("[callers]\nkey-window = %s\n", c.spec.KeyWindow)
	}
	return c.start(name, ip, zoneName, settings, "node")
}

func (c *Cluster) settings(name, role, zone string) string {
	members := make([]string, 0, len(c.replicas))
	for _, r := range c.replicas {
		address := OverlayAddress(r.IP)
		if r.Name != name {
			address = c.relayedAddress(address)
		}
		members = append(members, r.Name+"@"+address)
	}
	return fmt.Sprintf("[control]\nreplicas = %s\n[log]\nlevel = %s\n[process]\nname = %s\nrole = %s\nzone = %s\n",
		strings.Join(members, " "), c.spec.Level, name, role, zone)
}

// IP returns the address of a host in the zone with the given index.
func (c *Cluster) IP(zone, host int) string {
	return c.ip(zone, host)
}

// StartProcess starts a process with the given settings and arguments. The path
// of its settings file is appended to the arguments.
func (c *Cluster) StartProcess(name, ip, zone, settings string, arguments ...string) (*Process, error) {
	return c.start(name, ip, zone, settings, arguments...)
}

func (c *Cluster) start(name, ip, zone, settings string, arguments ...string) (*Process, error) {
	path := filepath.Join(c.spec.Folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), fileMode); err != nil {
		return nil, errors.Wrap(err, "launcher: write settings")
	}
	p := &Process{
		Name:        name,
		IP:          ip,
		Zone:        zone,
		program:     c.spec.Program,
		arguments:   append(slices.Clone(arguments), path),
		environment: c.spec.Environment,
		logPath:     filepath.Join(c.spec.Folder, name+".log"),
	}
	if c.spec.MaxDescriptors > 0 {
		p.limitDescriptors(c.spec.MaxDescriptors)
	}
	return p, c.launch(p)
}

// StartTarget starts a stand-in target beside a node.
func (c *Cluster) StartTarget(node *Process, service string, slots int, delay time.Duration, options ...string) (*Process, error) {
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
		logPath: filepath.Join(c.spec.Folder, node.Name+"-target.log"),
	}
	p.arguments = append(p.arguments, options...)
	return p, c.launch(p)
}

// RunsFile returns the path of the file in which stand-in targets record each
// run of a call.
func (c *Cluster) RunsFile() string {
	return filepath.Join(c.spec.Folder, "runs")
}

func (c *Cluster) launch(p *Process) error {
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "launcher: open the log")
	}
	defer func() {
		_ = log.Close()
	}()
	p.command = exec.Command(p.program, p.arguments...)
	p.command.Env = append(os.Environ(), p.environment...)
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

// WaitUntil polls condition until it reports true. If ctx ends first, it returns
// an error that contains description.
func WaitUntil(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Newf("launcher: timed out waiting until %s", description)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Ready reports whether the process with the given IP address responds at its
// platform address that it is ready.
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
