// Package auditor sends calls from concurrent callers and checks the responses.
// Each call has a unique name. The stand-in targets record each run under that
// name, so that the auditor can count how often a call ran.
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
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/responder"
)

const (
	callTimeout        = 10 * time.Second
	maxIdleConnections = 64
	// callInterval is how long a caller waits between two calls.
	callInterval = time.Millisecond
	// maxSends is the maximum number of times that a call with a key is sent.
	// It is sent again only within resendPeriod of the first time.
	maxSends     = 3
	resendPeriod = 5 * time.Second
)

var client = &http.Client{
	Timeout: callTimeout,
	Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
	},
}

// Options configure an Auditor.
type Options struct {
	// Callers is the number of callers.
	Callers int
	// Method is the method of all calls.
	Method string
	// Service is the name of the called service, which is also its route's
	// path prefix.
	Service string
	// Nodes returns the nodes that a call may be sent to. While it returns
	// none, no calls are made.
	Nodes func() []*launcher.Process
	// Keyed sends each call with an idempotency key, and several times,
	// through any of the nodes, even if it was answered.
	Keyed bool
	// Disrupted reports whether a node was killed or suspended at some time
	// between from and to. If it is nil, a call that gets no response is only
	// counted, and never a violation.
	Disrupted func(node *launcher.Process, from, to time.Time) bool
}

// An Auditor runs callers until End.
type Auditor struct {
	options Options
	id      string
	stop    atomic.Bool
	group   sync.WaitGroup
	lock    sync.Mutex
	calls   map[string]callResult
	slowest time.Duration
}

// callResult is the result of one call as its caller received it.
type callResult struct {
	outcome   string
	detail    string
	violation string
	// interrupted is set if the call got no response although its node was
	// neither killed nor suspended.
	interrupted bool
}

// Report summarizes the results of all calls.
type Report struct {
	// Answered is the number of calls with the outcome answered. A response
	// that is truncated, belongs to another call or has a status other than 200
	// is a violation as well.
	Answered int
	// NotRun is the number of calls that were refused without having run.
	NotRun int
	// Unknown is the number of calls that may or may not have run.
	Unknown int
	// Broken is the number of calls that got no complete response from the
	// node that they were sent to.
	Broken int
	// Slowest is the longest duration of a call since the last TakeSlowest.
	Slowest time.Duration
	// Violations describes each violated invariant.
	Violations []string
	// Refusals gives the reason for each call with the outcome not-run or
	// unknown.
	Refusals []string
}

// String returns the report's counts.
func (r Report) String() string {
	return fmt.Sprintf("%d answered, %d not run, %d unknown, %d broken, slowest %s, %d violations",
		r.Answered, r.NotRun, r.Unknown, r.Broken, r.Slowest.Round(time.Millisecond), len(r.Violations))
}

// Start returns a new Auditor and starts its callers.
func Start(options Options) *Auditor {
	a := &Auditor{
		options: options,
		id:      uuid.NewString()[:8],
		calls:   map[string]callResult{},
	}
	for i := range options.Callers {
		a.group.Go(func() {
			for n := 0; !a.stop.Load(); n++ {
				a.makeCall(fmt.Sprintf("%s-%s-%d-%d", options.Method, a.id, i, n))
				time.Sleep(callInterval)
			}
		})
	}
	return a
}

func (a *Auditor) makeCall(name string) {
	if len(a.options.Nodes()) == 0 {
		return
	}
	began := time.Now()
	var result callResult
	if a.options.Keyed {
		result = a.sendRepeatedly(name, began)
	} else {
		result = a.send(name)
	}
	took := time.Since(began)
	a.lock.Lock()
	defer a.lock.Unlock()
	a.slowest = max(a.slowest, took)
	a.calls[name] = result
}

// send sends a call once, through a random node.
func (a *Auditor) send(name string, headers ...string) callResult {
	nodes := a.options.Nodes()
	node := nodes[rand.IntN(len(nodes))]
	path := "/" + a.options.Service + "/" + name
	began := time.Now()
	response := Call(node, a.options.Method, path, name, "body of "+name, headers...)
	result := checkResponse(response, name, path)
	if response.Err != nil && a.options.Disrupted != nil {
		result.interrupted = !a.options.Disrupted(node, began, time.Now())
		result.detail += " at " + node.Name
	}
	return result
}

// sendRepeatedly sends a call with a key several times and combines the results.
// The call counts as not run only if each response reports it as not run.
func (a *Auditor) sendRepeatedly(name string, began time.Time) callResult {
	combined := callResult{}
	for i := 0; i < maxSends && time.Since(began) < resendPeriod; i++ {
		result := a.send(name, annotator.IdempotencyKey, name)
		if i == 0 || outcomeRank(result) > outcomeRank(combined) {
			combined = result
		}
		if result.violation != "" {
			return result
		}
	}
	return combined
}

