package main

import (
	"net/http"
	"strings"
	"time"
)

// playSlash sends requests whose path has an encoded slash inside a name. A change of
// the configuration adds a route whose prefix is like that path with a plain slash.
// Without trouble the configuration does not change.
func playSlash(d *deployment) (bool, error) {
	const target = "/lepu270/xapu221%2Fny95"
	short := newRoute("r-short", "/lepu270/", "unsafe", firstName)
	caller, err := d.startPair(nil, short)
	if err != nil {
		return false, err
	}
	if err := d.waitForService(caller, "/lepu270/ready"); err != nil {
		return false, err
	}
	if d.trouble {
		long := newRoute("r-long", "/lepu270/xapu221/", "unsafe", secondName)
		if _, err := d.accept("r7", newConfiguration("r9", short, long), d.coreIPs()...); err != nil {
			return false, err
		}
	}
	time.Sleep(applyTime)
	foreign := 0
	for range 10 {
		a := d.call(caller, http.MethodPost, target, strings.NewReader("{}"))
		d.write("consumer got for %s: %d %q, error %v", a.id, a.status, a.body, a.err)
		for _, w := range d.workers {
			for _, r := range w.allRuns() {
				if r.id == a.id && w.service != firstName {
					foreign++
					d.write("request %s to %s was run by service %s; the longest prefix that begins its path leads to %s", a.id, target, w.service, firstName)
				}
			}
		}
	}
	return foreign > 0, nil
}
