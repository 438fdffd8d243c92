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
	"sync/atomic"
	"time"
)

// Figures of the deployment's sheet.
const (
	// nodeMemory is the memory of a machine with a target, in bytes.
	nodeMemory  = 184 << 20
	claimBudget = 5 * time.Second
	claimWork   = 370 * time.Millisecond
	// usualBody is the largest body of the usual callers, in bytes.
	usualBody = 1800
)

// The crowd, which stays inside the limits of the configuration.
const (
	// crowdClients is the number of connections to a node at a time. A node accepts 682.
	crowdClients = 650
	crowdNodes   = 2
	largeBody    = 64 << 10
	// holdTime is how long a client waits before the last byte of a body.
	holdTime = 2 * time.Second
	// crowdPause is how long a client waits before its next request.
	crowdPause = 100 * time.Millisecond
	// crowdTime bounds the time of the crowd, and calmTime that of an ordinary request
	// afterwards.
	crowdTime = 40 * time.Second
	calmTime  = 15 * time.Second
	// memoryInterval is how often the memory of a process is read.
	memoryInterval = 10 * time.Millisecond
	// sourceAddresses is the number of IP addresses of the clients.
	sourceAddresses = 5
	// maxEnds is the number of ends on a machine that breaks the rule.
	maxEnds = 3
	maxDial = time.Second
)

const (
	crowdHost = "claims.example"
	crowdPath = "/claims/"
)

var crowdFleet = fleet{
	machines: []machine{
		{zone: 0, host: 1, service: "claimhall"},
		{zone: 1, host: 1, service: "claimhall"},
		{zone: 2, host: 1, service: "claimhall"},
	},
	routes: []map[string]any{{
		"name":              "r-claims",
		"host":              crowdHost,
		"path_prefix":       crowdPath,
		"route_type":        "unsafe",
		"timeout_ms":        claimBudget.Milliseconds(),
		"target_latency_ms": 1200,
		"priority":          1,
		"service":           "claimhall",
		"max_attempts":      2,
	}},
}

// crowd is the clients of one node.
type crowd struct {
	node *sidecar
	body int
	sent atomic.Int64

	lock    sync.Mutex
	answers map[string]int
}

// playCrowd lets a crowd of clients make requests at two nodes. A process that needs more
// memory than its machine has is killed and started again, as the platform does it. With
// trouble, the bodies of the requests are large.
func playCrowd(ctx context.Context, s *system, trouble bool) (string, error) {
	body := usualBody
	if trouble {
		body = largeBody
	}
	for _, m := range s.sidecars {
		m.target.setWork(claimWork)
	}
	s.record.note("%d connections to each of %d nodes send requests with bodies of %d bytes, the last byte %s after the others",
		crowdClients, crowdNodes, body, holdTime)
	crowdCtx, cancel := context.WithTimeout(ctx, crowdTime)
	defer cancel()
	var crowds, watches sync.WaitGroup
	ends := make([]int, crowdNodes)
	for i := range crowdNodes {
		c := &crowd{
			node:    s.sidecars[i],
			body:    body,
			answers: map[string]int{},
		}
		for n := range crowdClients {
			crowds.Go(func() { c.run(crowdCtx, n) })
		}
		watches.Go(func() { ends[i] = s.watchMemory(crowdCtx, c) })
	}
	watches.Wait()
	cancel()
	crowds.Wait()
	served := s.countCalm(ctx)
	s.record.note("afterwards %d of %d nodes serve an ordinary request", served, len(s.sidecars))
	broken := 0
	for _, n := range ends {
		if n >= maxEnds {
			broken++
		}
	}
	if broken >= crowdNodes {
		return fmt.Sprintf("processes needed more than the memory of their machine %d times on each of %d machines of %d",
			maxEnds, broken, len(s.sidecars)+len(s.cores)), nil
	}
	return "", nil
}