// outcomeRank orders outcomes by which one prevails when the results of one call
// are combined.
func outcomeRank(result callResult) int {
	return slices.Index([]string{
		fireflymoor.NotRun.String(), "", fireflymoor.Unknown.String(), fireflymoor.Answered.String(),
	}, result.outcome)
}

// checkResponse returns the result of a call, with the violation if the response
// has no valid outcome, is truncated or belongs to another call.
func checkResponse(response Response, name, path string) callResult {
	result := callResult{
		outcome: response.Outcome,
		detail:  strings.TrimSpace(response.Body),
	}
	unanswered := response.Outcome == fireflymoor.NotRun.String() || response.Outcome == fireflymoor.Unknown.String()
	switch {
	case response.Err != nil:
		result.outcome = ""
		result.detail = response.Err.Error()
	case unanswered:
	case response.Outcome != fireflymoor.Answered.String(), response.Status != http.StatusOK:
		result.violation = fmt.Sprintf("%s has no valid outcome: %+v", name, response)
	case response.Call != name, response.Body != name+" "+path+"\nbody of "+name:
		result.violation = fmt.Sprintf("%s got another call's response or a truncated one: %+v", name, response)
	}
	return result
}

// Answered returns the number of calls with the outcome answered so far.
func (a *Auditor) Answered() int {
	a.lock.Lock()
	defer a.lock.Unlock()
	answered := 0
	for _, result := range a.calls {
		if result.outcome == fireflymoor.Answered.String() {
			answered++
		}
	}
	return answered
}

// TakeSlowest returns the longest duration of a call since the last TakeSlowest.
func (a *Auditor) TakeSlowest() time.Duration {
	a.lock.Lock()
	defer a.lock.Unlock()
	slowest := a.slowest
	a.slowest = 0
	return slowest
}

// End stops the callers and checks the invariants against the runs that the
// targets recorded in runsFile. No POST call may have run twice, no call with the
// outcome not-run may have run, each answered call must have run, and each
// response must be complete and belong to its call.
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
	for name, result := range a.calls {
		report.add(name, result, runs[name])
	}
	return report, nil
}

func (r *Report) add(name string, result callResult, runs int) {
	if result.violation != "" {
		r.Violations = append(r.Violations, result.violation)
	}
	if strings.HasPrefix(name, http.MethodPost) && runs > 1 {
		r.Violations = append(r.Violations, fmt.Sprintf("%s ran %d times", name, runs))
	}
	switch result.outcome {
	case fireflymoor.Answered.String():
		r.Answered++
		if runs == 0 {
			r.Violations = append(r.Violations, name+" was answered but never ran")
		}
	case fireflymoor.NotRun.String():
		r.NotRun++
		r.Refusals = append(r.Refusals, name+" was not run: "+result.detail)
		if runs > 0 {
			r.Violations = append(r.Violations, name+" was reported as not run, but ran: "+result.detail)
		}
	case fireflymoor.Unknown.String():
		r.Unknown++
		r.Refusals = append(r.Refusals, name+" has an unknown outcome: "+result.detail)
	default:
		r.Broken++
		if result.interrupted && runs > 0 {
			r.Violations = append(r.Violations, name+" ran but got no response, though its node was neither killed nor suspended: "+result.detail)
		}
	}
}

// readRuns returns how often each call ran, by the file in which targets record
// runs.
func readRuns(path string) (map[string]int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "auditor: read the recorded runs")
	}
	runs := map[string]int{}
	for _, name := range strings.Fields(string(data)) {
		runs[name]++
	}
	return runs, nil
}

// A Response is the response to one call.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Outcome is the value of the header Fireflymoor-Outcome.
	Outcome string
	// Target and Call are the names of the stand-in target and of the call, as
	// the target reported them.
	Target string
	Call   string
	// Body is the complete body.
	Body string
	// Err is the error if no complete response was received.
	Err error
}

// Call makes one call through a node. It identifies the call to the stand-in
// target by name. Headers alternates header names and values.
func Call(node *launcher.Process, method, path, name, body string, headers ...string) Response {
	request, err := http.NewRequest(method, "http://"+launcher.CallersAddress(node.IP)+path, strings.NewReader(body))
	if err != nil {
		return Response{
			Err: err,
		}
	}
	request.Header.Set(responder.CallHeader, name)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{
			Err: err,
		}
	}
	defer func() {
		_ = response.Body.Close()
	}()
	data, err := io.ReadAll(response.Body)
	return Response{
		Status:  response.StatusCode,
		Outcome: response.Header.Get(annotator.Outcome),
		Target:  response.Header.Get(responder.TargetHeader),
		Call:    response.Header.Get(responder.CallHeader),
		Body:    string(data),
		Err:     err,
	}
}
