// Package forwarder sends calls to the node of the chosen target. If the
// connection of a call is unresponsive or broken, the node is queried for the
// call over a new connection, and the call is revoked if it has not begun.
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/dater"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/packer"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
	"github.com/fireflymoor/fireflymoor/internal/sender"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection is kept. It may become
	// unresponsive without notice: a call that is blocked on it is detected
	// after minQueryDelay, and both together are less than two seconds.
	idleTimeout = 1200 * time.Millisecond
	// minQueryDelay is the minimum time that a call waits for a response before
	// the target's node is queried for it over a new connection. A call with a
	// longer objective waits for its objective.
	minQueryDelay = 700 * time.Millisecond
	// initialQueryInterval is the wait after the first query for a call. It
	// doubles with each query up to maxQueryInterval, so that a call that runs
	// for long costs few queries.
	initialQueryInterval = 100 * time.Millisecond
	maxQueryInterval     = 800 * time.Millisecond
	// queryWait is how long the node may wait for a running call to end before
	// it responds to a query.
	queryWait = 300 * time.Millisecond
	// queryTimeout bounds one query, whose connection may be unresponsive too.
	queryTimeout = queryWait + 400*time.Millisecond
	// transitTime is how long a response that the node has sent, and not kept,
	// may still be in flight on the call's own connection, such as while it is
	// retransmitted on a lossy link.
	transitTime = 300 * time.Millisecond
	// resolveTimeout is how long an unresponsive node is queried for a call
	// whose connection broke.
	resolveTimeout = 1500 * time.Millisecond
	// maxDiscard bounds the part of a refusal's body that is read, in bytes.
	maxDiscard = 4 << 10
)

// RevokePath is the path at which a node is queried for the state of a call.
// The query revokes a call that has not begun.
const RevokePath = "/.fireflymoor/revoke"

// Query parameters of RevokePath.
const (
	QueryID   = "id"
	QueryBoot = "boot"
	// QueryAge is the time since the call was sent, in milliseconds.
	QueryAge = "age"
)

// errResolved cancels a call whose outcome was received over another
// connection.
var errResolved = errors.New("resolved over another connection")

// A Remote is a fireflymoor.Forwarder to the targets of other nodes.
type Remote struct {
	dialer         *dialer.Dialer
	packer         *packer.Packer
	clock          *dater.Clock
	lock           sync.Mutex
	transports     map[string]*sender.Transport
	queryTransport *sender.Transport
	// options are those of all transports.
	options []sender.Option
}

// NewRemote returns a new Remote. It sends headers that packer has packed. The options
// apply to the transports to all nodes.
func NewRemote(dialer *dialer.Dialer, packer *packer.Packer, options ...sender.Option) *Remote {
	options = append([]sender.Option{sender.WithPacker(packer)}, options...)
	queryTransport := sender.NewTransport(dialer.TrafficDialFunc(dialTimeout), 0, options...)
	return &Remote{
		dialer:         dialer,
		packer:         packer,
		clock:          dater.NewClock(),
		transports:     map[string]*sender.Transport{},
		queryTransport: queryTransport,
		options:        options,
	}
}

// transport returns the transport to one node. Each node has its own, so that
// the connections to one node can be dropped separately.
func (f *Remote) transport(address string) *sender.Transport {
	f.lock.Lock()
	defer f.lock.Unlock()
	t := f.transports[address]
	if t == nil {
		options := append([]sender.Option{sender.WithResponseMatcher(sameCall)}, f.options...)
		t = sender.NewTransport(f.dialer.TrafficDialFunc(dialTimeout), idleTimeout, options...)
		f.transports[address] = t
	}
	return t
}

// dropConnections closes the idle connections to a node. Connections in use are
// not used for further calls.
func (f *Remote) dropConnections(address string) {
	f.lock.Lock()
	t := f.transports[address]
	delete(f.transports, address)
	f.lock.Unlock()
	if t != nil {
		t.Close()
	}
}

