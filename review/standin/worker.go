package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the platform.
const (
	idHeader       = "X-Fireflymoor-Request-Id"
	deadlineHeader = "X-Fireflymoor-Deadline-Ms"
	expectHeader   = "X-Fireflymoor-Expect-Instance"
	stampHeader    = "X-Fireflymoor-Server-Stamp"
	instanceHeader = "X-Fireflymoor-Instance-Id"
)

const heartbeatInterval = 500 * time.Millisecond

// A run is one request that a worker has begun to work on.
type run struct {
	id     string
	method string
	target string
	at     time.Time
}

// A worker is a stand-in for an application's worker on a sidecar machine.
type worker struct {
	deployment *deployment
	id         string
	service    string
	address    string
	control    string
	born       time.Time
	// serve runs a request after the worker has recorded it.
	serve  http.HandlerFunc
	server *http.Server

	stopBeats context.CancelFunc

	lock     sync.Mutex
	sequence int
	runs     []run
}

// startWorker starts a worker beside a node. If serve is nil, the worker answers
// every request at once.
func (d *deployment) startWorker(id, ip, service string, serve http.HandlerFunc) (*worker, error) {
	w := &worker{
		deployment: d,
		id:         id,
		service:    service,
		address:    address(ip, portTarget),
		control:    address(ip, portControl),
		born:       time.Now(),
		serve:      serve,
	}
	if serve == nil {
		w.serve = w.answer
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{
		Handler: w,
	}
	go func() { _ = w.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stopBeats = cancel
	go w.beat(ctx)
	d.workers = append(d.workers, w)
	d.write("worker %s of %s started at %s", id, service, w.address)
	return w, nil
}

// beat checks in until ctx ends.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = w.checkIn(w.nextSequence())
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (w *worker) nextSequence() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.sequence++
	return w.sequence
}

// checkIn sends the check-in with a sequence number and returns the status.
func (w *worker) checkIn(sequence int) (int, error) {
	return w.say("heartbeat", map[string]any{
		"service":           w.service,
		"address":           w.address,
		"zone":              zones[0],
		"version":           "v1",
		"slots":             18,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"sequence":          sequence,
		"born":              w.born.UnixMilli(),
	})
}

// leave says that the worker leaves, until that is acknowledged, and returns the
// time of the ack.
func (w *worker) leave() (time.Time, error) {
	w.stopBeats()
	sequence := w.nextSequence()
	err := waitUntil("the leave is acknowledged", func() bool {
		status, err := w.say("leave", map[string]any{
			"sequence": sequence,
			"born":     w.born.UnixMilli(),
		})
		return err == nil && status == http.StatusOK
	})
	return time.Now(), err
}

// say sends a call about the worker to the node beside it.
func (w *worker) say(what string, fields map[string]any) (int, error) {
	body, err := json.Marshal(fields)
	if err != nil {
		return 0, err
	}
	url := "http://" + w.control + "/fireflymoor/instances/" + w.id + "/" + what
	response, err := platformClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		out.Header().Set(instanceHeader, w.id)
		return
	}
	id := request.Header.Get(idHeader)
	out.Header().Set(idHeader, id)
	if request.Header.Get(expectHeader) != "" && request.Header.Get(expectHeader) != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r := run{
		id:     id,
		method: request.Method,
		target: request.RequestURI,
		at:     time.Now(),
	}
	w.lock.Lock()
	w.runs = append(w.runs, r)
	w.lock.Unlock()
	w.deployment.write("worker %s of %s runs %s: %s %s", w.id, w.service, id, r.method, r.target)
	out.Header().Set(stampHeader, "stamp."+w.id+"."+id)
	w.serve(out, request)
}

// answer reads the request and answers with a short body.
func (w *worker) answer(out http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = fmt.Fprintf(out, "%s by %s", request.RequestURI, w.service)
}

// allRuns returns all requests that the worker began to work on.
func (w *worker) allRuns() []run {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]run(nil), w.runs...)
}

// end ends the worker and breaks off its connections.
func (w *worker) end() {
	w.stopBeats()
	_ = w.server.Close()
}
