// Package caller takes calls from callers and has them answered by targets
// that can serve them.
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
	"github.com/fireflymoor/fireflymoor/internal/claimer"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

var (
	errNoTarget   = errors.New("no target can serve the call")
	errBodySpent  = errors.New("the body has been sent and is not kept")
	errOverBudget = errors.New("the budget for retries is spent")
	errFailed     = errors.New("the target failed")
)

const (
	// mostTries bounds the tries of one call at targets' nodes, most of which
	// may refuse it: each costs the way there and back. Fewer are made while
	// most tries are refused.
	mostTries = 3
	// nestedRank is the rank of the calls that running calls make: their
	// parents hold slots while these wait.
	nestedRank = -1
)

// Options are what a Handler needs.
type Options struct {
	// Node is the name of this node.
	Node string
	// Origin is the service of the instance that callers stand on, or empty.
	Origin string
	// Runs says whether a target of this instance is running the call of an
	// id.
	Runs func(id string) bool
	// Dialect is how callers write what they say of their calls.
	Dialect fireflymoor.Dialect
	// Viewer hands out what to route by.
	Viewer fireflymoor.Viewer
	// Balancer picks targets.
	Balancer fireflymoor.Balancer
	// Forwarder carries calls.
	Forwarder fireflymoor.Forwarder
	// Tracker knows the targets' load.
	Tracker *tracker.Tracker
	// Ejector knows the targets' failures.
	Ejector *ejector.Ejector
	// Budget bounds retries.
	Budget *retrier.Budget
	// Pressure bounds the tries at targets' nodes.
	Pressure *retrier.Pressure
	// Claims keeps calls with an idempotency key from running twice.
	Claims Claims
	// Metrics counts calls.
	Metrics *Metrics
	// Log has the part's prefix. RouteLog is for the lines of each pick.
	Log, RouteLog zerolog.Logger
	// Decisions says whether each routing decision is logged.
	Decisions bool
}

// A Handler is the HTTP handler for callers.
type Handler struct {
	options Options
	tries   atomic.Uint64
}

// New returns a new Handler.
func New(options Options) *Handler {
	return &Handler{
		options: options,
	}
}

// call is one caller's call on its way.
type call struct {
	id string
	// service is the one among the route's that the call goes to.
	service fireflymoor.Service
	route   fireflymoor.Route
	view    fireflymoor.View
	request *http.Request
	body    *body
	began   time.Time
	// nested says that a target of this instance makes the call in the course
	// of another.
	nested bool
	tried  []string
	// arrivals is the number of tries that reached a target.
	arrivals int
	// failure is the answer of a target that failed, while another is tried.
	failure *http.Response
	// grant is the claim of a call with an idempotency key, or nil.
	grant *claimer.Grant
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	began := time.Now()
	head, headErr := h.options.Dialect.ReadCall(request.Header)
	id := head.ID
	if id == "" {
		id = uuid.NewString()
	}
	view := h.options.Viewer.View()
	route, status, reason := match(view, request)
	switch {
	case reason != "":
		h.refuse(w, id, status, fireflymoor.NotRun, reason)
		return
	case headErr != nil:
		h.refuse(w, id, http.StatusBadRequest, fireflymoor.NotRun, headErr.Error())
		return
	}
	left := route.Timeout
	if head.Left > 0 {
		left = min(left, head.Left)
	}
	key, ok := keyOf(request, route)
	if !ok {
		h.refuse(w, id, http.StatusBadRequest, fireflymoor.NotRun, fmt.Sprintf("the idempotency key is not one of 1 to %d bytes", maxKey))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), left)
	defer cancel()
	service, _ := view.Configuration().Service(route.Choose(rand.Float64()))
	kept := newBody(request.Body, request.ContentLength, route.MaxBody)
	c := &call{
		id:      id,
		route:   route,
		service: service,
		view:    view,
		request: inner(request, id, h.options.Origin, route),
		nested:  head.Parent != "" && h.options.Runs(head.Parent),
		body:    kept,
		began:   began,
	}
	h.options.Budget.Call(service.Name, began)
	if key != "" {
		h.serveOnce(ctx, w, c, key)
		return
	}
	h.serve(ctx, w, c)
}

