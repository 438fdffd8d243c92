// Package annotator defines, reads and writes the headers that the system adds to
// calls and responses.
package annotator

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const percent = 100

// Headers between callers and the system.
const (
	// Outcome is the outcome of a call: not-run, unknown or answered.
	Outcome = "Fireflymoor-Outcome"
	// Deadline is the time that a call has left, in milliseconds.
	Deadline = "Fireflymoor-Deadline"
	// CallID identifies a call. The caller gets one id for all tries of the call.
	// Nodes and targets get a separate id for each try, which begins with that id.
	CallID = "Fireflymoor-Call-Id"
	// Reason is the reason for which a call was refused.
	Reason = "Fireflymoor-Reason"
	// Key is the key that identifies the tenant that makes a call.
	Key = "Fireflymoor-Key"
	// IdempotencyKey identifies a call across all resends by its caller.
	IdempotencyKey = "Idempotency-Key"
	// Replayed marks a stored response to an earlier call with the same
	// idempotency key.
	Replayed = "Fireflymoor-Replayed"
)

// Headers of targets' responses.
const (
	// TargetLimit is how many calls per second the target accepts from all nodes
	// together, as a decimal number above 0. It applies until a response lacks it.
	TargetLimit = "Fireflymoor-Target-Limit"
	// TargetLeaving is 1 in all responses of a target that is about to end.
	TargetLeaving = "Fireflymoor-Target-Leaving"
)

// Headers between nodes.
const (
	// TargetID is the id of the target that the sending node chose.
	TargetID = "Fireflymoor-Target"
	// Boot is the incarnation number of the node that a call is addressed to.
	Boot = "Fireflymoor-Boot"
	// Once marks a call that must not run more than once.
	Once = "Fireflymoor-Once"
	// Draining marks a refusal by a target that accepts no new calls.
	Draining = "Fireflymoor-Draining"
	// Rank is a call's rank among the calls that wait for a slot of a target.
	Rank = "Fireflymoor-Rank"
	// Objective is the time within which a call should be answered, in
	// milliseconds.
	Objective = "Fireflymoor-Within"
	// Wait is the time, in milliseconds, that calls wait at a target that
	// refused a call.
	Wait = "Fireflymoor-Wait"
	// RefusedByTarget marks a refusal of a call that had reached the target.
	RefusedByTarget = "Fireflymoor-Arrived"
	// MaxWait is the longest wait for a slot, in milliseconds, of a call that can be
	// tried at another target instead. Without it a call may wait for as long as it is
	// likely to be answered in time.
	MaxWait = "Fireflymoor-Max-Wait"
	// Neighbor is the id of a target that a refusing node knows to have a free slot.
	Neighbor = "Fireflymoor-Neighbor"
	// Bulk marks a call of a route with large responses that can wait.
	Bulk = "Fireflymoor-Bulk"
	// Origin is the service of the instance that made a call.
	Origin = "Fireflymoor-Origin"
	// Load is the number of calls in flight and waiting at a target as a multiple
	// of its slots. It is usually above 1 while calls wait. The time for which calls
	// hold a slot, in milliseconds, and the target's pace, in percent, may follow it,
	// separated by commas. A pace of 100 is left out.
	Load = "Fireflymoor-Load"
	// Tenant is the name of the tenant on whose behalf a call is made. Targets get it
	// too.
	Tenant = "Fireflymoor-Tenant"
	// KeyID is the id of the key with which a call was made.
	KeyID = "Fireflymoor-Key-Id"
	// Limit is the limit that a target states, in calls per second. A target's node
	// adds it to refusals, and other nodes repeat it with calls to that target.
	Limit = "Fireflymoor-Limit"
	// Departed is the start of a target that has stated that it is leaving, in Unix
	// milliseconds. The target's node adds it to the target's response, and nodes that
	// have passed on such a response repeat it with calls to that target.
	Departed = "Fireflymoor-Departed"
	// Sent is the stamp of the clock of the node that sends a call. It tells the age of
	// the call to the node that receives it.
	Sent = "Fireflymoor-Sent"
	// Ended identifies the end of the target under a call. The target's node adds it to
	// the refusal.
	Ended = "Fireflymoor-Ended"
	// Suspect is the fingerprint of a call's request and the ends of targets that are
	// known under it, separated by commas. In a refusal it tells that the call is held
	// back for that.
	Suspect = "Fireflymoor-Suspect"
	// Packed combines most of these headers and other headers in one header.
	Packed = "Ffm"
)

var (
	// internalHeaders are the headers between nodes.
	internalHeaders = []string{TargetID, Boot, Once, Draining, RefusedByTarget, Origin, Rank, Objective, Wait, MaxWait, Neighbor, Load, Tenant, KeyID, Bulk, Limit, Departed, Sent, Ended, Suspect, Packed}
	// hopByHop are the headers that apply to a single connection only.
	hopByHop = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
	// hiddenHeaders are the headers that make net/http resend a request
	// automatically, with the lower-case names that replace them. net/http does
	// not recognize the lower-case names, but receivers do.
	hiddenHeaders = map[string]string{
		IdempotencyKey:      "idempotency-key",
		"X-Idempotency-Key": "x-idempotency-key",
	}
)

