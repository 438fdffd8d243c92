// Package caller accepts calls from callers and forwards them to targets that
// can serve them.
package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/claimer"
	"github.com/fireflymoor/fireflymoor/internal/detector"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
	"github.com/fireflymoor/fireflymoor/internal/receiver"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/shaper"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

var (
	errNoTarget          = errors.New("no target can serve the call")
	errBodyNotReplayable = errors.New("the request body is too long to be sent again")
	errRetryBudgetSpent  = errors.New("the retry budget is exhausted")
	errTargetFailed      = errors.New("the target responded with a server error")
)

const (
	// maxTries bounds the tries of one call, including those that the target's
	// node refuses: each try costs a round trip. Fewer are made while most
	// tries are refused.
	maxTries = 3
	// nestedRank is the rank of calls that targets make while they run another
	// call: the parent call holds a slot while the nested call waits.
	nestedRank = -1
	// maxInitialTry bounds the number of the first try of a process, and tryIDBase is
	// the base in which the numbers are written, so that ids stay short.
	maxInitialTry = 1 << 30
	tryIDBase     = 36
)

// Options holds the dependencies and settings of a Handler.
type Options struct {
	// Node is the name of this node.
	Node string
	// Origin is the service of the instance that the callers belong to, or
	// empty.
	Origin string
	// IsRunning reports whether a target of this instance is running the call with
	// an id, and returns the name of the tenant on whose behalf it runs, or "".
	IsRunning func(id string) (tenant string, running bool)
	// Newest returns the number of a version at least as new as any that was accepted
	// before the call of Newest, or an error if that is not known. If it is nil, the
	// version in force is taken for the newest.
	Newest func(ctx context.Context) (uint64, error)
	// Quota limits the rates of tenants. If it is nil, there are no limits.
	Quota Quota
	// Dialect reads and writes the headers that carry the metadata of calls.
	Dialect fireflymoor.Dialect
	// Viewer returns the configuration and targets for routing.
	Viewer fireflymoor.Viewer
	// Balancer picks a target for each try.
	Balancer fireflymoor.Balancer
	// EvenBalancer picks a target instead of Balancer if the configuration says that
	// the calls are balanced evenly.
	EvenBalancer fireflymoor.Balancer
	// LocalLoad returns the current load of a target of this instance. It reports
	// false if the target is not known. It may be nil.
	LocalLoad func(id string) (load float64, ok bool)
	// Forwarder sends calls to targets.
	Forwarder fireflymoor.Forwarder
	// Tracker tracks the load of targets.
	Tracker *tracker.Tracker
	// Ejector tracks the failures of targets and ejects failing ones.
	Ejector *ejector.Ejector
	// Budget bounds the retries at each service.
	Budget *retrier.Budget
	// RefusalRate bounds the tries of a call by the share of recent tries that
	// were refused.
	RefusalRate *retrier.RefusalRate
	// Claims prevents calls with the same idempotency key from running twice. If
	// it is nil, keys are passed on like any other header.
	Claims Claims
	// Evidence records calls to services under roll-out. It may be nil.
	Evidence Evidence
	// IsCurrent reports whether the shares of roll-outs in the configuration may be
	// used, which they may not in a process that was suspended. If it is nil, they
	// always may.
	IsCurrent func() bool
	// Ending is canceled when the process is about to end, to conclude the calls in
	// flight. It may be nil.
	Ending context.Context
	// Shaper shares the link between bulk responses and other traffic, or is nil.
	Shaper *shaper.Shaper
	// Quarantine holds the requests under which targets have ended. It may be nil.
	Quarantine Quarantine
	// Metrics counts calls.
	Metrics *Metrics
	// RouteLog receives one line for each pick of a target, and Log all other
	// lines.
	Log, RouteLog zerolog.Logger
	// Decisions enables the logging of each routing decision.
	Decisions bool
}

// A Handler is the HTTP handler for calls from callers.
type Handler struct {
	options Options
	// trySequence numbers the tries in the ids that targets' nodes see. It begins at
	// a random number, as the nodes remember the tries of an earlier process.
	trySequence atomic.Uint64
	departures  *departures
}

