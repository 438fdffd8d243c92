package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/relayer"
)

// convergeCommand measures one of the users' meshes with its size and delays: the
// time until a change is in force on all nodes, and the bytes of control
// traffic. It compares them with a direct feed of the rendered form from a
// single source to every node.
type convergeCommand struct {
	fleetOptions
	Mesh    string        `enum:"lima,varna" default:"lima" help:"Mesh to measure: lima or varna."`
	Changes int           `default:"30" help:"Changes to measure."`
	Idle    time.Duration `default:"10s" help:"Duration of the measurement without changes."`
}

// meshShape is the composition of a users' mesh. The delay is added to traffic
// between zones.
type meshShape struct {
	zones    []string
	nodes    int
	services int
	delay    time.Duration
}

var meshes = map[string]meshShape{
	"lima": {
		zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
		nodes:    10,
		services: 3,
		delay:    1500 * time.Microsecond,
	},
	"varna": {
		zones:    []string{"varna-a", "varna-b", "varna-c", "varna-d"},
		nodes:    12,
		services: 3,
		delay:    time.Millisecond,
	},
}

// meshResult is the result of measuring a mesh.
type meshResult struct {
	Mesh string `json:"mesh"`
	// Overlay and Direct are the times until a change was on all nodes, in
	// milliseconds: median, 99th percentile and maximum.
	Overlay [3]int64 `json:"overlay-ms"`
	Direct  [3]int64 `json:"direct-ms"`
	// NodeChange is the mean number of bytes that a node receives for a
	// change, and SourceChange the mean number that a control replica sends.
	// DirectChange is the bytes that a direct feed sends to one node for a
	// change, and DirectSource those that it sends to all nodes together.
	NodeChange   float64 `json:"node-change-in-bytes"`
	SourceChange float64 `json:"source-change-out-bytes"`
	DirectChange float64 `json:"direct-change-bytes-per-node"`
	DirectSource float64 `json:"direct-change-out-bytes-of-source"`
	// NodeIdle is the bytes per second that a node receives without changes.
	NodeIdle float64 `json:"node-idle-in-bytes-per-second"`
}

// Run runs the command.
func (c *convergeCommand) Run(ctx context.Context) error {
	shape := meshes[c.Mesh]
	relay := relayer.New()
	relay.SetRules(func(from, to string) relayer.Rule {
		if launcher.ZoneOf(from) == launcher.ZoneOf(to) {
			return relayer.Rule{}
		}
		return relayer.Rule{
			Delay: shape.delay,
		}
	})
	serving, stop := context.WithCancel(ctx)
	defer stop()
	f, err := startFleet(ctx, c.fleetOptions, fleetShape{
		zones:    shape.zones,
		replicas: replicas,
		nodes:    shape.nodes,
		services: shape.services,
		level:    "info",
		relay: func(listen, to string) error {
			return relay.Relay(serving, listen, to)
		},
		keyWindow: shortKeyWindow,
	})
	if err != nil {
		return err
	}
	defer f.shutdown(c.Keep)
	time.Sleep(2 * settleTime)
	return c.measure(ctx, f, relay)
}

