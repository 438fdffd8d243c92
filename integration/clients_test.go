package integration

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// The memory of the machines, in bytes. A process that needs more is terminated.
const (
	nodeMemory    = 184 << 20
	controlMemory = 280 << 20
)

const (
	// attackClients is the number of clients of each attack over HTTP.
	attackClients = 150
	// overlayClients is the number of clients of each attack on an overlay port.
	// Each sends overlayBytes.
	overlayClients = 120
	// streamConnections is the number of connections of the attack over HTTP/2.
	streamConnections = 6
	// maxConnections bounds how often a client connects again.
	maxConnections = 200
	attackTime     = 5 * time.Second
	sampleInterval = 20 * time.Millisecond
	// ownDescriptors is the number of file descriptors that a process may hold
	// beside the connections of the clients. Of the 4,100 descriptors of a node,
	// 200 are reserved for this.
	ownDescriptors = 200
	// calmTimeout bounds the time until an ordinary request is answered after an
	// attack. It is generous, because the time is not what is tested.
	calmTimeout = 20 * time.Second
	// raceFactor is the factor by which the race detector multiplies the memory of
	// a process.
	raceFactor = 10
)

// attacked has one control replica and two nodes. Each node has a target of its
// own service, so that a call through the other node arrives at its calls port.
// The processes run on one thread, as in deploy/system.toml.
var attacked = topology{
	zones:       []string{"lima-norte"},
	replicas:    1,
	services:    []string{"reservas", "cobros"},
	environment: []string{"GOMAXPROCS=1"},
}

// bounds are the limits that a process must observe under attack.
type bounds struct {
	memory      int64
	descriptors int
}

// nodeBounds returns the bounds of a node that a number of clients attack. A node
// opens up to one connection to a target or another node for each client.
func nodeBounds(clients int) bounds {
	return bounds{
		memory:      nodeMemory,
		descriptors: 2*clients + ownDescriptors,
	}
}

// controlBounds returns the bounds of a control replica that a number of clients
// attack.
func controlBounds(clients int) bounds {
	return bounds{
		memory:      controlMemory,
		descriptors: clients + ownDescriptors,
	}
}

// attack runs an attack on a process. The process must live on and observe the
// bounds, and all ports of the cluster must then serve ordinary requests.
func (m *mesh) attack(p *launcher.Process, b bounds, run func()) {
	m.t.Helper()
	if os.Getenv("FIREFLYMOOR_RACE") != "" {
		b.memory *= raceFactor
	}
	pid := p.PID()
	before, err := p.Memory()
	m.is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	memory, descriptors := before, 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(sampleInterval):
		}
		if sample, err := p.Memory(); err == nil {
			memory = sample
		}
		if count, err := p.Descriptors(); err == nil {
			descriptors = max(descriptors, count)
		}
	}
	m.t.Logf("%s: memory %d MiB before, %d MiB peak of %d MiB; descriptors %d peak of %d",
		p.Name, before.Peak>>20, memory.Peak>>20, b.memory>>20, descriptors, b.descriptors)
	select {
	case <-p.Ended():
		m.t.Fatalf("%s ended with status %d", p.Name, p.ExitCode())
	default:
	}
	m.checkOrdinary()
	m.is.Equal(p.PID(), pid)
	if memory.Peak > b.memory {
		m.t.Errorf("%s: the peak of the memory is above the bound", p.Name)
	}
	if descriptors > b.descriptors {
		m.t.Errorf("%s: the peak of the open descriptors is above the bound", p.Name)
	}
}

// checkOrdinary waits until an ordinary request is answered at each port of each
// process: calls over all nodes, which cover the ports for callers and for calls;
// readiness; a member that asks the overlay for others; and a change, which covers
// the operators' port.
func (m *mesh) checkOrdinary() {
	m.t.Helper()
	for _, node := range m.nodes {
		for _, path := range []string{"/reservas/after", "/cobros/after"} {
			m.waitUntil(node.Name+" answers a call of "+path, calmTimeout, func() bool {
				return auditor.Call(node, http.MethodGet, path, "after", "").Outcome == "answered"
			})
		}
	}
	for _, p := range append(append([]*launcher.Process{}, m.controls...), m.nodes...) {
		m.waitUntil(p.Name+" answers at its platform port", calmTimeout, func() bool { return launcher.Ready(p.IP) })
		m.waitUntil(p.Name+" answers at its overlay port", calmTimeout, func() bool { return m.overlayAnswers(p) })
	}
	m.change()
	m.waitInForce(calmTimeout)
}

