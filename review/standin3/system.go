package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// Ports of the processes and targets. Each machine has its own IP address.
const (
	portControl  = 8620
	portInbound  = 8624
	portReady    = 8625
	portTarget   = 8628
	portOutbound = 8629
	portInternal = 7600
	lastInternal = 7615
)

const (
	replicaHost  = 100
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	orderTimeout = 2 * time.Second
	// linkRate is the rate of the machines' links in the small deployments, in Mbit/s.
	linkRate = "1000.0"
	// maxDescriptors is the lesser of the numbers of descriptors of the sheets' machines.
	maxDescriptors = 4096
)

var zones = []string{"lima-norte", "lima-centro", "lima-sur"}

// machine is one machine with a node and a target, in the zone with an index.
type machine struct {
	zone, host int
	service    string
}

// fleet describes the machines with targets and the configuration of a system. There is
// a control replica in each zone too.
type fleet struct {
	machines []machine
	routes   []map[string]any
}

// sidecar is a node with the target beside it.
type sidecar struct {
	process *launcher.Process
	target  *standInTarget
	ip      string
	zone    string
	service string
}

// system is a running system.
type system struct {
	cluster  *launcher.Cluster
	record   *record
	seeds    []string
	cores    []*launcher.Process
	sidecars []*sidecar
}

// startSystem starts the processes of a fleet and waits until they serve its
// configuration.
func startSystem(ctx context.Context, f fleet, folder string, r *record) (*system, error) {
	program, err := filepath.Abs(filepath.Join("target", "fireflymoor"))
	if err != nil {
		return nil, errors.Wrap(err, "find the program")
	}
	cluster, err := launcher.New(launcher.Spec{
		Program:     program,
		Folder:      folder,
		Zones:       zones,
		Environment: []string{"GOMAXPROCS=1"},

		MaxDescriptors: maxDescriptors,
	})
	if err != nil {
		return nil, err
	}
	s := &system{
		cluster: cluster,
		record:  r,
	}
	for zone := range zones {
		s.seeds = append(s.seeds, address(cluster.IP(zone, replicaHost), portControl))
	}
	for zone := range zones {
		p, err := s.startReplica(zone, cluster.IP(zone, replicaHost), true)
		if err != nil {
			return s, err
		}
		s.cores = append(s.cores, p)
	}
	for _, m := range f.machines {
		if err := s.startSidecar(m); err != nil {
			return s, err
		}
	}
	return s, s.configure(ctx, f)
}

// startReplica starts the control replica with an address, in the zone with an index. It is
// told whether the whole system starts for the first time.
func (s *system) startReplica(zone int, ip string, bootstrap bool) (*launcher.Process, error) {
	name := fmt.Sprintf("core-%s-%s", zones[zone], ip[strings.LastIndexByte(ip, '.')+1:])
	values := map[string]string{
		"node_name":            name,
		"zone":                 zones[zone],
		"ip":                   ip,
		"data_dir":             s.cluster.DataFolder(name),
		"seeds":                strings.Join(s.seeds, ","),
		"listen_addrs.control": address(ip, portControl),
		"internal_ports.0":     strconv.Itoa(portInternal),
		"internal_ports.1":     strconv.Itoa(lastInternal),
	}
	if bootstrap {
		values["bootstrap"] = "true"
	}
	settings, err := fillTemplate("control.ini", values)
	if err != nil {
		return nil, err
	}
	return s.cluster.StartProcess(name, ip, zones[zone], settings, "control", "--platform")
}

