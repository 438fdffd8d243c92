package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/disturber"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/relayer"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// soakCommand makes random faults happen to real processes while callers and
// operators are at work, and checks by counting at callers and targets what
// must always hold.
type soakCommand struct {
	fleetOptions
	Seed    uint64        `default:"1" help:"Seed of the first run's faults."`
	Seeds   int           `default:"1" help:"Number of runs, with a seed each from the first on."`
	For     time.Duration `default:"20s" help:"Time with faults."`
	Zones   int           `default:"3" help:"Number of availability zones."`
	Nodes   int           `default:"9" help:"Number of nodes."`
	Callers int           `default:"8" help:"Callers of each method."`
	Quiet   bool          `help:"Print the verdict only."`
}

const (
	soakDelay = 5 * time.Millisecond
	// changeBound is the letter's bound on a change, and on a node after a cut.
	changeBound = 4 * time.Second
	// silenceBound is how long a silent connection may cost later calls.
	silenceBound = 2 * time.Second
	// returnBound is how long processes that were killed at the last moment
	// may take to be ready.
	returnBound = 20 * time.Second
	calmTime    = 2 * time.Second
	// keyWindow is longer than an auditor sends one call again.
	keyWindow = 12 * time.Second
	operators = 2
)

// soakResult is what a run gave.
type soakResult struct {
	Seed       uint64         `json:"seed"`
	Faults     map[string]int `json:"faults"`
	Posts      auditor.Report `json:"posts"`
	Gets       auditor.Report `json:"gets"`
	Keyed      auditor.Report `json:"keyed"`
	Calm       auditor.Report `json:"calm"`
	Changes    int            `json:"changes"`
	Accepted   int            `json:"accepted"`
	Healed     time.Duration  `json:"healed-ns"`
	Last       time.Duration  `json:"last-change-ns"`
	Violations []string       `json:"violations"`
}

// Run runs the command. It plays all seeds, also after one that failed, unless
// it is told to stop.
func (c *soakCommand) Run(ctx context.Context) error {
	var all error
	var results []soakResult
	for i := range c.Seeds {
		if ctx.Err() != nil {
			all = errors.CombineErrors(all, errors.Wrapf(ctx.Err(), "soak: stopped before seed %d", c.Seed+uint64(i)))
			break
		}
		result, err := c.play(ctx, c.Seed+uint64(i))
		all = errors.CombineErrors(all, err)
		results = append(results, result)
	}
	return errors.CombineErrors(all, writeJSON(c.Output, results))
}

// play makes one run on a system of its own.
func (c *soakCommand) play(ctx context.Context, seed uint64) (soakResult, error) {
	relay := relayer.New()
	serving, stop := context.WithCancel(ctx)
	defer stop()
	f, err := startFleet(ctx, c.fleetOptions, fleetShape{
		zones:    zoneNames(c.Zones),
		replicas: replicas,
		nodes:    c.Nodes,
		services: 1,
		level:    "info",
		apart:    true,
		delay:    soakDelay,

		keyWindow: keyWindow,
		relay: func(listen, to string) error {
			return relay.Relay(serving, listen, to)
		},
	})
	if err != nil {
		return soakResult{
			Seed: seed,
		}, err
	}
	if err := f.untilKeys(ctx); err != nil {
		f.end(c.Keep)
		return soakResult{
			Seed: seed,
		}, err
	}
	run := &soak{
		command: c,
		fleet:   f,
		began:   time.Now(),
		result: soakResult{
			Seed: seed,
		},
	}
	run.disturber = disturber.New(disturber.Options{
		Cluster:  f.Cluster,
		Relayer:  relay,
		Zones:    c.Zones,
		Controls: f.controls,
		Nodes:    f.nodes,
		Targets:  f.apart,
		AllVote:  func() bool { return f.allVote(ctx) },
		Tell:     run.tell,
	})
	err = run.all(ctx)
	run.checkLogs()
	f.end(c.Keep)
	if err != nil {
		return run.result, err
	}
	return run.result, run.report()
}

// soak is one run.
type soak struct {
	command   *soakCommand
	fleet     *fleet
	disturber *disturber.Disturber
	began     time.Time
	result    soakResult
}

func (r *soak) tell(text string) {
	if !r.command.Quiet {
		fmt.Fprintf(os.Stderr, "%8s  %s\n", time.Since(r.began).Round(time.Millisecond), text)
	}
}

func (r *soak) violated(format string, arguments ...any) {
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, arguments...))
}