// New returns a new Handler.
func New(options Options) *Handler {
	h := &Handler{
		options:    options,
		departures: newDepartures(),
	}
	h.trySequence.Store(rand.Uint64N(maxInitialTry))
	return h
}

// call is the state of a call in progress.
type call struct {
	id string
	// service is the service chosen from those of the route.
	service fireflymoor.Service
	route   fireflymoor.Route
	view    fireflymoor.View
	request *http.Request
	body    *body
	start   time.Time
	// identity is on whose behalf the call is made.
	identity identity
	// inZone is set if the call stays in the availability zone because it is a bulk call
	// and the zone has a target.
	inZone bool
	// tried holds the ids of the targets that the call was sent to.
	tried []string
	// runs counts the tries that a target may have run.
	runs int
	// failedResponse is the response of a target that failed. It is returned
	// if no other target responds.
	failedResponse *http.Response
	// rollout is the state that concerns the roll-out of the service.
	rollout rolloutState
	// mayRedirect is set if the node of the target of the current try may send the
	// call back instead of letting it wait.
	mayRedirect bool
	// limitInterval is the shortest time between two calls at the limit of a target that
	// refused the call, or 0 if none of them has a limit.
	limitInterval time.Duration
	// neighbor is the id of the target that the node of a full target has named, or
	// empty.
	neighbor string
	// requestPrint is the fingerprint of the request, or 0 if it has not been needed.
	requestPrint quarantiner.Fingerprint
	// onTrial is set if the current try is a trial of a request under which targets have
	// ended.
	onTrial bool
	// grant is the granted claim on the call's idempotency key, or nil.
	grant *claimer.Grant
	// counted is set if the call counts towards the rate of the tenant countedFor.
	counted    bool
	countedFor fireflymoor.Tenant
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	start := time.Now()
	metadata, metadataErr := h.options.Dialect.ReadCall(request.Header)
	id := metadata.ID
	if id == "" {
		id = uuid.NewString()
	}
	a, refused := h.admit(request, metadata)
	if refused == nil {
		refused = h.checkRequest(request, a, metadataErr)
	}
	if refused != nil {
		h.refuseAdmission(w, id, a, *refused)
		return
	}
	route := a.route
	timeout := route.Timeout
	if metadata.TimeLeft > 0 {
		timeout = min(timeout, metadata.TimeLeft)
	}
	key, ok := h.idempotencyKey(request, route)
	if !ok {
		h.refuse(w, id, http.StatusBadRequest, fireflymoor.NotRun, fmt.Sprintf("the idempotency key is not text of 1 to %d bytes", maxKeyBytes))
		return
	}
	if refused = h.checkQuota(a.identity, start); refused != nil {
		h.refuseAdmission(w, id, a, *refused)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	ctx, stop := h.untilEnding(ctx)
	defer stop()
	service, _ := a.view.Configuration().Service(route.Choose(rand.Float64()))
	callBody := newBody(request.Body, request.ContentLength, route.MaxBody)
	if request.Header.Get("Expect") == "" {
		callBody.prefetch()
	}
	c := &call{
		id:       id,
		route:    route,
		service:  service,
		view:     a.view,
		request:  h.outgoingRequest(request, id, a),
		identity: a.identity,
		body:     callBody,
		start:    start,
		rollout:  newRolloutState(),

		counted:    h.isCounted(a.identity),
		countedFor: a.identity.tenant,
	}
	h.options.Budget.RecordCall(service.Name, start)
	if key != "" {
		h.serveKeyed(ctx, w, c, key)
	} else {
		h.serve(ctx, w, c)
	}
	receiver.FinishRequest(w, request)
}

// outgoingRequest returns a copy of a caller's request with the headers that
// targets' nodes need, and without its key.
func (h *Handler) outgoingRequest(request *http.Request, id string, a admission) *http.Request {
	outgoing := *request
	outgoing.Header = request.Header.Clone()
	annotator.CleanRequest(outgoing.Header)
	if a.view.Configuration().HasTenants() {
		h.options.Dialect.RemoveKey(outgoing.Header)
	}
	outgoing.Header.Set(annotator.CallID, id)
	if h.options.Origin != "" {
		outgoing.Header.Set(annotator.Origin, h.options.Origin)
	}
	if !a.route.MayRepeat(request.Method) {
		outgoing.Header.Set(annotator.Once, "yes")
	}
	return &outgoing
}

// serve tries targets until one responds or no further try is allowed.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	ran := false
	for {
		response, outcome, err := h.try(ctx, c)
		ran = ran || outcome == fireflymoor.Unknown
		if outcome == fireflymoor.Answered && h.mayReplace(ctx, c, response) {
			continue
		}
		if outcome == fireflymoor.Answered {
			h.respond(ctx, w, c, response)
			return
		}
		h.recordDeparture(ctx, c, err)
		if h.mayRetry(ctx, c, outcome, err) {
			continue
		}
		if c.failedResponse != nil {
			h.respond(ctx, w, c, c.failedResponse)
			return
		}
		if ran {
			outcome = fireflymoor.Unknown
		}
		if outcome == fireflymoor.NotRun {
			h.returnQuota(c)
		}
		c.conclude(ctx, outcome)
		c.abandonRequest(w)
		status := failureStatus(ctx, c, outcome, err)
		retryAfter := time.Duration(0)
		if status != http.StatusUnauthorized {
			retryAfter = max(retryDelay(ctx, c.route, outcome, c.limitInterval), quarantineDelay(ctx, err))
		}
		h.options.Metrics.countTenant(c.identity.tenant.Name, outcome.String())
		h.refuseWithDelay(w, c.id, status, outcome, callerReason(ctx, c, outcome, err), err.Error(), retryAfter)
		return
	}
}

