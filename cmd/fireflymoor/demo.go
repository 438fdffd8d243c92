package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/template"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor/examples"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/responder"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// demoCommand runs a complete mesh in one process: control replicas, nodes and
// targets.
type demoCommand struct {
	Once    bool `help:"Make some calls and exit."`
	Verbose bool `help:"Print the logs of all replicas and nodes."`
}

const (
	demoTeam         = "portaequipaje"
	demoToken        = "demo"
	demoTimeout      = 30 * time.Second
	demoSlots        = 20
	demoPollInterval = 50 * time.Millisecond
)

var (
	demoZones    = []string{"lima-norte", "lima-centro", "lima-sur"}
	demoServices = []string{"catalogo", "reservas", "cobros"}
)

// demoSettings is the template of the settings of a replica or node. Its data is a
// demoProcess.
var demoSettings = template.Must(template.New("settings").Parse(`
[process]
name = {{ .Name }}
role = {{ .Role }}
zone = {{ .Zone }}
{{- if eq .Role "control" }}
data-folder = {{ .Folder }}/{{ .Name }}
{{- else }}
team = {{ .Team }}
{{- end }}
[listen]
overlay = {{ .IP }}:7001
platform = {{ .IP }}:7003
{{- if eq .Role "control" }}
operators = {{ .IP }}:7004
[operators]
* = {{ .Token }}
{{- else }}
calls = {{ .IP }}:7002
callers = {{ .IP }}:8080
{{- end }}
[control]
replicas = {{ .Replicas }}
`))

// demoProcess describes a replica or node.
type demoProcess struct {
	Name, Role, Zone, Team, Folder, IP, Token, Replicas string
}

// demo is the state of a running demonstration.
type demo struct {
	folder string
	// logs receives the logs of all replicas and nodes.
	logs    io.Writer
	running sync.WaitGroup
	cancel  context.CancelCauseFunc
	client  *administrator.Client
	// callerAddresses are the addresses at which the nodes accept callers.
	callerAddresses []string
}

// Run runs the command.
func (c *demoCommand) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "fireflymoor-demo")
	if err != nil {
		return errors.Wrap(err, "demo: create the data folder")
	}
	defer func() {
		_ = os.RemoveAll(folder)
	}()
	demoCtx, cancel := context.WithCancelCause(ctx)
	d := &demo{
		folder: folder,
		logs:   io.Discard,
		cancel: cancel,
	}
	if c.Verbose {
		d.logs = os.Stdout
	}
	err = d.present(demoCtx, c.Once)
	cancel(nil)
	d.running.Wait()
	if cause := context.Cause(demoCtx); err == nil && ctx.Err() == nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// present starts the mesh, accepts the sample, and makes one call to each service.
// Unless once is set, it then waits until ctx ends.
func (d *demo) present(ctx context.Context, once bool) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	version, err := d.acceptSample(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("version %d is in force on every node\n", version)
	for _, service := range demoServices {
		if err := d.call(ctx, service); err != nil {
			return err
		}
	}
	if once {
		return nil
	}
	d.printHints()
	<-ctx.Done()
	fmt.Println("ending")
	return nil
}

func demoIP(zone, host int) string {
	return fmt.Sprintf("127.90.%d.%d", zone+1, host)
}

// start starts in each zone a control replica, and a node with a target for each
// service.
func (d *demo) start(ctx context.Context) error {
	var replicas, operators []string
	for zone := range demoZones {
		ip := demoIP(zone, 251)
		replicas = append(replicas, fmt.Sprintf("control-%d@%s:7001", zone+1, ip))
		operators = append(operators, ip+":7004")
	}
	d.client = administrator.New(operators, demoToken, demoTimeout)
	for zone, name := range demoZones {
		p := demoProcess{
			Name:     fmt.Sprintf("control-%d", zone+1),
			Role:     loader.RoleControl,
			Zone:     name,
			Folder:   d.folder,
			IP:       demoIP(zone, 251),
			Token:    demoToken,
			Replicas: strings.Join(replicas, " "),
		}
		if err := d.startProcess(ctx, p); err != nil {
			return err
		}
		if err := d.startNodes(ctx, zone, p); err != nil {
			return err
		}
	}
	return nil
}