// Retain closes the idle connections to all nodes but those of the given
// targets.
func (f *Remote) Retain(keep []fireflymoor.Target) {
	kept := map[string]bool{}
	for i := range keep {
		kept[keep[i].Address] = true
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	for address, t := range f.transports {
		if !kept[address] {
			t.Close()
			delete(f.transports, address)
		}
	}
}

// stateQuery identifies a call whose state is queried.
type stateQuery struct {
	id     string
	target fireflymoor.Target
	// sentAt is when the call was sent, or earlier.
	sentAt time.Time
	// long is set if the call may still be being sent when its response arrives.
	long bool
}

// resolution is the state of a call as its target's node reports it.
type resolution struct {
	state    registrar.State
	response *http.Response
}

// inTransit reports whether the response can only arrive over the call's own
// connection, where it may be in flight.
func (r resolution) inTransit() bool {
	return r.state == registrar.Answered && r.response == nil
}

// Forward implements fireflymoor.Forwarder.
func (f *Remote) Forward(ctx context.Context, target fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	query := stateQuery{
		target: target,
		sentAt: time.Now(),
		long:   sender.IsLong(in),
	}
	sendContext, cancel := context.WithCancelCause(ctx)
	out := sender.Prepare(sendContext, in, target.Address, in.Body, in.ContentLength)
	out.Header.Set(annotator.Sent, f.clock.Stamp())
	query.id = out.Header.Get(annotator.CallID)
	resolved := make(chan resolution, 1)
	settled := &atomic.Bool{}
	watchContext, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	timer := time.AfterFunc(max(minQueryDelay, annotator.Milliseconds(in.Header, annotator.Objective)), func() {
		f.watch(watchContext, query, settled, resolved, cancel)
	})
	response, outcome, err := sender.Send(f.transport(target.Address), out)
	timer.Stop()
	isResolved := !settled.CompareAndSwap(false, true)
	if !isResolved {
		stopWatch()
	}
	if err == nil && isResolved {
		_ = response.Body.Close()
		return resolvedResult(<-resolved, errResolved)
	}
	if err == nil {
		response.Body = &cancellingBody{
			ReadCloser: response.Body,
			cancel:     cancel,
		}
		return f.checkResponse(response, query.id)
	}
	cancel(nil)
	if isResolved {
		return resolvedResult(<-resolved, err)
	}
	if outcome == fireflymoor.NotRun {
		return nil, outcome, err
	}
	f.dropConnections(target.Address)
	if ctx.Err() != nil || out.Header.Get(annotator.Once) == "" {
		return nil, fireflymoor.Unknown, err
	}
	return f.resolve(ctx, query, err)
}

// watch queries the target's node for a call that got no response yet, until
// the call is resolved. Either the response itself or the reported state
// settles the call, whichever arrives first.
func (f *Remote) watch(ctx context.Context, query stateQuery, settled *atomic.Bool, resolved chan<- resolution, cancel context.CancelCauseFunc) {
	wait := initialQueryInterval
	for ctx.Err() == nil && !settled.Load() {
		r, err := f.queryState(ctx, query)
		if err == nil && r.state != registrar.Running {
			// The call's own connection is closed when the call is resolved over
			// another, which cuts off a body that is still being sent on it.
			if r.inTransit() || query.long && r.state == registrar.Answered {
				waiter.Pause(ctx, transitTime)
			}
			if !settled.CompareAndSwap(false, true) {
				return
			}
			f.dropConnections(query.target.Address)
			resolved <- r
			cancel(errResolved)
			return
		}
		waiter.Pause(ctx, wait)
		wait = min(2*wait, maxQueryInterval)
	}
}

// resolve queries the target's node for a call whose connection broke.
func (f *Remote) resolve(ctx context.Context, query stateQuery, cause error) (*http.Response, fireflymoor.Outcome, error) {
	deadline := time.Now().Add(resolveTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		r, err := f.queryState(ctx, query)
		switch {
		case err == nil && r.state == registrar.Running:
			deadline = time.Now().Add(resolveTimeout)
		case err == nil:
			return resolvedResult(r, cause)
		}
		waiter.Pause(ctx, initialQueryInterval)
	}
	return nil, fireflymoor.Unknown, errors.Wrap(cause, "forwarder: the target's node is not reached")
}

// resolvedResult returns the result of Forward for a resolution. It wraps cause
// if there is no response.
func resolvedResult(r resolution, cause error) (*http.Response, fireflymoor.Outcome, error) {
	switch r.state {
	case registrar.Refused, registrar.NotRun:
		return nil, fireflymoor.NotRun, errors.Wrap(cause, "forwarder: revoked")
	case registrar.Answered:
		if r.response != nil {
			return r.response, fireflymoor.Answered, nil
		}
	}
	return nil, fireflymoor.Unknown, errors.Wrapf(cause, "forwarder: the call is %s", r.state)
}

// queryState queries the target's node for the state of a call over a new
// connection.
func (f *Remote) queryState(ctx context.Context, q stateQuery) (resolution, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := url.Values{}
	query.Set(QueryID, q.id)
	query.Set(QueryBoot, formatBoot(q.target.Boot))
	query.Set(QueryAge, strconv.FormatInt(time.Since(q.sentAt).Milliseconds(), 10))
	address := "http://" + q.target.Address + RevokePath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, http.NoBody)
	if err != nil {
		return resolution{}, errors.Wrapf(err, "forwarder %s: query the state of a call", q.target.Node)
	}
	waitContext, cancelWait := context.WithTimeout(ctx, queryWait)
	defer cancelWait()
	annotator.SetDeadline(waitContext, request.Header)
	response, err := f.queryTransport.RoundTrip(request)
	if err != nil {
		return resolution{}, errors.Wrapf(err, "forwarder %s: query the state of a call", q.target.Node)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	body, err := io.ReadAll(io.LimitReader(response.Body, registrar.MaxBufferedBody+1))
	if err != nil {
		return resolution{}, errors.Wrapf(err, "forwarder %s: read the state of a call", q.target.Node)
	}
	return readResolution(response, body), nil
}

// readResolution reads the response from RevokePath.
func readResolution(response *http.Response, body []byte) resolution {
	r := resolution{
		state: registrar.State(response.Header.Get(StateHeader)),
	}
	response.Header.Del(StateHeader)
	if r.state == registrar.Answered && response.Header.Get(KeptHeader) != "" {
		response.Header.Del(KeptHeader)
		response.Body = io.NopCloser(bytes.NewReader(body))
		response.ContentLength = int64(len(body))
		r.response = response
	}
	return r
}

// sameCall reports whether a response has the call id of a request.
func sameCall(request, response http.Header) bool {
	return response.Get(annotator.CallID) == request.Get(annotator.CallID)
}

// checkResponse verifies that a response belongs to the call and returns its
// outcome.
func (f *Remote) checkResponse(response *http.Response, id string) (*http.Response, fireflymoor.Outcome, error) {
	if response.Header.Get(annotator.CallID) != id {
		_ = response.Body.Close()
		return nil, fireflymoor.Unknown, errors.New("forwarder: the answer belongs to another call")
	}
	reason := response.Header.Get(annotator.Reason)
	switch response.Header.Get(annotator.Outcome) {
	case fireflymoor.Answered.String():
		return response, fireflymoor.Answered, nil
	case fireflymoor.NotRun.String():
		discard(response)
		return nil, fireflymoor.NotRun, refusalError(response.Header, reason)
	}
	discard(response)
	if end := annotator.ReadEnded(response.Header); end != 0 {
		ended := &fireflymoor.EndedError{
			End: end,
		}
		return nil, fireflymoor.Unknown, errors.Wrap(ended, "forwarder: outcome unknown")
	}
	return nil, fireflymoor.Unknown, errors.Newf("forwarder: outcome unknown: %s", reason)
}

// refusalError returns the error for a call that another node refused.
func refusalError(header http.Header, reason string) error {
	busy := &fireflymoor.BusyError{
		Wait:     annotator.Milliseconds(header, annotator.Wait),
		Limit:    annotator.ReadLimit(header),
		Neighbor: header.Get(annotator.Neighbor),
	}
	if report, ok := annotator.TakeLoadReport(header); ok {
		busy.Report = &report
	}
	err := errors.Wrapf(busy, "forwarder: %s", reason)
	if header.Get(annotator.Draining) != "" {
		err = errors.Mark(err, fireflymoor.ErrDraining)
	}
	if header.Get(annotator.Suspect) != "" {
		err = errors.Mark(err, fireflymoor.ErrQuarantined)
	}
	if header.Get(annotator.RefusedByTarget) != "" {
		err = errors.Mark(err, fireflymoor.ErrRefusedByTarget)
	}
	return err
}

// discard reads a short response to its end, so that its connection can be
// reused.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscard)
	_ = response.Body.Close()
}

// cancellingBody cancels a call's context when the response body is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
