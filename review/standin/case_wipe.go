package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

const (
	// changeGap is the time from one change to the next: the shortest gap_s of a
	// config_storm of the small site.
	changeGap = 60 * time.Millisecond
	// catchUpTime is catch_up_s of the small site.
	catchUpTime = 4 * time.Second
	// catchUpMargin is added to it, as the second disk must not be lost earlier.
	catchUpMargin = 500 * time.Millisecond
	// awayTime is how long a machine is away that lost its disk.
	awayTime = 500 * time.Millisecond
	// stormLead is how long changes come before the first disk is lost. stormTime is
	// less than five storms of the small site of for_s = 1.5 one after the other.
	stormLead = 500 * time.Millisecond
	stormTime = 7 * time.Second
	// readBackTime is how long the configuration is read back at the end, more than
	// recover_s of the small site.
	readBackTime = 20 * time.Second
)

// maxOrders is the number of orders that may be in progress at a time.
const maxOrders = 8

// A storm sends changes in quick succession.
type storm struct {
	lock  sync.Mutex
	base  int
	acked time.Time
	done  chan struct{}
	group sync.WaitGroup
}

// change returns the configuration with a number, which differs from the one before
// by a time-out.
func change(number int) configuration {
	r := newRoute("r-first", "/lepu270/", "safe", firstName)
	r.TimeoutMS += number % 100
	return newConfiguration(fmt.Sprintf("r%d", number), r)
}

// startStorm sends a change every changeGap until the storm is stopped or stormTime
// has passed. Each is built on the newest acknowledged one at that time.
func (d *deployment) startStorm(base int) *storm {
	s := &storm{
		base: base,
		done: make(chan struct{}),
	}
	s.group.Go(func() {
		orders := make(chan struct{}, maxOrders)
		ticker := time.NewTicker(changeGap)
		defer ticker.Stop()
		end := time.After(stormTime)
		for number := base + 1; ; number++ {
			select {
			case <-s.done:
				return
			case <-end:
				return
			case <-ticker.C:
			}
			orders <- struct{}{}
			s.group.Go(func() {
				s.send(d, d.cores[number%len(d.cores)].IP, number)
				<-orders
			})
		}
	})
	return s
}

// send sends the change with a number on top of the newest one.
func (s *storm) send(d *deployment, ip string, number int) {
	base, _ := s.newest()
	if number <= base {
		return
	}
	status := d.put(ip, fmt.Sprintf("r%d", base), change(number))
	d.write("operator: r%d on top of r%d at %s is answered %d", number, base, ip, status)
	if status != http.StatusOK {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.base = max(s.base, number)
	s.acked = time.Now()
}

// newest returns the number of the newest acknowledged change and the time of its
// ack.
func (s *storm) newest() (int, time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.base, s.acked
}

func (s *storm) stop() {
	close(s.done)
	s.group.Wait()
}

// loseDisk kills a core machine and starts it again with an empty disk, as the
// platform does it: at its old address and with bootstrap set to false.
func (d *deployment) loseDisk(p *launcher.Process) error {
	d.kill(p)
	folder := d.cluster.DataFolder(p.Name)
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	settings := filepath.Join(filepath.Dir(folder), p.Name+".ini")
	text, err := os.ReadFile(settings)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), "founding = yes", "founding = no", 1)
	if err := os.WriteFile(settings, []byte(changed), 0o600); err != nil {
		return err
	}
	d.write("%s lost its disk", p.Name)
	time.Sleep(awayTime)
	return d.restart(p)
}

// playWipe has a core machine lose its disk and return while changes come in quick
// succession, and a second one when the first has had its time to catch up. Without
// trouble no disk is lost.
func playWipe(d *deployment) (bool, error) {
	if _, err := d.accept("0", change(1), d.coreIPs()...); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	s := d.startStorm(1)
	began := time.Now()
	time.Sleep(stormLead)
	for _, p := range d.cores[:2] {
		if !d.trouble {
			break
		}
		number, at := s.newest()
		d.write("newest acknowledged change r%d, %.3f s ago", number, time.Since(at).Seconds())
		if err := d.loseDisk(p); err != nil {
			return false, err
		}
		time.Sleep(catchUpTime + catchUpMargin)
	}
	time.Sleep(time.Until(began.Add(stormTime)))
	s.stop()
	number, at := s.newest()
	d.write("the changes ended; the newest acknowledged one is r%d, %.3f s ago", number, time.Since(at).Seconds())
	return d.readBack(number), nil
}

// readBack reads the configuration at all core machines until one answers, and
// reports whether the answer does not come or is older than a change.
func (d *deployment) readBack(number int) bool {
	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range d.cores {
			version, ok := d.get(p.IP)
			if !ok {
				continue
			}
			found := 0
			_, _ = fmt.Sscanf(version, "r%d", &found)
			d.write("operator: %s gives %s", p.Name, version)
			return found < number
		}
	}
	d.write("no core machine gave the configuration in %v; all three run", readBackTime)
	return true
}
