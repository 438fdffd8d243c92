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
	"github.com/fireflymoor/fireflymoor/internal/injector"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/relayer"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// soakCommand injects random faults into real processes under load from callers
// and operators. It checks the invariants by comparing what callers and targets
// have counted.
type soakCommand struct {
	fleetOptions
	Seed    uint64        `default:"1" help:"Seed of the faults in the first run."`
	Seeds   int           `default:"1" help:"Number of runs, each with the next seed."`
	For     time.Duration `default:"20s" help:"Duration of the faults in a run."`
	Zones   int           `default:"3" help:"Number of availability zones."`
	Nodes   int           `default:"9" help:"Number of nodes."`
	Callers int           `default:"8" help:"Number of callers of each kind of call."`
	Quiet   bool          `help:"Print no progress, only the results."`
}

const (
	soakTargetDelay = 5 * time.Millisecond
	// maxChangeTime is the time that the users allow for a change to come into
	// force, and for a node to catch up after a network partition.
	maxChangeTime = 4 * time.Second
	// maxStallTime is how long an unresponsive connection may delay later
	// calls or make them fail.
	maxStallTime = 2 * time.Second
	// maxRecoveryTime is how long the system may take to recover, including
	// processes that were killed by the last fault.
	maxRecoveryTime = 20 * time.Second
	// faultFreeTime is how long calls are made after recovery, none of which
	// may fail.
	faultFreeTime = 2 * time.Second
	// keyWindow is how long idempotency keys are stored. It is longer than the
	// time over which an auditor resends a call.
	keyWindow     = 12 * time.Second
	operatorCount = 2
)

// soakLimits are the limits, in calls per second, that the first targets state and check.
var soakLimits = []float64{20, 0.5}

// soakResult is the result of a run.
type soakResult struct {
	Seed       uint64         `json:"seed"`
	Faults     map[string]int `json:"faults"`
	Posts      auditor.Report `json:"posts"`
	Gets       auditor.Report `json:"gets"`
	Keyed      auditor.Report `json:"keyed"`
	Calm       auditor.Report `json:"calm"`
	Changes    int            `json:"changes"`
	Accepted   int            `json:"accepted"`
	DeadlyEnds map[string]int `json:"deadly-ends"`
	Healed     time.Duration  `json:"healed-ns"`
	LastChange time.Duration  `json:"last-change-ns"`
	Violations []string       `json:"violations"`
}

// Run runs the command. A failed seed doesn't prevent the runs of the seeds after
// it; only the end of ctx does.
func (c *soakCommand) Run(ctx context.Context) error {
	var all error
	var results []soakResult
	for i := range c.Seeds {
		if ctx.Err() != nil {
			all = errors.CombineErrors(all, errors.Wrapf(ctx.Err(), "soak: stopped before seed %d", c.Seed+uint64(i)))
			break
		}
		result, err := c.runSeed(ctx, c.Seed+uint64(i))
		all = errors.CombineErrors(all, err)
		results = append(results, result)
	}
	return errors.CombineErrors(all, writeJSON(c.Output, results))
}

