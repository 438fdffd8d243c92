package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// checkInInterval is the interval of check-ins, as in the settings of the small deployments.
const checkInInterval = 1500 * time.Millisecond

// executed is one request that a worker began to work on.
type executed struct {
	id, target, caller, worker, service string
	// at is when the request reached the worker, and ended when the work ended.
	at, ended time.Time
}

// worker is a sound server beside a node.
type worker struct {
	log               *record
	id, service, zone string
	ip                string
	slots             int
	born              int64
	server            *http.Server
	stop              chan struct{}

	lock sync.Mutex
	// work is called when a request has been read, if it is not nil. It may take time.
	work func(w http.ResponseWriter, request *http.Request)
	// quiet is set if runs are not written to the record.
	quiet    bool
	sequence int
	state    string
	runs     []executed
}

func startWorker(log *record, id, service, zone, ip string, slots int) (*worker, error) {
	listener, err := net.Listen("tcp", hostPort(ip, portTarget))
	if err != nil {
		return nil, err
	}
	w := &worker{
		log:     log,
		id:      id,
		service: service,
		zone:    zone,
		ip:      ip,
		slots:   slots,
		born:    time.Now().UnixMilli(),
		stop:    make(chan struct{}),
		state:   "ready",
	}
	w.server = &http.Server{
		Handler: w,
	}
	go func() { _ = w.server.Serve(listener) }()
	go w.checkIns()
	return w, nil
}

func (w *worker) close() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	_ = w.server.Close()
}

// setWork sets what the worker does with a request.
func (w *worker) setWork(work func(w http.ResponseWriter, request *http.Request)) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.work = work
}

// setQuiet makes the worker write no runs to the record.
func (w *worker) setQuiet() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.quiet = true
}

// ServeHTTP runs a request that is meant for this worker.
func (w *worker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	reached := time.Now()
	if request.URL.Path == "/health" {
		out.Header().Set("X-Fireflymoor-Instance-Id", w.id)
		return
	}
	id := request.Header.Get("X-Fireflymoor-Request-Id")
	out.Header().Set("X-Fireflymoor-Request-Id", id)
	if expected := request.Header.Get("X-Fireflymoor-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Fireflymoor-Not-Executed", "instance")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.lock.Lock()
	work, quiet := w.work, w.quiet
	w.lock.Unlock()
	if !quiet {
		w.log.printf("run: %s runs %s: %s %s with %d bytes", w.id, id, request.Method, request.RequestURI, len(body))
	}
	if work != nil {
		work(out, request)
	}
	w.lock.Lock()
	w.runs = append(w.runs, executed{
		id:      id,
		target:  request.RequestURI,
		caller:  request.Header.Get("X-Fireflymoor-Caller-Service"),
		worker:  w.id,
		service: w.service,
		at:      reached,
		ended:   time.Now(),
	})
	w.lock.Unlock()
	if request.Context().Err() != nil {
		w.log.printf("run: %s drops %s, its connection was closed", w.id, id)
		return
	}
	out.Header().Set("X-Fireflymoor-Server-Stamp", "stamp."+w.id+"."+id)
	_, _ = fmt.Fprintf(out, "%s of %s for %s", w.id, w.service, id)
}

// executed returns what the worker has run.
func (w *worker) executed() []executed {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]executed(nil), w.runs...)
}

// checkIns checks in at the node until the worker stops.
func (w *worker) checkIns() {
	for {
		w.checkIn()
		select {
		case <-w.stop:
			return
		case <-time.After(checkInInterval):
		}
	}
}

// checkIn sends one check-in and returns the status, or 0.
func (w *worker) checkIn() int {
	w.lock.Lock()
	w.sequence++
	body := map[string]any{
		"service":           w.service,
		"address":           hostPort(w.ip, portTarget),
		"zone":              w.zone,
		"version":           "v1",
		"slots":             w.slots,
		"state":             w.state,
		"cold_remaining_ms": 0,
		"sequence":          w.sequence,
		"born":              w.born,
	}
	w.lock.Unlock()
	return w.post("/fireflymoor/instances/"+w.id+"/heartbeat", body)
}

// post sends a call to the control address of the worker's machine.
func (w *worker) post(path string, body map[string]any) int {
	text, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Post("http://"+hostPort(w.ip, portControl)+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