// try sends the call to one target and records the result.
func (h *Handler) try(ctx context.Context, c *call) (*http.Response, fireflymoor.Outcome, error) {
	now := time.Now()
	if detector.HasLeft(ctx) {
		return nil, fireflymoor.NotRun, fireflymoor.ErrCallerLeft
	}
	if !h.recheckKey(c) {
		return nil, fireflymoor.NotRun, errWithdrawn
	}
	if err := h.checkQuarantine(c, now); err != nil {
		return nil, fireflymoor.NotRun, err
	}
	pick, ok := h.pick(c, now)
	if !ok {
		return nil, fireflymoor.NotRun, errors.Wrapf(errNoTarget, "caller: service %s", c.service.Name)
	}
	if h.options.Decisions {
		h.options.RouteLog.Info().Str("call", c.id).Str("route", c.route.Name).
			Str("target", pick.Target.ID).Str("zone", pick.Target.Zone).
			Int("try", len(c.tried)).Str("reason", pick.Reason).Msg("caller: route")
	}
	h.options.Metrics.picks.WithLabelValues(pick.Reason).Inc()
	c.tried = append(c.tried, pick.Target.ID)
	c.mayRedirect = pick.MayRedirect && h.mayRedirect(ctx, c)
	end := h.options.Tracker.Begin(pick.Target, now)
	c.request.Body, c.request.ContentLength = c.body.reader()
	h.setTryHeaders(c, pick.Target, now)
	observation := h.observe(c, pick.Target)
	response, outcome, err := h.options.Forwarder.Forward(ctx, pick.Target, c.request)
	if err == nil {
		outcome, err = c.hold(response)
	}
	if !c.mayRedirect || !isSaturated(outcome, err) {
		h.options.RefusalRate.Record(c.service.Name, isSaturated(outcome, err))
	}
	if err != nil {
		end()
		h.recordEnd(c, err)
		h.recordFailure(ctx, c, pick.Target, outcome, err)
		observation.recordError(ctx, c, outcome)
		return nil, outcome, err
	}
	if response.StatusCode >= http.StatusInternalServerError {
		h.options.Ejector.RecordFailure(pick.Target.ID, time.Now())
	} else {
		h.options.Ejector.RecordSuccess(pick.Target.ID)
	}
	h.recordNotice(pick.Target, response.Header, now)
	h.options.Tracker.RecordResponse(pick.Target, c.route.Name, time.Since(now), time.Now())
	if report, known := annotator.TakeLoadReport(response.Header); known {
		h.recordReport(c, pick.Target, report)
	}
	if c.route.Bulk && pick.Target.Node != h.options.Node {
		h.paceBulk(ctx, response)
	}
	response.Body = &trackedBody{
		ReadCloser: response.Body,
		onClose:    end,
	}
	observation.recordResponse(ctx, c, response, time.Since(now))
	return response, outcome, nil
}