func match(view fireflymoor.View, request *http.Request) (fireflymoor.Route, int, string) {
	configuration := view.Configuration()
	if configuration.Number() == 0 {
		return fireflymoor.Route{}, http.StatusServiceUnavailable, "no configuration is in force"
	}
	route, ok := configuration.Match(request.Host, request.URL.Path)
	if !ok {
		return fireflymoor.Route{}, http.StatusNotFound, "no route matches"
	}
	if request.ContentLength > route.MaxBody {
		return fireflymoor.Route{}, http.StatusRequestEntityTooLarge, "the body is too large"
	}
	return route, 0, ""
}

// inner returns the request as it goes to targets.
func inner(request *http.Request, id, origin string, route fireflymoor.Route) *http.Request {
	copied := *request
	copied.Header = request.Header.Clone()
	labeler.CleanRequest(copied.Header)
	copied.Header.Set(labeler.CallID, id)
	if origin != "" {
		copied.Header.Set(labeler.Origin, origin)
	}
	if !route.MayRepeat(request.Method) {
		copied.Header.Set(labeler.Once, "yes")
	}
	return &copied
}

// serve tries targets until one answers, or no further try is allowed.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	ran := false
	for {
		response, outcome, err := h.try(ctx, c)
		ran = ran || outcome == fireflymoor.Unknown
		if outcome == fireflymoor.Answered && h.mayReplace(ctx, c, response) {
			continue
		}
		if outcome == fireflymoor.Answered {
			h.pass(ctx, w, c, response)
			return
		}
		if h.mayRetry(ctx, c, outcome, err) {
			continue
		}
		if c.failure != nil {
			h.pass(ctx, w, c, c.failure)
			return
		}
		if ran {
			outcome = fireflymoor.Unknown
		}
		c.conclude(ctx, outcome)
		h.refuseLater(w, c.id, failureStatus(ctx, c, outcome), outcome, err.Error(), comeBack(ctx, c.route, outcome))
		return
	}
}

// try sends the call to one target.
func (h *Handler) try(ctx context.Context, c *call) (*http.Response, fireflymoor.Outcome, error) {
	now := time.Now()
	pick, ok := h.pick(c, now)
	if !ok {
		return nil, fireflymoor.NotRun, errors.Wrapf(errNoTarget, "caller: service %s", c.service.Name)
	}
	if h.options.Decisions {
		h.options.RouteLog.Info().Str("call", c.id).Str("route", c.route.Name).
			Str("target", pick.Target.ID).Str("zone", pick.Target.Zone).
			Int("try", len(c.tried)).Str("reason", pick.Reason).Msg("caller: route")
	}
	c.tried = append(c.tried, pick.Target.ID)
	c.request.Header.Set(labeler.CallID, fmt.Sprintf("%s.%s.%d", c.id, h.options.Node, h.tries.Add(1)))
	end := h.options.Tracker.Begin(pick.Target, now)
	c.request.Header.Set(labeler.TargetID, pick.Target.ID)
	c.request.Body, c.request.ContentLength = c.body.reader()
	c.label(now)
	response, outcome, err := h.options.Forwarder.Forward(ctx, pick.Target, c.request)
	h.options.Pressure.Note(c.service.Name, outcome == fireflymoor.NotRun && errors.Is(err, fireflymoor.ErrBusy))
	if err != nil {
		end()
		h.failed(ctx, c, pick.Target, outcome, err)
		return nil, outcome, err
	}
	if response.StatusCode >= http.StatusInternalServerError {
		h.options.Ejector.Failed(pick.Target.ID, time.Now())
	} else {
		h.options.Ejector.Succeeded(pick.Target.ID)
	}
	h.options.Tracker.Answered(pick.Target, c.route.Name, time.Since(now), time.Now())
	if load, known := labeler.TakeLoad(response.Header); known {
		h.options.Tracker.SetLoad(pick.Target, load, time.Now())
	}
	response.Body = &endingBody{
		ReadCloser: response.Body,
		end:        end,
	}
	return response, outcome, nil
}

// label tells the target's node the call's rank, and within what time it should
// be answered. A nested call is of use as long as its parent.
func (c *call) label(now time.Time) {
	rank := c.route.Priority
	if c.nested {
		rank = nestedRank
	}
	c.request.Header.Set(labeler.Rank, strconv.Itoa(rank))
	if !c.nested && c.route.Objective > 0 {
		within := max(c.route.Objective-now.Sub(c.began), time.Millisecond)
		labeler.SetMilliseconds(c.request.Header, labeler.Within, within)
	}
}

// endingBody says when an answer has been read or left.
type endingBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *endingBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}
