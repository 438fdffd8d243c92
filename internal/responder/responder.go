// Package responder is a stand-in target for tests, measurements and the
// demonstration: it announces itself to its node, answers calls, and counts
// how often each call ran.
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
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/target"
)

// CallHeader names a call to the stand-in. It answers the same name.
const CallHeader = "Stand-In-Call"

// TargetHeader names the stand-in that answered.
const TargetHeader = "Stand-In-Target"

const (
	announceInterval = 300 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
	shutdownTimeout  = 5 * time.Second
	maxBody          = 32 << 20
	fileMode         = 0o600
)

// Options are what a stand-in target needs.
type Options struct {
	// ID is the target's id.
	ID string
	// Service is its service.
	Service string
	// Address is where it takes calls; port 0 takes any.
	Address string
	// Node is the platform address of its node.
	Node string
	// Slots is the number of calls that it says it serves at once.
	Slots int
	// Delay is how long each call takes.
	Delay time.Duration
	// Runs is a file that a line is added to for each call that runs, or
	// empty.
	Runs string
}

type responder struct {
	options  Options
	listener net.Listener
	runs     io.WriteCloser
	lock     sync.Mutex
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
			return nil, errors.CombineErrors(errors.Wrap(err, "responder: open the runs"), listener.Close())
		}
	}
	r.server = &http.Server{
		Handler:           r,
		ReadHeaderTimeout: announceTimeout * 10,
	}
	return r, nil
}

// Run implements fireflymoor.Process. At the end it has its node give it no
// new work before it stops.
func (r *responder) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() {
		_ = r.server.Serve(r.listener)
	})
	r.announce(ctx)
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	r.send(ending, http.MethodPost, "/v1/targets/"+r.options.ID+"/drain?wait=yes", nil)
	r.send(ending, http.MethodDelete, "/v1/targets/"+r.options.ID, nil)
	err := r.server.Shutdown(ending)
	group.Wait()
	if r.runs != nil {
		err = errors.CombineErrors(err, r.runs.Close())
	}
	return errors.Wrap(err, "responder: stop")
}

// announce renews the announcement until ctx ends.
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

// send tells the node something; what is lost is said again.
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

// ServeHTTP implements http.Handler. It answers with the call's name and the
// call's own body.
func (r *responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	call := request.Header.Get(CallHeader)
	r.note(call)
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
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

// note counts a call that runs.
func (r *responder) note(call string) {
	if r.runs == nil || call == "" {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintln(r.runs, call)
}