// overlayAnswers reports whether a process answers at its overlay port to a member
// that joins. The member is an earlier run of another process, so that no process
// takes it for a new one.
func (m *mesh) overlayAnswers(p *launcher.Process) bool {
	joining := m.nodes[0]
	if joining == p {
		joining = m.nodes[1]
	}
	ctx, cancel := context.WithTimeout(m.t.Context(), time.Second)
	defer cancel()
	conn, err := linker.Dial(ctx, launcher.OverlayAddress(p.IP), dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())))
	if err != nil {
		return false
	}
	defer conn.Close()
	link, err := messenger.NewDRPCOverlayClient(conn).Link(ctx)
	if err != nil {
		return false
	}
	err = link.Send(&messenger.Frame{
		Body: &messenger.Frame_Hello{
			Hello: &messenger.Hello{
				Self: &messenger.Fact{
					Name: joining.Name,
					Zone: joining.Zone,
					Boot: 1,
				},
				Joining: true,
			},
		},
	})
	if err != nil {
		return false
	}
	frame, err := link.Recv()
	return err == nil && frame.GetHello().GetSelf().GetName() == p.Name
}

var httpCrowd = crowd{
	clients:     attackClients,
	connections: maxConnections,
	duration:    attackTime,
}

var overlayCrowd = crowd{
	clients:     overlayClients,
	connections: maxConnections,
	duration:    attackTime,
}

const (
	callPath     = "/reservas/attack"
	platformPath = "/healthz"
	statusPath   = "/v1/status"
)

// attackNode starts a cluster and attacks a port of its first node, in phases.
func attackNode(t *testing.T, c crowd, address func(ip string) string, phases ...[]attack) {
	t.Helper()
	m := start(t, attacked)
	node := m.nodes[0]
	m.attack(node, nodeBounds(c.clients), func() {
		for _, attacks := range phases {
			c.attack(t.Context(), site{
				address: address(node.IP),
				attacks: attacks,
			})
		}
	})
}

// attackControl starts a cluster and attacks a port of its control replica, in
// phases.
func attackControl(t *testing.T, c crowd, address func(ip string) string, phases ...[]attack) {
	t.Helper()
	m := start(t, attacked)
	control := m.controls[0]
	m.attack(control, controlBounds(c.clients), func() {
		for _, attacks := range phases {
			c.attack(t.Context(), site{
				address: address(control.IP),
				attacks: attacks,
			})
		}
	})
}

// TestManyShortLines guards against a node that needs far more memory for header
// lines than they have bytes.
func TestManyShortLines(t *testing.T) {
	attackNode(t, httpCrowd, launcher.CallersAddress, shortLines(callPath))
}

// TestMalformedLines guards against a node that keeps many header lines before it
// refuses a malformed one.
func TestMalformedLines(t *testing.T) {
	attackNode(t, httpCrowd, launcher.CallersAddress, malformedLines(callPath))
}

// TestOversizedHeads guards against a node that keeps much of a header section
// before it refuses it for its size.
func TestOversizedHeads(t *testing.T) {
	attackNode(t, httpCrowd, launcher.CallersAddress, oversizedHeads(callPath))
}

// TestEndlessHeads guards against a node that reads a header section without a
// bound.
func TestEndlessHeads(t *testing.T) {
	attackNode(t, httpCrowd, launcher.CallersAddress, endlessHeads(callPath))
}

// TestEmptyLines guards against a node that reads empty lines before a request
// without a bound.
func TestEmptyLines(t *testing.T) {
	attackNode(t, httpCrowd, launcher.CallersAddress, emptyLines(callPath))
}

