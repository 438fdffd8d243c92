// Package auditor is callers at work that check what they get: each call has
// a name of its own, and the stand-in targets' notes tell how often it ran.
package auditor

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/responder"
)

const (
	callTimeout = 10 * time.Second
	connections = 64
	// pause is a caller's wait between its calls.
	pause = time.Millisecond
	// resends is how often a call with a key is sent at most, and resendTime
	// how long after the first time.
	resends    = 3
	resendTime = 5 * time.Second
)

var client = &http.Client{
	Timeout: callTimeout,
	Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
	},
}

// Options are what an Auditor needs.
type Options struct {
	// Callers is the number of callers.
	Callers int
	// Method is the method of all calls.
	Method string
	// Service is the service called; its route's prefix is its name.
	Service string
	// Nodes returns the nodes that a call may enter at.
	Nodes func() []*launcher.Process
	// Keyed gives each call an idempotency key, and sends it again, through
	// any node, also after it was answered.
	Keyed bool
	// Harmed says whether a node was killed or stood still at some time between
	// two. Without it, a call that gets no answer is only counted.
	Harmed func(node *launcher.Process, from, to time.Time) bool
}

// An Auditor is callers at work, until End.
type Auditor struct {
	options Options
	id      string
	stop    atomic.Bool
	group   sync.WaitGroup
	lock    sync.Mutex
	calls   map[string]ending
	slowest time.Duration
}

// ending is how one call ended.
type ending struct {
	outcome string
	detail  string
	wrong   string
	// cut says that the call got no answer from a node that was not harmed.
	cut bool
}

// Report is what the callers and the targets counted.
type Report struct {
	// Answered calls got their own whole answer with status 200.
	Answered int
	// NotRun calls were refused.
	NotRun int
	// Unknown calls may have run.
	Unknown int
	// Broken calls got no answer from the node that they entered at.
	Broken int
	// Slowest is the longest time that a call took.
	Slowest time.Duration
	// Violations say where something that must always hold did not.
	Violations []string
	// Refusals say why each call that was not run, or is unknown, ended so.
	Refusals []string
}

// String returns the report's counts.
func (r Report) String() string {
	return fmt.Sprintf("%d answered, %d not run, %d unknown, %d broken, slowest %s, %d violations",
		r.Answered, r.NotRun, r.Unknown, r.Broken, r.Slowest.Round(time.Millisecond), len(r.Violations))
}

// Start returns a new Auditor whose callers are at work.
func Start(options Options) *Auditor {
	a := &Auditor{
		options: options,
		id:      uuid.NewString()[:8],
		calls:   map[string]ending{},
	}
	for i := range options.Callers {
		a.group.Go(func() {
			for n := 0; !a.stop.Load(); n++ {
				a.one(fmt.Sprintf("%s-%s-%d-%d", options.Method, a.id, i, n))
				time.Sleep(pause)
			}
		})
	}
	return a
}

func (a *Auditor) one(name string) {
	if len(a.options.Nodes()) == 0 {
		return
	}
	began := time.Now()
	var e ending
	if a.options.Keyed {
		e = a.sendAgain(name, began)
	} else {
		e = a.send(name)
	}
	took := time.Since(began)
	a.lock.Lock()
	defer a.lock.Unlock()
	a.slowest = max(a.slowest, took)
	a.calls[name] = e
}

// send sends a call once through a random node.
func (a *Auditor) send(name string, headers ...string) ending {
	nodes := a.options.Nodes()
	node := nodes[rand.IntN(len(nodes))]
	path := "/" + a.options.Service + "/" + name
	began := time.Now()
	answer := Call(node, a.options.Method, path, name, "body of "+name, headers...)
	e := check(answer, name, path)
	if answer.Err != nil && a.options.Harmed != nil {
		e.cut = !a.options.Harmed(node, began, time.Now())
		e.detail += " at " + node.Name
	}
	return e
}

// sendAgain sends a call with a key several times. It was not run only if
// that was said each time.
func (a *Auditor) sendAgain(name string, began time.Time) ending {
	all := ending{}
	for i := 0; i < resends && time.Since(began) < resendTime; i++ {
		e := a.send(name, labeler.IdempotencyKey, name)
		if i == 0 || rankOf(e) > rankOf(all) {
			all = e
		}
		if e.wrong != "" {
			return e
		}
	}
	return all
}

