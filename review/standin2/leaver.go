package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// group is a number of consumers, some of which leave. It knows when they did.
type group struct {
	log     *record
	running sync.WaitGroup

	lock sync.Mutex
	left map[string]time.Time
}

func newGroup(log *record) *group {
	return &group{
		log:  log,
		left: map[string]time.Time{},
	}
}

// start sends requests on one new connection, one directly after the other. If stay is 0,
// the consumer reads all answers, and otherwise it closes the connection after that time.
func (g *group) start(ctx context.Context, p *process, stay time.Duration, requests ...string) {
	g.running.Go(func() {
		conn, err := net.Dial("tcp", hostPort(p.ip, portOutbound))
		if err != nil {
			g.log.printf("answer: %s takes no connection: %v", p.name, err)
			return
		}
		defer func() { _ = conn.Close() }()
		ids := make([]string, 0, len(requests))
		for _, request := range requests {
			id := nextID()
			ids = append(ids, id)
			_, _ = io.WriteString(conn, strings.Replace(request, "ID", id, 1))
		}
		g.log.printf("sent: %s to %s on one connection", strings.Join(ids, ", "), p.name)
		if stay > 0 {
			pause(ctx, stay)
			_ = conn.Close()
			g.recordLeft(ids)
			return
		}
		g.readAnswers(conn, ids)
	})
}

func (g *group) recordLeft(ids []string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	for _, id := range ids {
		g.left[id] = now
	}
	g.log.printf("the consumer of %s closes its connection", strings.Join(ids, ", "))
}

func (g *group) readAnswers(conn net.Conn, ids []string) {
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			g.log.printf("answer: %s gets none: %v", id, err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		g.log.printf("answer: %s gets %d", id, response.StatusCode)
	}
}

// leftAt returns when the consumer of a request left, and false if it did not.
func (g *group) leftAt(id string) (time.Time, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	at, ok := g.left[id]
	return at, ok
}

// lookup returns a safe request. The text ID stands for its id.
func lookup(path string, budget time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Fireflymoor-Request-Id: ID\r\n"+
		"X-Fireflymoor-Deadline-Ms: %d\r\n\r\n", path, firstHost, budget.Milliseconds())
}

// reserve returns an unsafe request whose body is sent in one chunk.
func reserve(path string, length int, budget time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Fireflymoor-Request-Id: ID\r\n"+
		"X-Fireflymoor-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		path, secondHost, budget.Milliseconds(), length, strings.Repeat("b", length))
}
