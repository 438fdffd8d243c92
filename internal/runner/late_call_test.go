package runner

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/relayer"
)

const (
	// lateCalls is the number of calls that a link holds back, and lateCallTime the time
	// that their callers give them.
	lateCalls    = 15
	lateCallTime = 600 * time.Millisecond
	// endDelay is how long the end of a connection follows behind its last bytes.
	endDelay = 10 * time.Millisecond
)

// heldLink is a link between two nodes that can hold all bytes back.
type heldLink struct {
	held    atomic.Bool
	relayer *relayer.Relayer
}

func newHeldLink() *heldLink {
	l := &heldLink{
		relayer: relayer.New(),
	}
	l.relayer.SetRules(func(string, string) relayer.Rule {
		return relayer.Rule{
			EndDelay: endDelay,
			Cut:      l.held.Load(),
		}
	})
	return l
}

// relay returns an address from which connections are relayed to another.
func (l *heldLink) relay(t *testing.T, to string) string {
	t.Helper()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	_ = reserved.Close()
	if err := l.relayer.Relay(t.Context(), address, to); err != nil {
		t.Fatal(err)
	}
	return address
}

// TestHeldCallsOfDepartedCallers guards against calls that reach their targets long after
// their deadlines, or after their callers left, as a link held them back and the ends of
// their connections follow behind them (GONE).
func TestHeldCallsOfDepartedCallers(t *testing.T) {
	for name, timeLeft := range map[string]time.Duration{"deadline": lateCallTime, "departure": 10 * time.Second} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				t.Parallel()
				link := newHeldLink()
				f := newLinkedFixture(t, 2*lateCalls, func(address string) string { return link.relay(t, address) })
				address := serveHandler(t, f.near)
				for range 2 {
					warm := f.send(address, method, "/warm")
					_, err := http.ReadResponse(bufio.NewReader(warm), nil)
					f.is.NoErr(err)
					f.is.NoErr(warm.Close())
				}
				before := f.arrived[pathProbe].Load()
				link.held.Store(true)
				conns := make([]net.Conn, 0, lateCalls)
				for range lateCalls {
					conns = append(conns, f.send(address, method, "/probe", fmt.Sprintf("Fireflymoor-Deadline: %d", timeLeft.Milliseconds())))
				}
				time.Sleep(lateCallTime)
				for _, conn := range conns {
					f.is.NoErr(conn.Close())
				}
				time.Sleep(2 * departureLimit)
				link.held.Store(false)
				time.Sleep(settleTime)
				f.is.Equal(f.arrived[pathProbe].Load(), before) // no call of a departed caller reaches the target
			})
		}
	}
}

// TestHeldCallIsStillServed checks that a call that a link held back is served if its
// caller still waits for it.
func TestHeldCallIsStillServed(t *testing.T) {
	link := newHeldLink()
	f := newLinkedFixture(t, 1, func(address string) string { return link.relay(t, address) })
	address := serveHandler(t, f.near)
	for range 2 {
		conn := f.send(address, http.MethodGet, "/warm", "Fireflymoor-Deadline: 10000")
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		f.is.NoErr(err)
		f.is.NoErr(conn.Close())
	}
	link.held.Store(true)
	conn := f.send(address, http.MethodGet, "/warm", "Fireflymoor-Deadline: 10000")
	time.Sleep(departureLimit)
	link.held.Store(false)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.is.NoErr(err)
	f.is.Equal(response.StatusCode, http.StatusOK)
	f.is.NoErr(conn.Close())
}
