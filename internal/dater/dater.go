// Package dater estimates how long ago another process sent a call, without relying on
// the difference of two machines' clocks.
//
// The sender stamps each call with its own clock. The difference between the receiver's
// clock and the stamp is the unknown difference of the clocks plus the time that the call
// took. Against the smallest difference seen from the same process, what a call's
// difference has in excess is a lower bound of that time, as for one-way delays in
// LEDBAT (RFC 6817). It never makes a call older than it is.
package dater

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// window is how long smallest differences are collected. They are used for at most
	// twice as long, so that a clock that is adjusted or a path that becomes longer
	// does not make calls look old for good.
	window = 30 * time.Second
	// tolerance is subtracted from each age. It covers the resolution of the stamps,
	// and two clocks that run apart by 500 ppm, the most that NTP adjusts, for
	// two windows.
	tolerance = 35 * time.Millisecond
	// maxPeers bounds the number of processes whose differences are kept.
	maxPeers = 4096
	// stampBase is the base of the numbers in stamps, and maxEpoch bounds the first.
	stampBase = 36
	maxEpoch  = stampBase * stampBase * stampBase * stampBase
	// stampSeparator separates the two numbers of a stamp.
	stampSeparator = "."
)

// A Clock stamps the calls of this process.
type Clock struct {
	// epoch tells the processes apart that one machine runs after each other.
	epoch string
	now   func() time.Duration
}

// NewClock returns a Clock that reads the time since the start of the machine.
func NewClock() *Clock {
	return &Clock{
		epoch: strconv.FormatUint(rand.Uint64N(maxEpoch), stampBase),
		now:   sinceBoot,
	}
}

// sinceBoot returns the time since the start of the machine. Unlike the monotonic clock
// it goes on while the machine is suspended. A sender's clock that stands still
// would make its later calls look old.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Stamp returns the stamp of a call that is sent now.
func (c *Clock) Stamp() string {
	return c.epoch + stampSeparator + strconv.FormatInt(c.now().Milliseconds(), stampBase)
}

// peer holds the smallest differences seen from one process.
type peer struct {
	epoch string
	// smallest is that of the current window, which began at began.
	smallest, began time.Duration
	// earlierSmallest and earlierBegan are those of the window before it.
	earlierSmallest, earlierBegan time.Duration
}

// A Dater estimates the ages of calls from other processes. It is safe for concurrent
// use.
type Dater struct {
	now   func() time.Duration
	lock  sync.Mutex
	peers map[string]*peer
}

// New returns a new Dater.
func New() *Dater {
	return &Dater{
		now:   sinceBoot,
		peers: map[string]*peer{},
	}
}

// Age returns a lower bound of the time since a call from the machine with an address
// was sent. It is 0 for a malformed stamp, and for the first call of a process.
func (d *Dater) Age(address, stamp string) time.Duration {
	epoch, text, ok := strings.Cut(stamp, stampSeparator)
	milliseconds, err := strconv.ParseInt(text, stampBase, 64)
	if !ok || err != nil || milliseconds < 0 || milliseconds > int64(1<<62/time.Millisecond) {
		return 0
	}
	now := d.now()
	difference := now - time.Duration(milliseconds)*time.Millisecond
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.peers[address]
	if p == nil || p.epoch != epoch || now-p.began > 2*window {
		d.evict(now)
		d.peers[address] = &peer{
			epoch:        epoch,
			smallest:     difference,
			began:        now,
			earlierBegan: now - 2*window,
		}
		return 0
	}
	return max(difference-p.record(difference, now)-tolerance, 0)
}

// record records a difference and returns the smallest one of the two windows.
func (p *peer) record(difference, now time.Duration) time.Duration {
	if now-p.began > window {
		p.earlierSmallest, p.earlierBegan = p.smallest, p.began
		p.smallest, p.began = difference, now
	}
	p.smallest = min(p.smallest, difference)
	if now-p.earlierBegan < 2*window {
		return min(p.smallest, p.earlierSmallest)
	}
	return p.smallest
}

// evict makes room for one more process.
func (d *Dater) evict(now time.Duration) {
	if len(d.peers) < maxPeers {
		return
	}
	for address, p := range d.peers {
		if now-p.began > 2*window {
			delete(d.peers, address)
		}
	}
	if len(d.peers) >= maxPeers {
		clear(d.peers)
	}
}