// TestSlowHeads guards against a node that keeps the header sections of many slow
// clients in memory at the same time. The second phase begins while the memory of
// the first is not yet collected.
func TestSlowHeads(t *testing.T) {
	attackNode(t, httpCrowd, launcher.CallersAddress, slowHeads(callPath), slowHeads(callPath))
}

// TestManyStreams guards against limits on header lines that do not hold for
// HTTP/2.
func TestManyStreams(t *testing.T) {
	m := start(t, attacked)
	node := m.nodes[0]
	m.attack(node, nodeBounds(streamConnections*streamsPerConnection), func() {
		attackStreams(t.Context(), streamConnections, "http://"+launcher.CallersAddress(node.IP)+callPath)
	})
}

// TestAttackOnCalls guards against limits that do not hold at the port for calls
// from other nodes.
func TestAttackOnCalls(t *testing.T) {
	attackNode(t, httpCrowd, launcher.CallsAddress, slowHeads(callPath), allAttacks(callPath))
}

// TestAttackOnNodePlatform guards against limits that do not hold at the platform
// port of a node.
func TestAttackOnNodePlatform(t *testing.T) {
	attackNode(t, httpCrowd, launcher.PlatformAddress, slowHeads(platformPath), allAttacks(platformPath))
}

// TestAttackOnOperators guards against limits that do not hold at the operators'
// port.
func TestAttackOnOperators(t *testing.T) {
	attackControl(t, httpCrowd, launcher.OperatorsAddress, slowHeads(statusPath), allAttacks(statusPath))
}

// TestAttackOnControlPlatform guards against limits that do not hold at the
// platform port of a control replica.
func TestAttackOnControlPlatform(t *testing.T) {
	attackControl(t, httpCrowd, launcher.PlatformAddress, slowHeads(platformPath), allAttacks(platformPath))
}

// TestUnfinishedMessagesAtNode guards against a node that keeps the bytes of
// incomplete overlay messages without a bound over all connections.
func TestUnfinishedMessagesAtNode(t *testing.T) {
	attackNode(t, overlayCrowd, launcher.OverlayAddress, unfinishedMessages())
}

// TestUnfinishedMessagesAtControl is TestUnfinishedMessagesAtNode for a control
// replica.
func TestUnfinishedMessagesAtControl(t *testing.T) {
	attackControl(t, overlayCrowd, launcher.OverlayAddress, unfinishedMessages())
}

// TestRandomBytesAtNodeOverlay guards against a node that keeps bytes at its
// overlay port that are no overlay message.
func TestRandomBytesAtNodeOverlay(t *testing.T) {
	attackNode(t, overlayCrowd, launcher.OverlayAddress, []attack{randomBytes(nil)})
}

// TestRandomBytesAtControlOverlay is TestRandomBytesAtNodeOverlay for a control
// replica.
func TestRandomBytesAtControlOverlay(t *testing.T) {
	attackControl(t, overlayCrowd, launcher.OverlayAddress, []attack{randomBytes(nil)})
}

// TestHTTPAtNodeOverlay guards against a node that keeps HTTP requests which
// clients send to its overlay port.
func TestHTTPAtNodeOverlay(t *testing.T) {
	attackNode(t, httpCrowd, launcher.OverlayAddress, allAttacks(platformPath))
}

// TestHTTPAtControlOverlay is TestHTTPAtNodeOverlay for a control replica.
func TestHTTPAtControlOverlay(t *testing.T) {
	attackControl(t, httpCrowd, launcher.OverlayAddress, allAttacks(platformPath))
}

// TestMixedAttacksOnNode guards against a node whose limits hold at each port, but
// not at all of them together.
func TestMixedAttacksOnNode(t *testing.T) {
	m := start(t, attacked)
	node := m.nodes[0]
	m.attack(node, nodeBounds(attackClients), func() {
		httpCrowd.attack(t.Context(), site{
			address: launcher.CallersAddress(node.IP),
			attacks: allAttacks(callPath),
		}, site{
			address: launcher.CallsAddress(node.IP),
			attacks: allAttacks(callPath),
		}, site{
			address: launcher.PlatformAddress(node.IP),
			attacks: allAttacks(platformPath),
		}, site{
			address: launcher.OverlayAddress(node.IP),
			attacks: append(unfinishedMessages(), randomBytes(nil)),
		})
	})
}