func (s *system) startSidecar(m machine) error {
	ip := s.cluster.IP(m.zone, m.host)
	name := fmt.Sprintf("sidecar-%s-%d", zones[m.zone], m.host)
	settings, err := fillTemplate("node.ini", map[string]string{
		"node_name":             name,
		"zone":                  zones[m.zone],
		"ip":                    ip,
		"service":               m.service,
		"seeds":                 strings.Join(s.seeds, ","),
		"app_addr":              address(ip, portTarget),
		"limits.link_mbps":      linkRate,
		"listen_addrs.control":  address(ip, portControl),
		"listen_addrs.inbound":  address(ip, portInbound),
		"listen_addrs.ready":    address(ip, portReady),
		"listen_addrs.outbound": address(ip, portOutbound),
		"internal_ports.0":      strconv.Itoa(portInternal),
		"internal_ports.1":      strconv.Itoa(lastInternal),
	})
	if err != nil {
		return err
	}
	process, err := s.cluster.StartProcess(name, ip, zones[m.zone], settings, "node", "--platform")
	if err != nil {
		return err
	}
	started, err := startTarget("i-"+name, m.service, ip, zones[m.zone], s.record)
	if err != nil {
		return err
	}
	s.sidecars = append(s.sidecars, &sidecar{
		process: process,
		target:  started,
		ip:      ip,
		zone:    zones[m.zone],
		service: m.service,
	})
	return nil
}

// configure sends the configuration of a fleet until it is acknowledged, and waits until
// all nodes are ready and each target is served.
func (s *system) configure(ctx context.Context, f fleet) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	body, err := encodeConfiguration("r7", f.machines, f.routes)
	if err != nil {
		return err
	}
	err = launcher.WaitUntil(ctx, "the configuration is acknowledged", func() bool {
		return s.put(ctx, s.cores[0].IP, "0", body) == http.StatusOK
	})
	if err != nil {
		return err
	}
	s.record.note("configuration r7 acknowledged")
	for _, c := range s.sidecars {
		err := launcher.WaitUntil(ctx, c.process.Name+" is ready", func() bool { return c.ready(ctx) })
		if err != nil {
			return err
		}
	}
	// The targets' check-ins and their news to the other nodes take a moment.
	return pause(ctx, 3*time.Second)
}

// encodeConfiguration returns the body of an order with the services of machines.
func encodeConfiguration(version string, machines []machine, routes []map[string]any) ([]byte, error) {
	known := map[string]bool{}
	var services []map[string]any
	for _, m := range machines {
		if known[m.service] {
			continue
		}
		known[m.service] = true
		services = append(services, map[string]any{
			"name":              m.service,
			"health_check_path": "/health",
			"max_connections":   110,
			"protocol":          "h1",
			"tls":               false,
		})
	}
	body, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    67108864,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
	})
	return body, errors.Wrap(err, "encode the configuration")
}

// put sends a configuration that is based on a version to a replica. It returns the status,
// or 0 if there is no response.
func (s *system) put(ctx context.Context, ip, base string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	url := "http://" + address(ip, portControl) + "/fireflymoor/config/put"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Fireflymoor-Base-Version", base)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// ready reports whether the node answers the platform's question with 200.
func (c *sidecar) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(c.ip, portReady)+"/fireflymoor/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *system) stop() {
	for _, c := range s.sidecars {
		c.target.stop()
	}
	s.cluster.Stop()
}

func address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// fillTemplate fills in a template of the deploy folder as the platform does.
func fillTemplate(name string, values map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", name))
	if err != nil {
		return "", errors.Wrap(err, "read a template")
	}
	filled := string(text)
	for _, sign := range []string{"#", "^"} {
		section := regexp.MustCompile(`(?s)\{\{` + regexp.QuoteMeta(sign) + `(\w+)\}\}(.*?)\{\{/\w+\}\}`)
		filled = section.ReplaceAllStringFunc(filled, func(found string) string {
			parts := section.FindStringSubmatch(found)
			if (values[parts[1]] != "") == (sign == "#") {
				return parts[2]
			}
			return ""
		})
	}
	return regexp.MustCompile(`\{\{([\w.]+)\}\}`).ReplaceAllStringFunc(filled, func(found string) string {
		return values[strings.Trim(found, "{}")]
	}), nil
}