// run makes requests at the node until the context ends.
func (c *crowd) run(ctx context.Context, client int) {
	dialer := net.Dialer{
		Timeout: maxDial,
		LocalAddr: &net.TCPAddr{
			IP: net.IPv4(127, 0, 0, byte(2+client%sourceAddresses)),
		},
	}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address(c.node.ip, portOutbound))
		if err != nil {
			c.count("no connection")
			_ = pause(ctx, crowdPause)
			continue
		}
		c.requests(ctx, conn)
		_ = conn.Close()
		_ = pause(ctx, crowdPause)
	}
}

// requests makes requests over a connection until it ends.
func (c *crowd) requests(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		_ = conn.SetDeadline(time.Now().Add(holdTime + claimBudget))
		id := fmt.Sprintf("9c41d07b%s%06x", strings.ReplaceAll(c.node.ip, ".", "x"), c.sent.Add(1))
		start := head(http.MethodPost, crowdPath+"2f", crowdHost, id, claimBudget, fmt.Sprintf("Content-Length: %d", c.body)) +
			"\r\n" + strings.Repeat("b", c.body-1)
		if _, err := io.WriteString(conn, start); err != nil {
			c.count("closed")
			return
		}
		_ = pause(ctx, holdTime)
		if _, err := io.WriteString(conn, "b"); err != nil {
			c.count("closed")
			return
		}
		response, err := http.ReadResponse(reader, &http.Request{
			Method: http.MethodPost,
		})
		if err != nil {
			c.count("closed")
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		c.count(fmt.Sprint(response.StatusCode))
		if response.Close {
			return
		}
		_ = pause(ctx, crowdPause)
	}
}

func (c *crowd) count(answer string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.answers[answer]++
}

// summary returns how many requests were sent, and how many ended in which way.
func (c *crowd) summary() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return fmt.Sprintf("%d requests sent, ended: %v", c.sent.Load(), c.answers)
}

// watchMemory kills the node of a crowd when it needs more than the memory of its machine,
// and starts it again. It returns how often that was, or how often the process ended by
// itself, once that is maxEnds or the context ends.
func (s *system) watchMemory(ctx context.Context, c *crowd) int {
	process := c.node.process
	ends, peak := 0, int64(0)
	defer func() {
		s.record.note("%s: peak of the memory %d MiB of %d MiB; %s", process.Name, peak>>20, int64(nodeMemory)>>20, c.summary())
	}()
	for ends < maxEnds && pause(ctx, memoryInterval) == nil {
		memory, err := process.Memory()
		peak = max(peak, memory.Resident)
		if err == nil && memory.Resident <= nodeMemory {
			continue
		}
		select {
		case <-process.Ended():
			s.record.note("%s has ended by itself, with status %d", process.Name, process.ExitCode())
		default:
			s.record.note("%s uses %d MiB of %d MiB and is killed; %s", process.Name, memory.Resident>>20, int64(nodeMemory)>>20, c.summary())
			process.Kill()
			<-process.Ended()
		}
		ends++
		if err := pause(ctx, restartDelay); err != nil {
			return ends
		}
		if err := s.cluster.Restart(process); err != nil {
			s.record.note("%v", err)
		}
	}
	return ends
}

// countCalm returns how many nodes serve an ordinary request once the crowd is gone.
func (s *system) countCalm(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, calmTime)
	defer cancel()
	served := 0
	for i, m := range s.sidecars {
		c := &caller{
			sidecar: m,
			record:  s.record,
		}
		for n := 0; ctx.Err() == nil; n++ {
			id := fmt.Sprintf("5e0fa2%d%06x", i, n)
			if c.send(id, http.MethodPost, claimBudget, 0, head(http.MethodPost, crowdPath+"2f", crowdHost, id, claimBudget,
				"Content-Length: 4")+"\r\nbody").status == http.StatusOK {
				served++
				break
			}
			_ = pause(ctx, restartDelay)
		}
	}
	return served
}
