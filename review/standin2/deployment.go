package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Ports of the processes. Each of them has its own loopback address.
const (
	portControl  = 8620
	portInbound  = 8624
	portReady    = 8625
	portTarget   = 8628
	portOutbound = 8629
	portOverlay  = 7600
	portPlatform = 7601
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 5 * time.Second
	pollInterval = 20 * time.Millisecond
)

// zones are the zones of the deployment, each with a control replica.
var zones = []string{"lima-norte", "lima-centro", "lima-sur"}

// process is one process of the system.
type process struct {
	name, ip, role string
	file, output   string
	command        *exec.Cmd
	done           chan struct{}
}

// deployment is a small system with stand-ins around it.
type deployment struct {
	program   string
	templates string
	folder    string
	log       *record
	network   string
	seeds     []string
	replicas  []*process
	nodes     []*process
	workers   []*worker
	operator  *operator
	// tenants are those of the configurations.
	tenants []tenant
	// links is nil if the processes reach each other directly.
	links *links
}

func newDeployment(program, templates string, log *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		program:   program,
		templates: templates,
		folder:    folder,
		log:       log,
	}
	if d.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	return d, nil
}

// freeNetwork returns the first two parts of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback network was found")
}

func isFree(network string) bool {
	for zone := range zones {
		for _, host := range []int{1, 2, 100, 101, 102, 200} {
			for _, port := range []int{portControl, portInbound, portReady, portTarget, portOutbound, portOverlay, portPlatform} {
				listener, err := net.Listen("tcp", hostPort(fmt.Sprintf("%s.%d.%d", network, zone+1, host), port))
				if err != nil {
					return false
				}
				_ = listener.Close()
			}
		}
	}
	return true
}

func hostPort(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}

func (d *deployment) ip(zone, host int) string {
	return fmt.Sprintf("%s.%d.%d", d.network, zone+1, host)
}

var (
	sections = regexp.MustCompile(`(?s)\{\{([#^])(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	fields   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills in a template of the deploy folder, as the platform does.
func (d *deployment) fill(name string, values map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join(d.templates, name))
	if err != nil {
		return "", err
	}
	filled := sections.ReplaceAllStringFunc(string(text), func(found string) string {
		parts := sections.FindStringSubmatch(found)
		if (values[parts[2]] != "") == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return fields.ReplaceAllStringFunc(filled, func(found string) string {
		return values[strings.Trim(found, "{}")]
	}), nil
}

// values returns the values that the platform fills in.
func (d *deployment) values(name, zone, ip, service string) map[string]string {
	return map[string]string{
		"node_name":             name,
		"zone":                  zone,
		"ip":                    ip,
		"internal_ports.0":      fmt.Sprint(portOverlay),
		"internal_ports.1":      fmt.Sprint(portPlatform),
		"seeds":                 strings.Join(d.seeds, ","),
		"listen_addrs.control":  hostPort(ip, portControl),
		"listen_addrs.ready":    hostPort(ip, portReady),
		"listen_addrs.outbound": hostPort(ip, portOutbound),
		"listen_addrs.inbound":  hostPort(ip, portInbound),
		"app_addr":              hostPort(ip, portTarget),
		"service":               service,
		"limits.link_mbps":      "1000",
		"bootstrap":             "yes",
		"data_dir":              filepath.Join(d.folder, "data-"+name),
	}
}

// startReplicas starts a control replica in each zone.
func (d *deployment) startReplicas() error {
	for zone := range zones {
		ip := d.ip(zone, 100)
		if d.links != nil {
			ip = d.relayIP(zone, 100)
		}
		d.seeds = append(d.seeds, hostPort(ip, portControl))
	}
	for zone, name := range zones {
		p, err := d.newProcess("core-"+name+"-1", "control", zone, 100, "")
		if err != nil {
			return err
		}
		d.replicas = append(d.replicas, p)
		if err := d.start(p); err != nil {
			return err
		}
	}
	d.operator = newOperator(d)
	return nil
}

// addNode starts a node and its worker.
func (d *deployment) addNode(zone, host int, service string, slots int) (*worker, error) {
	p, err := d.newProcess(fmt.Sprintf("sidecar-%s-%d", zones[zone], host), "node", zone, host, service)
	if err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, p)
	if err := d.start(p); err != nil {
		return nil, err
	}
	w, err := startWorker(d.log, "i-"+p.name, service, zones[zone], p.ip, slots)
	if err != nil {
		return nil, err
	}
	d.workers = append(d.workers, w)
	return w, nil
}

func (d *deployment) newProcess(name, role string, zone, host int, service string) (*process, error) {
	ip := d.ip(zone, host)
	text, err := d.fill(role+".ini", d.values(name, zones[zone], ip, service))
	if err != nil {
		return nil, err
	}
	p := &process{
		name:   name,
		ip:     ip,
		role:   role,
		file:   filepath.Join(d.folder, name+".ini"),
		output: filepath.Join(d.folder, name+".log"),
	}
	if d.links != nil {
		relay := d.relayIP(zone, host)
		text += "\n[advertise]\noverlay = " + hostPort(relay, portOverlay) + "\n"
		if err := d.links.listen(relay, ip, portOverlay); err != nil {
			return nil, err
		}
		if role == "node" {
			text += "calls = " + hostPort(relay, portInbound) + "\n"
			if err := d.links.listen(relay, ip, portInbound); err != nil {
				return nil, err
			}
		}
	}
	return p, os.WriteFile(p.file, []byte(text), 0o600)
}

// start starts a process, also once more after its end.
func (d *deployment) start(p *process) error {
	output, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command(d.program, p.role, "--platform", p.file)
	p.command.Stdout = output
	p.command.Stderr = output
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(p.command, p.done)
	d.log.printf("%s started as process %d", p.name, p.command.Process.Pid)
	return nil
}

// isRunning reports whether a process has not ended.
func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, w := range d.workers {
		w.close()
	}
	for _, p := range slices.Concat(d.nodes, d.replicas) {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Kill()
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// waitUntil polls a condition until it holds.
func waitUntil(ctx context.Context, what string, timeout time.Duration, holds func() bool) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if holds() {
			return nil
		}
		pause(ctx, pollInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("%s: not within %v", what, timeout)
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
