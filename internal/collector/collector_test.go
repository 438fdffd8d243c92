package collector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestMessages sums up calls and loses an acknowledgement. The message must be sent
// again unchanged, its receiver must take it once, and calls made meanwhile must be in
// the next one.
func TestMessages(t *testing.T) {
	is := is.New(t)
	c := New("node", 7)
	is.True(c.Next() == nil)
	call := Call{
		Team:  "team",
		Route: "r",
		Rollout: fireflymoor.Rollout{
			Service: "a",
			Started: time.UnixMilli(1000),
		},
		Took: 10 * time.Millisecond,
	}
	c.Record(call)
	c.Record(call)
	slow := call
	slow.Took = 50 * time.Millisecond
	slow.ToNew = true
	c.Record(slow)
	slow.Failed = true
	c.Record(slow)
	first := c.Next()
	is.Equal(len(first.GetSamples()), 2)
	is.Equal(first.GetSamples()[0].GetCalls(), uint64(2))
	toNew := first.GetSamples()[1]
	is.Equal(toNew.GetCalls(), uint64(2))
	is.Equal(toNew.GetFailures(), uint64(1))
	is.Equal(toNew.GetSlow(), uint64(1))
	is.Equal(toNew.GetLatencyMicroseconds(), uint64(50_000)) // of the call that did not fail

	c.Record(call)
	again := c.Next()
	is.Equal(again.GetSequence(), first.GetSequence())
	f := NewFilter()
	is.True(f.IsNew(first))
	is.True(!f.IsNew(again))
	c.Acknowledge(again.GetSequence())
	next := c.Next()
	is.True(f.IsNew(next))
	is.Equal(next.GetSamples()[0].GetCalls(), uint64(1))
	c.Acknowledge(first.GetSequence()) // a late one
	is.True(c.Next() != nil)

	relay := New("relay", 1)
	relay.Add(first.GetSamples())
	relay.Add(next.GetSamples())
	is.Equal(relay.Next().GetSamples()[0].GetCalls(), uint64(3))
	is.Equal(first.GetSamples()[0].GetCalls(), uint64(2)) // not shared with the relay
	restarted := New("node", 8)
	restarted.Record(call)
	is.True(f.IsNew(restarted.Next()))
}
