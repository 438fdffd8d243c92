package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

// BenchmarkCandidate reads the estimates of 35 targets, as the pick for a call
// does at the size of the largest service in use.
func BenchmarkCandidate(b *testing.B) {
	tr := New("node", "zone")
	now := time.Now()
	var targets []fireflymoor.Target
	for i := range 35 {
		target := fireflymoor.Target{
			ID:      fmt.Sprint("node-", i, "/target"),
			Node:    fmt.Sprint("node-", i),
			Service: "service",
			Zone:    "zone",
			Slots:   18,
		}
		targets = append(targets, target)
		tr.RecordResponse(target, "route", time.Millisecond, now)
		tr.SetLoad(target, 0.5, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range targets {
			tr.Candidate(targets[i], time.Second, now)
		}
	}
}
