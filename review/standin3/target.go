package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	checkInTimeout    = time.Second
	targetSlots       = 14
	stateReady        = "ready"
)

// targetRun is one request that a target has run.
type targetRun struct {
	id string
	at time.Time
}

// reply is how a target treats a request.
type reply struct {
	// stray are bytes that the target sends before its answer and that belong to no request.
	stray string
	// sheds makes the target reject the request without running it.
	sheds bool
	// loses makes the target run the request and reset the connection in place of an answer.
	loses bool
}

// behaviour decides how a target treats a request, from the number of requests that it has
// rejected and the number that it has run on the connection.
type behaviour func(rejected, run int) reply

// standInTarget is a target that keeps to the platform's protocol.
type standInTarget struct {
	id, service, ip, zone string
	record                *record

	lock     sync.Mutex
	work     time.Duration
	behave   behaviour
	born     time.Time
	sequence int
	state    string
	runs     []targetRun
	cancel   context.CancelFunc
	// ends counts the ends of the target. listener and conns are those of the current start.
	ends     int
	listener net.Listener
	conns    []net.Conn
}

// startTarget starts a target, which checks in with its node from then on.
func startTarget(id, service, ip, zone string, r *record) (*standInTarget, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &standInTarget{
		id:      id,
		service: service,
		ip:      ip,
		zone:    zone,
		record:  r,
		behave:  func(int, int) reply { return reply{} },
		state:   stateReady,
		cancel:  cancel,
	}
	if err := t.start(); err != nil {
		cancel()
		return nil, err
	}
	go t.checkInAlways(ctx)
	return t, nil
}

// start begins a start of the target, which knows nothing of the one before.
func (t *standInTarget) start() error {
	listener, err := net.Listen("tcp", address(t.ip, portTarget))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.listener = listener
	t.sequence = 0
	t.born = time.Now()
	t.record.note("target %s starts, born %d", t.id, t.born.UnixMilli())
	go t.accept(listener)
	return nil
}

// end ends the current start of the target, with its connections.
func (t *standInTarget) end() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.ends++
	_ = t.listener.Close()
	for _, conn := range t.conns {
		reset(conn)
	}
	t.conns = nil
}

func (t *standInTarget) stop() {
	t.cancel()
	t.end()
}

func (t *standInTarget) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.lock.Lock()
		t.conns = append(t.conns, conn)
		t.lock.Unlock()
		go t.serve(conn)
	}
}

// serve serves the requests of a connection one after the other.
func (t *standInTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	rejected, run := 0, 0
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Fireflymoor-Request-Id")
		t.record.note("target %s of %s: request %s reaches it: %s %s, %s ms left", t.id, t.service, id,
			request.Method, request.RequestURI, request.Header.Get("X-Fireflymoor-Deadline-Ms"))
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if expected := request.Header.Get("X-Fireflymoor-Expect-Instance"); expected != t.id {
			t.write(conn, "421 Misdirected Request", "", "X-Fireflymoor-Request-Id: "+id, "X-Fireflymoor-Instance-Id: "+t.id)
			continue
		}
		r := t.decide(rejected, run)
		if r.stray != "" {
			t.record.note("target %s: sends bytes that belong to no request: %q", t.id, r.stray)
			_, _ = io.WriteString(conn, r.stray)
		}
		if r.sheds {
			rejected++
			t.record.note("target %s: is full and rejects request %s", t.id, id)
			t.write(conn, "503 Service Unavailable", "", "X-Fireflymoor-Not-Executed: 1", "X-Fireflymoor-Request-Id: "+id)
			continue
		}
		run++
		t.run(id)
		if r.loses {
			t.record.note("target %s: resets the connection of request %s, which it has run", t.id, id)
			reset(conn)
			return
		}
		t.write(conn, "200 OK", t.service+" ran "+id, "X-Fireflymoor-Request-Id: "+id,
			"X-Fireflymoor-Server-Stamp: stamp."+t.id, fmt.Sprintf("X-Fireflymoor-Server-Load: 1,0,%d", targetSlots))
	}
}

func (t *standInTarget) decide(rejected, run int) reply {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.behave(rejected, run)
}

// run runs a request.
func (t *standInTarget) run(id string) {
	t.lock.Lock()
	t.runs = append(t.runs, targetRun{
		id: id,
		at: time.Now(),
	})
	work, ends := t.work, t.ends
	t.lock.Unlock()
	t.record.note("target %s: runs request %s", t.id, id)
	time.Sleep(work)
	t.lock.Lock()
	lost := t.ends != ends
	t.lock.Unlock()
	if !lost {
		t.record.note("target %s: request %s is done", t.id, id)
	}
}

// write writes a complete answer.
func (t *standInTarget) write(conn net.Conn, status, body string, fields ...string) {
	lines := append([]string{"HTTP/1.1 " + status}, fields...)
	lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)), "", body)
	_, _ = io.WriteString(conn, strings.Join(lines, "\r\n"))
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// setBehaviour sets how the target treats requests.
func (t *standInTarget) setBehaviour(b behaviour) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.behave = b
}

// setWork sets how long each request takes.
func (t *standInTarget) setWork(d time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.work = d
}

// seen returns the requests that the target has run.
func (t *standInTarget) seen() []targetRun {
	t.lock.Lock()
	defer t.lock.Unlock()
	return append([]targetRun(nil), t.runs...)
}

func (t *standInTarget) checkInAlways(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = t.checkIn(ctx)
		_ = pause(ctx, heartbeatInterval)
	}
}

// checkIn sends one check-in and returns the status.
func (t *standInTarget) checkIn(ctx context.Context) (int, error) {
	t.lock.Lock()
	t.sequence++
	body, err := json.Marshal(map[string]any{
		"service":           t.service,
		"address":           address(t.ip, portTarget),
		"zone":              t.zone,
		"version":           "v1",
		"slots":             targetSlots,
		"state":             t.state,
		"cold_remaining_ms": 0,
		"sequence":          t.sequence,
		"born":              t.born.UnixMilli(),
	})
	t.lock.Unlock()
	if err != nil {
		return 0, errors.Wrap(err, "encode a check-in")
	}
	ctx, cancel := context.WithTimeout(ctx, checkInTimeout)
	defer cancel()
	url := "http://" + address(t.ip, portControl) + "/fireflymoor/instances/" + t.id + "/heartbeat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "check in")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "check in")
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
