package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drainTime is drain_ms of the small site, and contactTime is contact_ms.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// lateBy is how long the worker's last check-in is on its way.
	lateBy = 2500 * time.Millisecond
	// downTime is how long the killed node is down.
	downTime = 500 * time.Millisecond
	// stayTime is how long the worker serves after its leave is acknowledged.
	stayTime = 12 * time.Second
	// workTime is how long a worker runs a request.
	workTime     = 300 * time.Millisecond
	callInterval = 25 * time.Millisecond
)

// playLeave has a worker leave while a check-in that it sent before is still on its
// way, and kills the node beside it once the leave is acknowledged. Without trouble
// the node is not killed.
func playLeave(d *deployment) (bool, error) {
	serve := func(out http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		select {
		case <-time.After(workTime):
		case <-request.Context().Done():
		}
		_, _ = io.WriteString(out, "done")
	}
	caller, err := d.startLeaver(serve)
	if err != nil {
		return false, err
	}
	leaver := d.workers[0]
	node := d.nodes[1]
	time.Sleep(2 * contactTime)
	stopCalls := d.callSteadily(caller, "/lepu270/2f")
	time.Sleep(time.Second)

	late := leaver.nextSequence()
	sentAt := time.Now()
	acked, err := leaver.leave()
	if err != nil {
		return false, err
	}
	d.write("worker %s: its leave is acknowledged; its check-in %d, sent before, is on its way", leaver.id, late)
	var restarted time.Time
	if d.trouble {
		d.kill(node)
		time.Sleep(downTime)
		if err := d.restart(node); err != nil {
			return false, err
		}
		restarted = time.Now()
		if err := waitUntil("the node is ready again", func() bool { return ready(node.IP) }); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(sentAt.Add(lateBy)))
	status, err := leaver.checkIn(late)
	d.write("worker %s: its check-in %d arrives and is answered %d, error %v", leaver.id, late, status, err)
	time.Sleep(time.Until(acked.Add(stayTime)))
	d.write("worker %s ends", leaver.id)
	leaver.end()
	time.Sleep(time.Second)
	lost := stopCalls()
	return d.judgeLeave(leaver, acked, restarted, lost), nil
}

// startLeaver starts two workers of one service, of which the first is to leave. It
// returns the address of a third machine.
func (d *deployment) startLeaver(serve http.HandlerFunc) (string, error) {
	caller, err := d.startPair(serve, newRoute("r-unsafe", "/lepu270/", "unsafe", firstName))
	if err != nil {
		return "", err
	}
	other, err := d.startNode(2, 3, firstName)
	if err != nil {
		return "", err
	}
	if err := waitUntil("the third node is ready", func() bool { return ready(other.IP) }); err != nil {
		return "", err
	}
	if _, err := d.startWorker("i-33cc44dd", other.IP, firstName, serve); err != nil {
		return "", err
	}
	return caller, d.waitForService(caller, "/lepu270/ready")
}

// callSteadily sends requests that must not be repeated, until the returned function
// is called. That function returns the ids of those that got no answer of a worker
// and no promise that they have not run.
func (d *deployment) callSteadily(ip, target string) func() []string {
	var group sync.WaitGroup
	var lock sync.Mutex
	var lost []string
	done := make(chan struct{})
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(callInterval):
			}
			group.Go(func() {
				a := d.call(ip, http.MethodPost, target, strings.NewReader("{}"))
				d.write("consumer got for %s: %d %q, error %v", a.id, a.status, strings.TrimSpace(a.body), a.err)
				if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
					lock.Lock()
					defer lock.Unlock()
					lost = append(lost, a.id)
				}
			})
		}
	})
	return func() []string {
		close(done)
		group.Wait()
		return lost
	}
}

// judgeLeave counts the requests that reached the worker too late. Requests count
// only from the time at which the node that was started again is in touch.
func (d *deployment) judgeLeave(leaver *worker, acked, restarted time.Time, lost []string) bool {
	from := acked.Add(drainTime)
	if inTouch := restarted.Add(contactTime); inTouch.After(from) {
		from = inTouch
	}
	late, lostLate := 0, 0
	for _, r := range leaver.allRuns() {
		if !r.at.After(from) {
			continue
		}
		late++
		for _, id := range lost {
			if id == r.id {
				lostLate++
			}
		}
	}
	d.write("%d requests reached worker %s over %v after the ack of its leave, through nodes in touch; %d of them were lost when it ended", late, leaver.id, drainTime, lostLate)
	return late > 0
}
