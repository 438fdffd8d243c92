// Package responder implements a stand-in target for tests, benchmarks and the
// demo. It announces itself to its node, serves calls, and records each run of
// a call.
package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/target"
)

// CallHeader is the header with the name of a call to the stand-in. The response
// carries the same value.
const CallHeader = "Stand-In-Call"

// TargetHeader is the response header with the id of the stand-in.
const TargetHeader = "Stand-In-Target"

const (
	// DeadlyPath ends the paths of calls that end a stand-in whose options allow it.
	DeadlyPath = "/deadly"
	// DeadlyStatus is the exit status of a stand-in that such a call has ended.
	DeadlyStatus = 86
	// EndPrefix precedes the path of such a call in the line that the stand-in appends to
	// the file of runs.
	EndPrefix = "ended "
	// deadlyDelay is the time from the arrival of such a call to the end.
	deadlyDelay = 20 * time.Millisecond
)

const (
	announceInterval = 300 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
	shutdownTimeout  = 5 * time.Second
	maxBodyBytes     = 32 << 20
	fileMode         = 0o600
)

// Options configure a stand-in target.
type Options struct {
	// ID is the target's id.
	ID string
	// Service is the name of the target's service.
	Service string
	// Address is the address to listen on for calls. Port 0 chooses a free port.
	Address string
	// Node is the platform address of the target's node.
	Node string
	// Slots is the announced number of calls that the target serves at once.
	Slots int
	// Delay is the time before each response.
	Delay time.Duration
	// Runs is the path of a file to which a line is appended for each call that
	// runs, or empty.
	Runs string
	// Limit is how many calls per second the target accepts, as it states in its
	// responses and checks, or 0 if it states no limit.
	Limit float64
	// Deadly makes the process end when it serves a call whose path ends with
	// DeadlyPath.
	Deadly bool
}

type responder struct {
	options  Options
	limit    *limitChecker
	listener net.Listener
	runs     io.WriteCloser
	runsLock sync.Mutex
	server   *http.Server
}

// New returns a new fireflymoor.Process that is a stand-in target.
func New(options Options) (fireflymoor.Process, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, errors.Wrap(err, "responder: listen")
	}
	r := &responder{
		options:  options,
		listener: listener,
	}
	if options.Runs != "" {
		r.runs, err = os.OpenFile(options.Runs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "responder: open the file of runs"), listener.Close())
		}
	}
	if options.Limit > 0 {
		r.limit = newLimitChecker(options.Limit, os.Stderr, time.Now())
	}
	r.server = &http.Server{
		Handler:           r,
		ReadHeaderTimeout: announceTimeout * 10,
	}
	return r, nil
}

// Run implements fireflymoor.Process. Before it returns, it drains and withdraws
// the target at its node, so that the target gets no new work while it stops.
func (r *responder) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() {
		_ = r.server.Serve(r.listener)
	})
	if r.limit != nil {
		group.Go(func() { r.watch(ctx) })
	}
	r.announce(ctx)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	r.send(shutdownCtx, http.MethodPost, "/v1/targets/"+r.options.ID+"/drain?wait=yes", nil)
	r.send(shutdownCtx, http.MethodDelete, "/v1/targets/"+r.options.ID, nil)
	err := r.server.Shutdown(shutdownCtx)
	group.Wait()
	if r.runs != nil {
		err = errors.CombineErrors(err, r.runs.Close())
	}
	return errors.Wrap(err, "responder: stop")
}

// watch notes for the check of the limit that the process runs, until ctx ends.
func (r *responder) watch(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.limit.tick(now)
		}
	}
}

// announce announces the target to its node repeatedly until ctx ends.
func (r *responder) announce(ctx context.Context) {
	body, err := json.Marshal(target.Announcement{
		ID:      r.options.ID,
		Service: r.options.Service,
		Address: r.listener.Addr().String(),
		Slots:   r.options.Slots,
	})
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		r.send(ctx, http.MethodPost, "/v1/targets", body)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// send sends a request to the node and ignores errors: a lost announcement is
// followed by the next one.
func (r *responder) send(ctx context.Context, method, path string, body []byte) {
	if body != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, announceTimeout)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.options.Node+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// ServeHTTP implements http.Handler. It responds with the call's name and path
// and then the call's body.
func (r *responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.limit != nil {
		r.limit.arrive(time.Now())
		w.Header().Set(annotator.TargetLimit, strconv.FormatFloat(r.options.Limit, 'f', -1, 64))
	}
	call := request.Header.Get(CallHeader)
	r.recordRun(call)
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.options.Deadly && strings.HasSuffix(request.URL.Path, DeadlyPath) {
		time.Sleep(deadlyDelay)
		r.recordRun(EndPrefix + request.URL.Path)
		os.Exit(DeadlyStatus)
	}
	if r.options.Delay > 0 {
		select {
		case <-time.After(r.options.Delay):
		case <-request.Context().Done():
			return
		}
	}
	w.Header().Set(CallHeader, call)
	w.Header().Set(TargetHeader, r.options.ID)
	_, _ = fmt.Fprintf(w, "%s %s\n", call, request.URL.Path)
	_, _ = w.Write(body)
}

// recordRun appends the name of a call that runs to the file of runs.
func (r *responder) recordRun(call string) {
	if r.runs == nil || call == "" {
		return
	}
	r.runsLock.Lock()
	defer r.runsLock.Unlock()
	_, _ = fmt.Fprintln(r.runs, call)
}