// CleanRequest removes the headers of a request that must not be forwarded:
// internal and hop-by-hop headers. It hides the same headers as RemoveHopByHop.
func CleanRequest(h http.Header) {
	for _, name := range internalHeaders {
		h.Del(name)
	}
	RemoveHopByHop(h)
}

// RemoveHopByHop removes hop-by-hop headers. It gives lower-case names to
// idempotency headers, so that net/http does not resend the request because of
// them.
func RemoveHopByHop(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	for name, hidden := range hiddenHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[hidden] = values
		}
	}
}

// IsInternal reports whether a header is used only between nodes.
func IsInternal(name string) bool {
	return slices.Contains(internalHeaders, name)
}

// targetSeparator separates the parts of a target's full id.
const targetSeparator = "/"

// JoinTarget returns the full id by which other processes identify a node's
// target.
func JoinTarget(node, id string) string {
	return node + targetSeparator + id
}

// CutTarget splits a target's full id into the node's name and the target's id
// on that node. It reports false if the full id does not have exactly two parts.
func CutTarget(target string) (node, id string, ok bool) {
	node, id, ok = strings.Cut(target, targetSeparator)
	return node, id, ok && !strings.Contains(id, targetSeparator)
}

// SetDeadline writes the time left until the deadline of ctx, if it has one.
func SetDeadline(ctx context.Context, h http.Header) {
	if at, ok := ctx.Deadline(); ok {
		left := max(time.Until(at).Milliseconds(), 0)
		h.Set(Deadline, strconv.FormatInt(left, 10))
	}
}

// TimeLeft reads the time that a call has left, but returns at most limit. It
// returns limit if there is no deadline header. It reports false if the header
// is not a whole, non-negative number of milliseconds.
func TimeLeft(h http.Header, limit time.Duration) (time.Duration, bool) {
	text := h.Get(Deadline)
	if text == "" {
		return limit, true
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 0 {
		return 0, false
	}
	return min(limit, time.Duration(milliseconds)*time.Millisecond), true
}

// SetOrRemove sets a header to a value, or removes it if the value is empty.
func SetOrRemove(h http.Header, name, value string) {
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

// SetLoad writes a target's load to the header.
func SetLoad(h http.Header, load float64) {
	h.Set(Load, strconv.FormatFloat(load, 'f', 2, 64))
}

// SetLoadReport writes the report of a target's load to the header.
func SetLoadReport(h http.Header, report fireflymoor.LoadReport) {
	text := strconv.FormatFloat(report.Load, 'f', 2, 64) + "," + strconv.FormatInt(report.Hold.Milliseconds(), 10)
	if pace := math.Round(report.Pace * percent); pace != percent {
		text += "," + strconv.FormatFloat(pace, 'f', 0, 64)
	}
	h.Set(Load, text)
}

// TakeLoadReport reads the report of a target's load and removes it from the header.
// A report that has only the load has no hold time and a pace of 1. It reports false
// if there is no valid report.
func TakeLoadReport(h http.Header) (fireflymoor.LoadReport, bool) {
	fields := strings.Split(h.Get(Load), ",")
	h.Del(Load)
	report := fireflymoor.LoadReport{
		Pace: 1,
	}
	var values [3]float64
	if len(fields) > len(values) {
		return report, false
	}
	for i, field := range fields {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil || !(value >= 0) || value > math.MaxInt32 {
			return report, false
		}
		values[i] = value
	}
	report.Load = values[0]
	report.Hold = time.Duration(values[1]) * time.Millisecond
	if len(fields) == len(values) {
		report.Pace = values[2] / percent
	}
	return report, true
}

// SetLimit writes the limit of a target to the header, or removes it if it is 0.
func SetLimit(h http.Header, rate float64) {
	if rate == 0 {
		h.Del(Limit)
		return
	}
	h.Set(Limit, strconv.FormatFloat(rate, 'g', -1, 64))
}

// ReadLimit reads the limit of a target, or returns 0 if there is none.
func ReadLimit(h http.Header) float64 {
	return ParseNotice(h[Limit], nil).Limit
}

// SetMilliseconds writes a duration in milliseconds to the named header.
func SetMilliseconds(h http.Header, name string, d time.Duration) {
	h.Set(name, strconv.FormatInt(d.Milliseconds(), 10))
}

// Milliseconds reads a duration in milliseconds from the named header. It returns
// 0 if the header is missing or invalid.
func Milliseconds(h http.Header, name string) time.Duration {
	n, err := strconv.ParseInt(h.Get(name), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