// rankOf orders what the sendings of one call say of it together.
func rankOf(e ending) int {
	return slices.Index([]string{
		fireflymoor.NotRun.String(), "", fireflymoor.Unknown.String(), fireflymoor.Answered.String(),
	}, e.outcome)
}

// check says how a call ended, and what is wrong with its answer.
func check(answer Answer, name, path string) ending {
	e := ending{
		outcome: answer.Outcome,
		detail:  strings.TrimSpace(answer.Body),
	}
	known := answer.Outcome == fireflymoor.NotRun.String() || answer.Outcome == fireflymoor.Unknown.String()
	switch {
	case answer.Err != nil:
		e.outcome = ""
		e.detail = answer.Err.Error()
	case known:
	case answer.Outcome != fireflymoor.Answered.String(), answer.Status != http.StatusOK:
		e.wrong = fmt.Sprintf("%s has no outcome: %+v", name, answer)
	case answer.Call != name, answer.Body != name+" "+path+"\nbody of "+name:
		e.wrong = fmt.Sprintf("%s got another's answer or a part: %+v", name, answer)
	}
	return e
}

// TakeSlowest returns the longest time that a call has taken since the last
// TakeSlowest.
func (a *Auditor) TakeSlowest() time.Duration {
	a.lock.Lock()
	defer a.lock.Unlock()
	slowest := a.slowest
	a.slowest = 0
	return slowest
}

// End stops the callers and checks what must always hold by the targets'
// notes: no call that must not repeat ran twice, none that was said not to
// have run ran, and each answer is whole and the caller's own.
func (a *Auditor) End(runsFile string) (Report, error) {
	a.stop.Store(true)
	a.group.Wait()
	runs, err := readRuns(runsFile)
	if err != nil {
		return Report{}, err
	}
	report := Report{
		Slowest: a.slowest,
	}
	for name, e := range a.calls {
		report.count(name, e, runs[name])
	}
	return report, nil
}

func (r *Report) count(name string, e ending, runs int) {
	if e.wrong != "" {
		r.Violations = append(r.Violations, e.wrong)
	}
	if strings.HasPrefix(name, http.MethodPost) && runs > 1 {
		r.Violations = append(r.Violations, fmt.Sprintf("%s ran %d times", name, runs))
	}
	switch e.outcome {
	case fireflymoor.Answered.String():
		r.Answered++
		if runs == 0 {
			r.Violations = append(r.Violations, name+" was answered and never ran")
		}
	case fireflymoor.NotRun.String():
		r.NotRun++
		r.Refusals = append(r.Refusals, name+" was not run: "+e.detail)
		if runs > 0 {
			r.Violations = append(r.Violations, name+" was said not to have run, and ran: "+e.detail)
		}
	case fireflymoor.Unknown.String():
		r.Unknown++
		r.Refusals = append(r.Refusals, name+" is unknown: "+e.detail)
	default:
		r.Broken++
		if e.cut && runs > 0 {
			r.Violations = append(r.Violations, name+" was cut though its node was only told to stop: "+e.detail)
		}
	}
}

// readRuns returns how often each call ran, by the targets' notes.
func readRuns(path string) (map[string]int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "auditor: read the targets' notes")
	}
	runs := map[string]int{}
	for _, name := range strings.Fields(string(data)) {
		runs[name]++
	}
	return runs, nil
}

// An Answer is what a caller got.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Outcome is the outcome header.
	Outcome string
	// Target and Call are what the stand-in target said of itself and of
	// the call.
	Target string
	Call   string
	// Body is the whole body.
	Body string
	// Err says that no whole answer came.
	Err error
}

// Call makes one call that enters at a node. Headers are names and values in
// turn.
func Call(node *launcher.Process, method, path, name, body string, headers ...string) Answer {
	request, err := http.NewRequest(method, "http://"+launcher.CallersAddress(node.IP)+path, strings.NewReader(body))
	if err != nil {
		return Answer{
			Err: err,
		}
	}
	request.Header.Set(responder.CallHeader, name)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{
			Err: err,
		}
	}
	defer func() {
		_ = response.Body.Close()
	}()
	data, err := io.ReadAll(response.Body)
	return Answer{
		Status:  response.StatusCode,
		Outcome: response.Header.Get(labeler.Outcome),
		Target:  response.Header.Get(responder.TargetHeader),
		Call:    response.Header.Get(responder.CallHeader),
		Body:    string(data),
		Err:     err,
	}
}