func (r *soak) all(ctx context.Context) error {
	posts := r.callers(http.MethodPost, false)
	gets := r.callers(http.MethodGet, false)
	keyed := r.callers(http.MethodPost, true)
	changers := startChangers(r.fleet, operators)
	faulty, cancel := context.WithTimeout(ctx, r.command.For)
	defer cancel()
	r.result.Faults = r.disturber.Run(faulty, r.result.Seed)
	healed := time.Now()
	r.tell("all faults undone")
	if err := r.recover(ctx, healed, changers); err != nil {
		r.violated("%s", err)
	}
	var err error
	if r.result.Posts, err = posts.End(r.fleet.RunsFile()); err != nil {
		return err
	}
	if r.result.Gets, err = gets.End(r.fleet.RunsFile()); err != nil {
		return err
	}
	if r.result.Keyed, err = keyed.End(r.fleet.RunsFile()); err != nil {
		return err
	}
	r.result.Violations = slices.Concat(r.result.Violations,
		r.result.Posts.Violations, r.result.Gets.Violations, r.result.Keyed.Violations)
	return r.calm(ctx)
}

func (r *soak) callers(method string, keyed bool) *auditor.Auditor {
	return auditor.Start(auditor.Options{
		Callers: r.command.Callers,
		Method:  method,
		Service: serviceName(0),
		Nodes:   func() []*launcher.Process { return r.fleet.nodes },
		Keyed:   keyed,
		Harmed:  r.disturber.Harmed,
	})
}

// recover waits until all is well after the last fault, and checks what the
// operators were told.
func (r *soak) recover(ctx context.Context, healed time.Time, changers *changers) error {
	returning, cancel := context.WithTimeout(ctx, returnBound)
	defer cancel()
	if err := changers.settle(returning); err != nil {
		return err
	}
	r.result.Changes, r.result.Accepted = changers.counts()
	r.result.Violations = append(r.result.Violations, changers.check(returning)...)
	if err := r.fleet.untilInForce(returning); err != nil {
		return err
	}
	r.result.Healed = time.Since(healed)
	err := launcher.Until(returning, "all nodes and targets are ready", func() bool {
		return r.fleet.allReady(returning)
	})
	if err != nil {
		return err
	}
	changing, cancelChange := context.WithTimeout(ctx, changeBound)
	defer cancelChange()
	began := time.Now()
	if err := r.fleet.accept(changing, 1, changeBase); err != nil {
		return err
	}
	if err := r.fleet.untilInForce(changing); err != nil {
		return err
	}
	r.result.Last = time.Since(began)
	return nil
}

// calm makes sure that no call is lost once all faults are undone.
func (r *soak) calm(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "soak")
	case <-time.After(silenceBound):
	}
	callers := r.callers(http.MethodPost, false)
	select {
	case <-ctx.Done():
	case <-time.After(calmTime):
	}
	var err error
	r.result.Calm, err = callers.End(r.fleet.RunsFile())
	calm := r.result.Calm
	if calm.NotRun+calm.Unknown+calm.Broken > 0 {
		r.violated("calls fail after all faults were undone: %s: %v", calm, calm.Refusals)
	}
	r.result.Violations = append(r.result.Violations, calm.Violations...)
	return err
}

func (r *soak) checkLogs() {
	for _, p := range slices.Concat(r.fleet.controls, r.fleet.nodes) {
		r.result.Violations = append(r.result.Violations, auditor.CheckLog(p)...)
	}
}

// allVote says whether every control replica says that its disk votes.
func (f *fleet) allVote(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, p := range f.controls {
		client := administrator.New([]string{launcher.OperatorsAddress(p.IP)}, launcher.Token, time.Second)
		status, err := client.Status(ctx)
		if err != nil || !status.Quorum || !status.Voter || len(status.Members) != len(f.controls) {
			return false
		}
	}
	return true
}

// allReady says whether every node is ready, and every target known as ready.
func (f *fleet) allReady(ctx context.Context) bool {
	for _, n := range f.nodes {
		if !launcher.Ready(n.IP) {
			return false
		}
	}
	targets, err := f.client.Targets(ctx)
	if err != nil || len(targets) != len(f.nodes) {
		return false
	}
	for _, t := range targets {
		if t.State != "ready" {
			return false
		}
	}
	return true
}

func (r *soak) report() error {
	result := r.result
	fmt.Printf("seed %d, %s, faults %v\n", result.Seed, r.command.For, result.Faults)
	fmt.Printf("must not repeat: %s\n", result.Posts)
	fmt.Printf("may repeat:      %s\n", result.Gets)
	fmt.Printf("with a key:      %s\n", result.Keyed)
	fmt.Printf("afterwards:      %s\n", result.Calm)
	fmt.Printf("changes: %d sent, %d accepted; all in force %s after the last fault, the next change in %s\n",
		result.Changes, result.Accepted, result.Healed.Round(time.Millisecond), result.Last.Round(time.Millisecond))
	for _, v := range result.Violations {
		fmt.Println("VIOLATION:", v)
	}
	if len(result.Violations) > 0 {
		return errors.Newf("soak: seed %d: %d violations", result.Seed, len(result.Violations))
	}
	fmt.Println("verdict: what must always hold held")
	return nil
}
