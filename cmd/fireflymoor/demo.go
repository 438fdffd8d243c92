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

// demoCommand runs every role in this one process.
type demoCommand struct {
	Once    bool `help:"Make some calls, and end."`
	Verbose bool `help:"Print what every part logs."`
}

const (
	demoTeam    = "portaequipaje"
	demoToken   = "demo"
	demoTimeout = 30 * time.Second
	demoSlots   = 20
	demoPoll    = 50 * time.Millisecond
)

var (
	demoZones    = []string{"lima-norte", "lima-centro", "lima-sur"}
	demoServices = []string{"catalogo", "reservas", "cobros"}
)

// demoSettings are the settings of a process of the demonstration.
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

type demoProcess struct {
	Name, Role, Zone, Team, Folder, IP, Token, Replicas string
}

// demo is the demonstration while it runs.
type demo struct {
	folder  string
	out     io.Writer
	running sync.WaitGroup
	cancel  context.CancelCauseFunc
	client  *administrator.Client
	callers []string
}

// Run runs the command.
func (c *demoCommand) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "fireflymoor-demo")
	if err != nil {
		return errors.Wrap(err, "demo: make a folder")
	}
	defer func() {
		_ = os.RemoveAll(folder)
	}()
	working, cancel := context.WithCancelCause(ctx)
	d := &demo{
		folder: folder,
		out:    io.Discard,
		cancel: cancel,
	}
	if c.Verbose {
		d.out = os.Stdout
	}
	err = d.show(working, c.Once)
	cancel(nil)
	d.running.Wait()
	if cause := context.Cause(working); err == nil && ctx.Err() == nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

func (d *demo) show(ctx context.Context, once bool) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	version, err := d.accept(ctx)
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
	d.explain()
	<-ctx.Done()
	fmt.Println("ending")
	return nil
}

func demoIP(zone, host int) string {
	return fmt.Sprintf("127.90.%d.%d", zone+1, host)
}

// start starts three control replicas, and in each zone a node and a target
// for every service.
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
		if err := d.run(ctx, p); err != nil {
			return err
		}
		if err := d.startNodes(ctx, zone, p); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startNodes(ctx context.Context, zone int, p demoProcess) error {
	for i, service := range demoServices {
		p.Name = fmt.Sprintf("%s-%d", demoZones[zone], i+1)
		p.Role = loader.RoleNode
		p.Team = demoTeam
		p.IP = demoIP(zone, i+1)
		if err := d.run(ctx, p); err != nil {
			return err
		}
		d.callers = append(d.callers, p.IP+":8080")
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

func (d *demo) run(ctx context.Context, p demoProcess) error {
	text := &bytes.Buffer{}
	if err := demoSettings.Execute(text, p); err != nil {
		return errors.Wrap(err, "demo: write settings")
	}
	settings, err := loader.Parse(filepath.Base(p.Name), text.String())
	if err != nil {
		return err
	}
	process, err := newProcess(settings, d.out)
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

// accept starts the log, has the sample accepted, and waits until it is in
// force on every node.
func (d *demo) accept(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	request := administrator.ChangeRequest{
		Team:     demoTeam,
		ChangeID: uuid.NewString(),
	}
	var err error
	if request.Template, err = sampleFile("lima/mesh.template"); err != nil {
		return 0, err
	}
	if request.Values, err = sampleFile("lima/mesh.values"); err != nil {
		return 0, err
	}
	response := administrator.ChangeResponse{}
	steps := []func() bool{
		func() bool { return d.client.Bootstrap(ctx) == nil },
		func() bool { response, err = d.client.Change(ctx, request); return err == nil },
		func() bool { return d.inForce(ctx, response.Number) },
	}
	for _, step := range steps {
		for !step() {
			if ctx.Err() != nil {
				return 0, errors.Wrap(errLate, "demo")
			}
			time.Sleep(demoPoll)
		}
	}
	return response.Number, nil
}

func (d *demo) inForce(ctx context.Context, number uint64) bool {
	status, err := d.client.Status(ctx)
	if err != nil || !status.InForce(number) {
		return false
	}
	nodes := 0
	for _, z := range status.Zones {
		nodes += z.Nodes
	}
	targets, err := d.client.Targets(ctx)
	return err == nil && nodes == len(d.callers) && len(targets) == len(d.callers)
}

func sampleFile(name string) (*string, error) {
	data, err := examples.Files.ReadFile(name)
	text := string(data)
	return &text, errors.Wrap(err, "demo: read the sample")
}

// call makes one call through the first node.
func (d *demo) call(ctx context.Context, service string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers[0]+"/"+service, strings.NewReader("hello"))
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
		return errors.Newf("demo: %s answered with status %d", service, response.StatusCode)
	}
	fmt.Printf("POST /%s through %s: %s by %s\n", service, d.callers[0],
		response.Header.Get("Fireflymoor-Outcome"), response.Header.Get(responder.TargetHeader))
	return nil
}

func (d *demo) explain() {
	fmt.Printf(`
Try next, in another shell:
  curl -i -d hello http://%s/reservas/rack-7
  export FIREFLYMOOR_CONTROL=%s FIREFLYMOOR_TOKEN=%s
  go run ./cmd/fireflymoor status
  go run ./cmd/fireflymoor targets
  go run ./cmd/fireflymoor values %s
  go run ./cmd/fireflymoor render --team %s --values examples/lima/mesh.values
Interrupt this process to end it.
`, d.callers[0], demoIP(0, 251)+":7004", demoToken, demoTeam, demoTeam)
}