// setTryHeaders sets the headers of a call for its try at a target. They repeat what this
// proxy knows of the target, whose node may have restarted.
func (h *Handler) setTryHeaders(c *call, target fireflymoor.Target, now time.Time) {
	header := c.request.Header
	header.Set(annotator.CallID, h.tryID(c.id))
	header.Set(annotator.TargetID, target.ID)
	annotator.SetOrRemove(header, annotator.Departed, h.departures.started(target.ID, now))
	annotator.SetLimit(header, h.options.Tracker.Limit(target, now))
	c.setPriorityHeaders(now)
	c.setTenantHeaders()
	if c.route.Bulk {
		header.Set(annotator.Bulk, "yes")
	}
}

// recordNotice records what a target stated about itself in a response to a call that was
// sent at sentAt.
func (h *Handler) recordNotice(target fireflymoor.Target, response http.Header, sentAt time.Time) {
	now := time.Now()
	h.options.Tracker.RecordLimit(target, h.options.Dialect.ReadNotice(response).Limit, sentAt, now)
	h.departures.record(target.ID, response, now)
}

// paceBulk makes a bulk response of another node be passed on at the rate that the link
// has for it.
func (h *Handler) paceBulk(ctx context.Context, response *http.Response) {
	if h.options.Shaper == nil || response.ContentLength <= 0 {
		return
	}
	reservation := h.options.Shaper.Reserve()
	response.Body = &shaper.Body{
		Reader: reservation.Pace(ctx, response.Body, int(response.ContentLength)),
		Closer: reservation.Closer(response.Body),
	}
}

// tryID returns an id for a try of a call.
func (h *Handler) tryID(id string) string {
	return id + "." + h.options.Node + "." + strconv.FormatUint(h.trySequence.Add(1), tryIDBase)
}

// isSaturated reports whether a try was refused because no slot was free or the
// target was draining. A target that sheds part of its calls refuses the others no
// more likely for it.
func isSaturated(outcome fireflymoor.Outcome, err error) bool {
	return outcome == fireflymoor.NotRun && errors.Is(err, fireflymoor.ErrBusy) &&
		!errors.IsAny(err, fireflymoor.ErrRefusedByTarget, fireflymoor.ErrQuarantined)
}

// recordReport records the load that a target's node reported.
func (h *Handler) recordReport(c *call, target fireflymoor.Target, report fireflymoor.LoadReport) {
	balance := c.view.Configuration().Limits().Balance
	if balance == fireflymoor.BalanceEven || balance == fireflymoor.BalanceAuto && report.Hold > 0 {
		h.options.Tracker.RecordReport(target, report, time.Now())
		return
	}
	h.options.Tracker.SetLoad(target, report.Load, time.Now())
}

// setPriorityHeaders sets the call's rank, the longest wait for a slot and the time
// within which it should be answered. A tenant's priority replaces that of the route.
// A nested call gets no such time, as its response is useful for
// as long as its parent runs.
func (c *call) setPriorityHeaders(now time.Time) {
	rank := c.route.Priority
	switch {
	case c.identity.nested:
		rank = nestedRank
	case c.identity.tenant.HasPriority:
		rank = c.identity.tenant.Priority
	}
	c.request.Header.Set(annotator.Rank, strconv.Itoa(rank))
	c.request.Header.Del(annotator.MaxWait)
	if c.mayRedirect {
		annotator.SetMilliseconds(c.request.Header, annotator.MaxWait, redirectWait)
	}
	if !c.identity.nested && c.route.Objective > 0 {
		within := max(c.route.Objective-now.Sub(c.start), time.Millisecond)
		annotator.SetMilliseconds(c.request.Header, annotator.Objective, within)
	}
}

// trackedBody calls onClose when a response body is closed.
type trackedBody struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.onClose()
	return b.ReadCloser.Close()
}