// runSeed makes one run on a new system.
func (c *soakCommand) runSeed(ctx context.Context, seed uint64) (soakResult, error) {
	relay := relayer.New()
	serving, stop := context.WithCancel(ctx)
	defer stop()
	f, err := startFleet(ctx, c.fleetOptions, fleetShape{
		zones:              zoneNames(c.Zones),
		replicas:           replicas,
		nodes:              c.Nodes,
		services:           1,
		level:              "info",
		targetsAsProcesses: true,
		targetDelay:        soakTargetDelay,
		limits:             soakLimits,
		deadly:             true,

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
	if err := f.waitKeysServed(ctx); err != nil {
		f.shutdown(c.Keep)
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
	run.injector = injector.New(injector.Options{
		Cluster:   f.Cluster,
		Relayer:   relay,
		Zones:     c.Zones,
		Controls:  f.controls,
		Nodes:     f.nodes,
		Targets:   f.targetProcesses,
		AllVoters: func() bool { return f.allVoters(ctx) },
		Report:    run.printProgress,
	})
	err = run.execute(ctx)
	run.checkLogs()
	f.shutdown(c.Keep)
	if err != nil {
		return run.result, err
	}
	return run.result, run.report()
}

// soak is the state of one run.
type soak struct {
	command  *soakCommand
	fleet    *fleet
	injector *injector.Injector
	began    time.Time
	result   soakResult
}

// printProgress prints a line with the time since the start, unless Quiet is set.
func (r *soak) printProgress(text string) {
	if !r.command.Quiet {
		fmt.Fprintf(os.Stderr, "%8s  %s\n", time.Since(r.began).Round(time.Millisecond), text)
	}
}

func (r *soak) addViolation(format string, arguments ...any) {
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, arguments...))
}

// execute injects the faults under load, waits for recovery, and checks the
// results.
func (r *soak) execute(ctx context.Context) error {
	posts := r.startCallers(http.MethodPost, false)
	gets := r.startCallers(http.MethodGet, false)
	keyed := r.startCallers(http.MethodPost, true)
	workload := startChangeWorkload(r.fleet, operatorCount)
	deadly := startDeadlyRequests(r.fleet, r.injector)
	faultContext, cancel := context.WithTimeout(ctx, r.command.For)
	defer cancel()
	r.result.Faults = r.injector.Run(faultContext, r.result.Seed)
	violations, err := deadly.end(r.command.Zones)
	r.result.DeadlyEnds = deadly.ends
	r.result.Violations = append(r.result.Violations, violations...)
	if err != nil {
		return err
	}
	healed := time.Now()
	r.printProgress("all faults removed")
	if err := r.checkRecovery(ctx, healed, workload); err != nil {
		r.addViolation("%s", err)
	}
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
	return r.checkFaultFree(ctx)
}

func (r *soak) startCallers(method string, keyed bool) *auditor.Auditor {
	return auditor.Start(auditor.Options{
		Callers:   r.command.Callers,
		Method:    method,
		Service:   serviceName(0),
		Nodes:     func() []*launcher.Process { return r.fleet.nodes },
		Keyed:     keyed,
		Disrupted: r.injector.Disrupted,
	})
}

// checkRecovery waits until the system has recovered from the last fault, and
// checks the responses that the operators received. It also checks that a new
// change comes into force within maxChangeTime.
func (r *soak) checkRecovery(ctx context.Context, healed time.Time, workload *changeWorkload) error {
	recoveryContext, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	if err := workload.resolveAll(recoveryContext); err != nil {
		return err
	}
	r.result.Changes, r.result.Accepted = workload.counts()
	r.result.Violations = append(r.result.Violations, workload.check(recoveryContext)...)
	if err := r.fleet.waitInForce(recoveryContext); err != nil {
		return err
	}
	r.result.Healed = time.Since(healed)
	err := launcher.WaitUntil(recoveryContext, "all nodes and targets are ready", func() bool {
		return r.fleet.allReady(recoveryContext)
	})
	if err != nil {
		return err
	}
	changeContext, cancelChange := context.WithTimeout(ctx, maxChangeTime)
	defer cancelChange()
	began := time.Now()
	if err := r.fleet.submitChange(changeContext, 1, baseTimeoutMilliseconds); err != nil {
		return err
	}
	if err := r.fleet.waitInForce(changeContext); err != nil {
		return err
	}
	r.result.LastChange = time.Since(began)
	return nil
}

// checkFaultFree checks that no call fails once all faults have been removed.
func (r *soak) checkFaultFree(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "soak")
	case <-time.After(maxStallTime):
	}
	callers := r.startCallers(http.MethodPost, false)
	select {
	case <-ctx.Done():
	case <-time.After(faultFreeTime):
	}
	var err error
	r.result.Calm, err = callers.End(r.fleet.RunsFile())
	calm := r.result.Calm
	if calm.NotRun+calm.Unknown+calm.Broken > 0 {
		r.addViolation("calls failed after all faults had been removed: %s: %v", calm, calm.Refusals)
	}
	r.result.Violations = append(r.result.Violations, calm.Violations...)
	return err
}

// checkLogs adds the violations that the processes logged.
func (r *soak) checkLogs() {
	for _, p := range slices.Concat(r.fleet.controls, r.fleet.nodes, r.fleet.targetProcesses) {
		r.result.Violations = append(r.result.Violations, auditor.CheckLog(p)...)
	}
}

// allVoters reports whether every control replica reports a quorum, all replicas
// as members, and its own disk as a voter.
func (f *fleet) allVoters(ctx context.Context) bool {
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

// allReady reports whether all nodes are ready and all targets are reported as
// ready.
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
	fmt.Printf("targets ended by requests: %v\n", result.DeadlyEnds)
	fmt.Printf("changes: %d sent, %d accepted; all in force %s after the last fault, the next change in %s\n",
		result.Changes, result.Accepted, result.Healed.Round(time.Millisecond), result.LastChange.Round(time.Millisecond))
	for _, v := range result.Violations {
		fmt.Println("VIOLATION:", v)
	}
	if len(result.Violations) > 0 {
		return errors.Newf("soak: seed %d: %d violations", result.Seed, len(result.Violations))
	}
	fmt.Println("verdict: all invariants held")
	return nil
}
