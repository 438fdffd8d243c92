package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// Ports of the processes. Each machine has its own loopback address.
const (
	portControl  = 7010
	portReady    = 7011
	portOutbound = 7012
	portInbound  = 7013
	portTarget   = 7014
	portInternal = 7020
	portReserved = 7030
)

const (
	coreHost     = 100
	reservedHost = 200
	clusterTries = 10
	pollInterval = 10 * time.Millisecond
	startTimeout = 25 * time.Second
	// logLines is how many lines of each log are written to the record of a case
	// that could not run.
	logLines = 30
)

// zones are the zones of the deployment, as those of the small site.
var zones = []string{"lima-norte", "lima-centro", "lima-sur"}

// A deployment is a small deployment: one core machine in each zone, and the
// sidecar machines that a case adds.
type deployment struct {
	*record
	trouble bool
	cluster *launcher.Cluster
	// reservation keeps other stand-ins from the deployment's addresses.
	reservation net.Listener
	seeds       []string
	cores       []*launcher.Process
	nodes       []*launcher.Process
	workers     []*worker
}

// newDeployment starts the core machines.
func newDeployment(r *record, folder string, trouble bool) (*deployment, error) {
	// The deploy file sets this for both roles.
	if err := os.Setenv("GOMAXPROCS", "1"); err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join("target", "fireflymoor"))
	if err != nil {
		return nil, err
	}
	cluster, reservation, err := newCluster(program, folder)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record:      r,
		trouble:     trouble,
		cluster:     cluster,
		reservation: reservation,
	}
	d.write("trouble: %v", trouble)
	for zone := range zones {
		d.seeds = append(d.seeds, address(cluster.IP(zone, coreHost), portControl))
	}
	for zone := range zones {
		if err := d.startCore(zone); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

// newCluster returns a cluster on a block of addresses and a listener that reserves
// the block.
func newCluster(program, folder string) (*launcher.Cluster, net.Listener, error) {
	var failure error
	for range clusterTries {
		cluster, err := launcher.New(launcher.Spec{
			Program: program,
			Folder:  folder,
			Zones:   zones,
		})
		if err != nil {
			return nil, nil, err
		}
		reservation, err := net.Listen("tcp", address(cluster.IP(0, reservedHost), portReserved))
		if err == nil {
			return cluster, reservation, nil
		}
		failure = err
	}
	return nil, nil, failure
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	for _, w := range d.workers {
		w.end()
	}
	for _, name := range d.cluster.Stop() {
		d.write("%s had to be killed at the end", name)
	}
	_ = d.reservation.Close()
}

// writeLogs writes the ends of the processes' logs to the record.
func (d *deployment) writeLogs() {
	for _, p := range append(d.cores, d.nodes...) {
		lines := strings.Split(strings.TrimSpace(p.Log()), "\n")
		for _, line := range lines[max(len(lines)-logLines, 0):] {
			d.write("%s: %s", p.Name, line)
		}
	}
}

func address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}

// startCore starts the core machine of a zone.
func (d *deployment) startCore(zone int) error {
	name := "core-" + zones[zone]
	values := d.values(name, zone, coreHost)
	values["bootstrap"] = "yes"
	values["data_dir"] = d.cluster.DataFolder(name)
	p, err := d.startProcess("control", name, zone, coreHost, values)
	if err != nil {
		return err
	}
	d.cores = append(d.cores, p)
	return nil
}

// startNode starts the node of a sidecar machine whose worker has a service.
func (d *deployment) startNode(zone, host int, service string) (*launcher.Process, error) {
	name := fmt.Sprintf("sidecar-%s-%d", zones[zone], host)
	values := d.values(name, zone, host)
	values["service"] = service
	p, err := d.startProcess("node", name, zone, host, values)
	d.nodes = append(d.nodes, p)
	return p, err
}

// values returns the values that the platform gives to the templates.
func (d *deployment) values(name string, zone, host int) map[string]string {
	ip := d.cluster.IP(zone, host)
	return map[string]string{
		"node_name":             name,
		"zone":                  zones[zone],
		"ip":                    ip,
		"internal_ports.0":      fmt.Sprint(portInternal),
		"internal_ports.1":      fmt.Sprint(portInternal + 1),
		"seeds":                 strings.Join(d.seeds, ","),
		"listen_addrs.control":  address(ip, portControl),
		"listen_addrs.ready":    address(ip, portReady),
		"listen_addrs.outbound": address(ip, portOutbound),
		"listen_addrs.inbound":  address(ip, portInbound),
		"app_addr":              address(ip, portTarget),
	}
}

func (d *deployment) startProcess(role, name string, zone, host int, values map[string]string) (*launcher.Process, error) {
	text, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
	if err != nil {
		return nil, err
	}
	settings := fillTemplate(string(text), values)
	p, err := d.cluster.StartProcess(name, d.cluster.IP(zone, host), zones[zone], settings, role, "--platform")
	if err == nil {
		d.write("%s started as process %d at %s", name, p.PID(), p.IP)
	}
	return p, err
}

// fillTemplate fills in a template of the deploy folder as the platform does.
func fillTemplate(text string, values map[string]string) string {
	for _, sign := range []string{"#", "^"} {
		section := regexp.MustCompile(`(?s)\{\{` + regexp.QuoteMeta(sign) + `(\w+)\}\}(.*?)\{\{/\w+\}\}`)
		text = section.ReplaceAllStringFunc(text, func(found string) string {
			parts := section.FindStringSubmatch(found)
			if (values[parts[1]] != "") == (sign == "#") {
				return parts[2]
			}
			return ""
		})
	}
	return regexp.MustCompile(`\{\{([\w.]+)\}\}`).ReplaceAllStringFunc(text, func(found string) string {
		return values[strings.Trim(found, "{}")]
	})
}

// kill ends a process as a crash does.
func (d *deployment) kill(p *launcher.Process) {
	p.Kill()
	d.write("%s killed", p.Name)
}

// terminate sends SIGTERM to a process and waits for its end.
func (d *deployment) terminate(p *launcher.Process) {
	d.write("%s gets SIGTERM", p.Name)
	p.Signal(syscall.SIGTERM)
	<-p.Ended()
	d.write("%s ended", p.Name)
}

// leads reports by the log of a core machine whether it leads the replicated log.
func leads(log string) bool {
	lines := strings.Split(log, "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], "control: role changed") {
			return strings.Contains(lines[i], `"role":"leader"`)
		}
	}
	return false
}

func (d *deployment) restart(p *launcher.Process) error {
	err := d.cluster.Restart(p)
	d.write("%s started again as process %d", p.Name, p.PID())
	return err
}

// waitUntil polls a condition. It returns an error if the condition does not
// hold within startTimeout.
func waitUntil(description string, condition func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return errors.New("in time it did not come about that " + description)
}

var platformClient = &http.Client{
	Timeout: time.Second,
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// ready asks a node whether it is ready, as the platform does.
func ready(ip string) bool {
	response, err := platformClient.Get("http://" + address(ip, portReady) + "/fireflymoor/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