// startNodes starts the nodes and targets of a zone. Their settings are those of p
// except for the name, the role, the team and the IP address.
func (d *demo) startNodes(ctx context.Context, zone int, p demoProcess) error {
	for i, service := range demoServices {
		p.Name = fmt.Sprintf("%s-%d", demoZones[zone], i+1)
		p.Role = loader.RoleNode
		p.Team = demoTeam
		p.IP = demoIP(zone, i+1)
		if err := d.startProcess(ctx, p); err != nil {
			return err
		}
		d.callerAddresses = append(d.callerAddresses, p.IP+":8080")
		target, err := responder.New(responder.Options{
			ID:      service,
			Service: service,
			Address: p.IP + ":0",
			Node:    p.IP + ":7003",
			Slots:   demoSlots,
		})
		if err != nil {
			return err
		}
		d.running.Go(func() { _ = target.Run(ctx) })
	}
	return nil
}

// startProcess starts a replica or node in this process. If it fails later, the
// demonstration ends with its error.
func (d *demo) startProcess(ctx context.Context, p demoProcess) error {
	text := &bytes.Buffer{}
	if err := demoSettings.Execute(text, p); err != nil {
		return errors.Wrap(err, "demo: write settings")
	}
	settings, err := loader.Parse(filepath.Base(p.Name), text.String())
	if err != nil {
		return err
	}
	process, err := newProcess(settings, d.logs)
	if err != nil {
		return errors.Wrap(err, "demo: start")
	}
	d.running.Go(func() {
		if err := process.Run(ctx); err != nil {
			d.cancel(err)
		}
	})
	return nil
}

// acceptSample bootstraps the replicated log, submits the sample, and waits until
// it is in force on every node. It returns the number of its version.
func (d *demo) acceptSample(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	request := administrator.ChangeRequest{
		Team:     demoTeam,
		ChangeID: uuid.NewString(),
	}
	var err error
	if request.Template, err = readSample("lima/mesh.template"); err != nil {
		return 0, err
	}
	if request.Values, err = readSample("lima/mesh.values"); err != nil {
		return 0, err
	}
	response := administrator.ChangeResponse{}
	steps := []func() bool{
		func() bool { return d.client.Bootstrap(ctx) == nil },
		func() bool { response, err = d.client.Change(ctx, request); return err == nil },
		func() bool { return d.ready(ctx, response.Number) },
	}
	for _, step := range steps {
		for !step() {
			if ctx.Err() != nil {
				return 0, errors.Wrap(errDeadline, "demo")
			}
			time.Sleep(demoPollInterval)
		}
	}
	return response.Number, nil
}

// ready reports whether version number is in force and all nodes and targets are
// known to the control replicas.
func (d *demo) ready(ctx context.Context, number uint64) bool {
	status, err := d.client.Status(ctx)
	if err != nil || !status.InForce(number) {
		return false
	}
	nodes := 0
	for _, z := range status.Zones {
		nodes += z.Nodes
	}
	targets, err := d.client.Targets(ctx)
	return err == nil && nodes == len(d.callerAddresses) && len(targets) == len(d.callerAddresses)
}

// readSample returns the text of a file of examples.Files.
func readSample(name string) (*string, error) {
	data, err := examples.Files.ReadFile(name)
	text := string(data)
	return &text, errors.Wrap(err, "demo: read the sample")
}

// call makes one call to a service through the first node, and prints the outcome.
func (d *demo) call(ctx context.Context, service string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddresses[0]+"/"+service, strings.NewReader("hello"))
	if err != nil {
		return errors.Wrap(err, "demo: call")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "demo: call")
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("demo: %s responded with status %d", service, response.StatusCode)
	}
	fmt.Printf("POST /%s through %s: %s by %s\n", service, d.callerAddresses[0],
		response.Header.Get("Fireflymoor-Outcome"), response.Header.Get(responder.TargetHeader))
	return nil
}

// printHints prints commands that can be run against the demonstration.
func (d *demo) printHints() {
	fmt.Printf(`
Try next, in another shell:
  curl -i -d hello http://%s/reservas/rack-7
  export FIREFLYMOOR_CONTROL=%s FIREFLYMOOR_TOKEN=%s
  go run ./cmd/fireflymoor status
  go run ./cmd/fireflymoor targets
  go run ./cmd/fireflymoor values %s
  go run ./cmd/fireflymoor render --team %s --values examples/lima/mesh.values
Interrupt this process to stop it.
`, d.callerAddresses[0], demoIP(0, 251)+":7004", demoToken, demoTeam, demoTeam)
}