// TestMixedAttacksOnControl is TestMixedAttacksOnNode for a control replica.
func TestMixedAttacksOnControl(t *testing.T) {
	m := start(t, attacked)
	control := m.controls[0]
	m.attack(control, controlBounds(attackClients), func() {
		httpCrowd.attack(t.Context(), site{
			address: launcher.OperatorsAddress(control.IP),
			attacks: allAttacks(statusPath),
		}, site{
			address: launcher.PlatformAddress(control.IP),
			attacks: allAttacks(platformPath),
		}, site{
			address: launcher.OverlayAddress(control.IP),
			attacks: append(unfinishedMessages(), randomBytes(nil)),
		})
	})
}

const (
	// fewDescriptors is a limit of open descriptors that fewer idle clients than
	// those of a node can reach.
	fewDescriptors = 400
	// usableDescriptors is the part of fewDescriptors that may be in use. As at a
	// node, where 200 of 4,100 are reserved, a 20th is left for the process's own
	// files and connections.
	usableDescriptors = fewDescriptors - fewDescriptors/20
)

// TestIdleConnectionsAtNode guards against a node whose clients use up its
// descriptors, and whose overlay listener ends when it cannot accept.
func TestIdleConnectionsAtNode(t *testing.T) {
	s := attacked
	s.maxDescriptors = fewDescriptors
	m := start(t, s)
	node := m.nodes[0]
	m.attack(node, idleBounds(nodeMemory), func() {
		connectIdle(t.Context(), launcher.CallersAddress(node.IP), launcher.CallsAddress(node.IP),
			launcher.PlatformAddress(node.IP), launcher.OverlayAddress(node.IP))
	})
}

// TestIdleConnectionsAtControl is TestIdleConnectionsAtNode for a control replica.
func TestIdleConnectionsAtControl(t *testing.T) {
	s := attacked
	s.maxDescriptors = fewDescriptors
	m := start(t, s)
	control := m.controls[0]
	m.attack(control, idleBounds(controlMemory), func() {
		connectIdle(t.Context(), launcher.OperatorsAddress(control.IP), launcher.PlatformAddress(control.IP),
			launcher.OverlayAddress(control.IP))
	})
}

func idleBounds(memory int64) bounds {
	return bounds{
		memory:      memory,
		descriptors: usableDescriptors,
	}
}

// connectIdle opens idle connections, attackClients to each address.
func connectIdle(ctx context.Context, addresses ...string) {
	c := httpCrowd
	c.clients *= len(addresses)
	sites := make([]site, 0, len(addresses))
	for _, address := range addresses {
		sites = append(sites, site{
			address: address,
			attacks: []attack{idle},
		})
	}
	c.attack(ctx, sites...)
}

// TestLargestLegalHead guards against limits that refuse a single request within
// the configured limits while the processes are calm. Each node must know the
// targets before that, which checkOrdinary waits for.
func TestLargestLegalHead(t *testing.T) {
	m := start(t, attacked)
	m.checkOrdinary()
	authorized := requestLine(statusPath) + "Authorization: Bearer " + launcher.Token + "\r\n"
	for address, start := range map[string]string{
		launcher.CallersAddress(m.nodes[0].IP):      requestLine(callPath),
		launcher.CallersAddress(m.nodes[1].IP):      requestLine(callPath),
		launcher.PlatformAddress(m.nodes[0].IP):     requestLine(platformPath),
		launcher.PlatformAddress(m.controls[0].IP):  requestLine(platformPath),
		launcher.OperatorsAddress(m.controls[0].IP): authorized,
	} {
		for _, lines := range []int{legalLines, 4000} {
			t.Log(address, lines)
			m.is.Equal(requestStatus(t, address, legalHead(start, lines)), http.StatusOK)
		}
	}
}

// requestStatus sends a request over a new connection and returns the status of
// the response.
func requestStatus(t *testing.T, address, head string) int {
	t.Helper()
	if len(head) != legalHeadBytes {
		t.Fatalf("the header section has %d bytes", len(head))
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(calmTimeout))
	if _, err := conn.Write([]byte(head)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}
