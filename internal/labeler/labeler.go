// Package labeler names the headers that the system adds to calls.
package labeler

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Headers that callers may send and get.
const (
	// Outcome says how a call ended: not-run, unknown or answered.
	Outcome = "Fireflymoor-Outcome"
	// Deadline is the time that a call has left, in milliseconds.
	Deadline = "Fireflymoor-Deadline"
	// CallID names one call through all its tries.
	CallID = "Fireflymoor-Call-Id"
	// Reason says why a call was refused.
	Reason = "Fireflymoor-Reason"
	// IdempotencyKey names a call over all its resends by its caller.
	IdempotencyKey = "Idempotency-Key"
	// Replayed marks the answer that an earlier call with the key got.
	Replayed = "Fireflymoor-Replayed"
)

// Headers between nodes.
const (
	// TargetID names the target that a node chose.
	TargetID = "Fireflymoor-Target"
	// Boot is the boot id of the node that a call is meant for.
	Boot = "Fireflymoor-Boot"
	// Once marks a call that must not repeat.
	Once = "Fireflymoor-Once"
	// Draining marks the refusal of a target that gets no new work.
	Draining = "Fireflymoor-Draining"
	// Rank is a call's place among those that wait for a target's slot.
	Rank = "Fireflymoor-Rank"
	// Within is the time within which a call should be answered, in
	// milliseconds.
	Within = "Fireflymoor-Within"
	// Wait is how long calls wait at a target that refused one, in
	// milliseconds.
	Wait = "Fireflymoor-Wait"
	// Arrived marks the refusal of a target that the call had reached.
	Arrived = "Fireflymoor-Arrived"
	// Origin is the service of the instance where a call began.
	Origin = "Fireflymoor-Origin"
	// Load is the share of a target's slots in use, from 0 to 1.
	Load = "Fireflymoor-Load"
	// Packed gathers most of these and other headers in one.
	Packed = "Ffm"
)

var (
	inner = []string{TargetID, Boot, Once, Draining, Arrived, Origin, Rank, Within, Wait, Load, Packed}
	// hopByHop are the headers that end at each connection.
	hopByHop = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
	// replayed are the headers that make net/http send a request again by
	// itself. In lower case it does not know them, and receivers do.
	replayed = map[string]string{
		IdempotencyKey:      "idempotency-key",
		"X-Idempotency-Key": "x-idempotency-key",
	}
)

// CleanRequest drops from a header what must not travel on.
func CleanRequest(h http.Header) {
	for _, name := range inner {
		h.Del(name)
	}
	CleanHop(h)
}

// CleanHop drops the headers that end at a connection, and hides those that
// net/http would act upon.
func CleanHop(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	for name, hidden := range replayed {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[hidden] = values
		}
	}
}

// Inner says whether a header is one between nodes.
func Inner(name string) bool {
	return slices.Contains(inner, name)
}

// targetSeparator stands between the parts of a target's id.
const targetSeparator = "/"

// JoinTarget returns the id that other processes know a node's target by.
func JoinTarget(node, id string) string {
	return node + targetSeparator + id
}

// CutTarget returns the node and the node's own name for a target. It reports
// false if the id has not just these two parts.
func CutTarget(target string) (node, id string, ok bool) {
	node, id, ok = strings.Cut(target, targetSeparator)
	return node, id, ok && !strings.Contains(id, targetSeparator)
}

// SetDeadline writes the time that ctx has left.
func SetDeadline(ctx context.Context, h http.Header) {
	if at, ok := ctx.Deadline(); ok {
		left := max(time.Until(at).Milliseconds(), 0)
		h.Set(Deadline, strconv.FormatInt(left, 10))
	}
}

// TimeLeft reads the time that a call has left, at most most. It reports
// false if the header holds no whole number of milliseconds.
func TimeLeft(h http.Header, most time.Duration) (time.Duration, bool) {
	text := h.Get(Deadline)
	if text == "" {
		return most, true
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 0 {
		return 0, false
	}
	return min(most, time.Duration(milliseconds)*time.Millisecond), true
}

// SetLoad writes a target's load.
func SetLoad(h http.Header, load float64) {
	h.Set(Load, strconv.FormatFloat(load, 'f', 2, 64))
}

// TakeLoad reads a target's load and drops it from the header.
func TakeLoad(h http.Header) (float64, bool) {
	load, err := strconv.ParseFloat(h.Get(Load), 64)
	h.Del(Load)
	return load, err == nil
}

// SetMilliseconds writes a time.
func SetMilliseconds(h http.Header, name string, d time.Duration) {
	h.Set(name, strconv.FormatInt(d.Milliseconds(), 10))
}

// Milliseconds reads a time, or 0 if there is none that can be read.
func Milliseconds(h http.Header, name string) time.Duration {
	n, err := strconv.ParseInt(h.Get(name), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