// measure measures the overlay, then the direct feed, and prints both.
func (c *convergeCommand) measure(ctx context.Context, f *fleet, relay *relayer.Relayer) error {
	shape := meshes[c.Mesh]
	size := sizeResult{}
	m := &measurement{
		fleet:  f,
		result: &size,
	}
	slopes := &slopesCommand{
		Services: shape.services,
		Idle:     c.Idle,
		Changes:  c.Changes,
	}
	if err := m.measureIdle(ctx, slopes); err != nil {
		return err
	}
	if err := m.measureChanges(ctx, slopes); err != nil {
		return err
	}
	team, err := f.client.Team(ctx, launcher.Team)
	if err != nil {
		return err
	}
	direct, err := directFeed(ctx, f, relay, team.Rendered, c.Changes)
	if err != nil {
		return err
	}
	result := meshResult{
		Mesh:         c.Mesh,
		Overlay:      size.Convergence,
		Direct:       direct,
		NodeChange:   size.Node.ChangeIn,
		SourceChange: size.Control.ChangeOut,
		DirectChange: float64(len(team.Rendered) + lengthPrefixBytes),
		DirectSource: float64((len(team.Rendered) + lengthPrefixBytes) * shape.nodes),
		NodeIdle:     size.Node.IdleIn,
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MESH\tOVERLAY ms (p50 p99 max)\tDIRECT ms\tCHANGE IN B A NODE\tDIRECT\tCHANGE OUT B OF SOURCE\tDIRECT\tIDLE IN B/s A NODE")
	fmt.Fprintf(w, "%s\t%v\t%v\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", c.Mesh, result.Overlay, result.Direct,
		result.NodeChange, result.DirectChange, result.SourceChange, result.DirectSource, result.NodeIdle)
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "converge: print")
	}
	return writeJSON(c.Output, result)
}

const (
	feedPort          = 9100
	lengthPrefixBytes = 4
	feedPause         = 100 * time.Millisecond
)

// directFeed sends the rendered form from the address of the first control
// replica to the address of every node, over persistent connections. It returns
// the median, 99th percentile and maximum of the time until all nodes have
// received it, in milliseconds. The receivers don't parse it.
func directFeed(ctx context.Context, f *fleet, relay *relayer.Relayer, rendered string, changes int) ([3]int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arrived := make(chan time.Time, len(f.nodes))
	var conns []net.Conn
	for _, node := range f.nodes {
		conn, err := feedNode(ctx, f, relay, node, arrived)
		if err != nil {
			return [3]int64{}, err
		}
		conns = append(conns, conn)
	}
	var durations []int64
	for range changes {
		time.Sleep(feedPause)
		began := time.Now()
		if err := feedAll(conns, rendered); err != nil {
			return [3]int64{}, err
		}
		last := began
		for range conns {
			if at := <-arrived; at.After(last) {
				last = at
			}
		}
		durations = append(durations, last.Sub(began).Milliseconds())
	}
	slices.Sort(durations)
	return [3]int64{durations[len(durations)/2], durations[len(durations)*p99/percent], durations[len(durations)-1]}, nil
}

// feedAll sends the rendered form with a length prefix to all connections
// concurrently.
func feedAll(conns []net.Conn, rendered string) error {
	message := binary.BigEndian.AppendUint32(nil, uint32(len(rendered)))
	message = append(message, rendered...)
	var group sync.WaitGroup
	var lock sync.Mutex
	var combined error
	for _, conn := range conns {
		group.Go(func() {
			_, err := conn.Write(message)
			lock.Lock()
			defer lock.Unlock()
			combined = errors.CombineErrors(combined, err)
		})
	}
	group.Wait()
	return errors.Wrap(combined, "converge: feed")
}

// feedNode listens at one node's address and connects to it through the relay,
// which adds the delay between zones.
func feedNode(ctx context.Context, f *fleet, relay *relayer.Relayer, node *launcher.Process, arrived chan<- time.Time) (net.Conn, error) {
	sink := fmt.Sprintf("%s:%d", node.IP, feedPort)
	listener, err := net.Listen("tcp", sink)
	if err != nil {
		return nil, errors.Wrap(err, "converge: listen")
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go receiveFeed(listener, arrived)
	relayed := f.RelayedAddress(sink)
	if err := relay.Relay(ctx, relayed, sink); err != nil {
		return nil, err
	}
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: net.ParseIP(f.controls[0].IP),
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", relayed)
	if err != nil {
		return nil, errors.Wrap(err, "converge: dial")
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}

// receiveFeed accepts one connection and sends the time at which each message has
// been received in full.
func receiveFeed(listener net.Listener, arrived chan<- time.Time) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	header := make([]byte, lengthPrefixBytes)
	for {
		if _, err := io.ReadFull(reader, header); err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, reader, int64(binary.BigEndian.Uint32(header))); err != nil {
			return
		}
		arrived <- time.Now()
	}
}
