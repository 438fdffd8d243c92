package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/collector"
)

// Evidence records how calls end at the versions of a service under roll-out.
type Evidence interface {
	// Record adds one call.
	Record(call collector.Call)
}

// versionGroup is a set of targets by their version.
type versionGroup struct {
	contains func(version string) bool
	// readyOnly is set if suspected targets are not used, as another group follows.
	readyOnly bool
}

// rolloutState is the state of a call that concerns its service's roll-out.
type rolloutState struct {
	// point is in [0, 1). While it is below the share, the call goes to the new
	// version.
	point float64
	// triedNew is set once the call was sent to the new version.
	triedNew bool
	// counted is set for the old and the new version once a call there is counted.
	counted [2]bool
}

func newRolloutState() rolloutState {
	return rolloutState{
		point: rand.Float64(),
	}
}

// groups returns the groups of targets that the next try may go to, in the order in
// which they are to be used. A further try goes to the old version while that has a
// share: it neither meets the same fault nor adds to the share.
func (s *rolloutState) groups(rollout fireflymoor.Rollout, mayUseNew bool) []versionGroup {
	old := versionGroup{
		contains: rollout.IsOld,
	}
	switch {
	case rollout.State == fireflymoor.RolloutCompleted:
		return []versionGroup{{contains: rollout.IsNew}}
	case rollout.State != fireflymoor.RolloutRunning, !mayUseNew, s.point >= rollout.Share, s.triedNew && rollout.Share < 1:
		return []versionGroup{old}
	}
	return []versionGroup{
		{
			contains:  rollout.IsNew,
			readyOnly: true,
		},
		old,
	}
}

// usable returns the targets of the call's service that its next try may go to: ready
// ones that were not yet tried, or suspected ones if none is left. While the service
// has a roll-out, they are of one version group.
func (h *Handler) usable(c *call) []fireflymoor.Target {
	view := h.options.Viewer.View()
	all := view.Targets(c.service.Name)
	rollout, ok := view.Configuration().Rollout(c.service.Name)
	if !ok {
		return c.untried(vetted(all), false)
	}
	for _, group := range c.rollout.groups(rollout, h.mayUseNew()) {
		members := make([]fireflymoor.Target, 0, len(all))
		for i := range all {
			if group.contains(all[i].Version) {
				members = append(members, all[i])
			}
		}
		if targets := c.untried(members, group.readyOnly); len(targets) > 0 {
			return targets
		}
	}
	return nil
}

// vetted returns the targets that are not unvetted, or all of them if there is no other
// that gets new work.
func vetted(all []fireflymoor.Target) []fireflymoor.Target {
	if !slices.ContainsFunc(all, func(t fireflymoor.Target) bool { return t.Unvetted }) {
		return all
	}
	found := make([]fireflymoor.Target, 0, len(all))
	working := false
	for i := range all {
		if !all[i].Unvetted {
			found = append(found, all[i])
			working = working || all[i].State != fireflymoor.Draining
		}
	}
	if !working {
		return all
	}
	return found
}

// mayUseNew reports whether what this node knows of roll-outs is recent enough to send
// calls to a new version.
func (h *Handler) mayUseNew() bool {
	return h.options.IsCurrent == nil || h.options.IsCurrent()
}

// untried returns the ready targets that the call has not been sent to, or the
// suspected ones if there are none and readyOnly is not set.
func (c *call) untried(all []fireflymoor.Target, readyOnly bool) []fireflymoor.Target {
	team := c.view.Configuration().Team()
	ready := untried(all, fireflymoor.Ready, team, c.tried)
	if len(ready) == 0 && !readyOnly {
		return untried(all, fireflymoor.Suspect, team, c.tried)
	}
	return ready
}

// observation collects the evidence of one try. It is nil if the service has no
// running roll-out, or the call was counted at this version already.
type observation struct {
	evidence Evidence
	call     collector.Call
	once     sync.Once
}

// observe returns the observation of a try that begins, or nil.
func (h *Handler) observe(c *call, target fireflymoor.Target) *observation {
	rollout, ok := h.options.Viewer.View().Configuration().Rollout(c.service.Name)
	if !ok || rollout.State != fireflymoor.RolloutRunning {
		return nil
	}
	version := 0
	if rollout.IsNew(target.Version) {
		version = 1
		c.rollout.triedNew = true
	}
	if c.rollout.counted[version] || h.options.Evidence == nil {
		return nil
	}
	return &observation{
		evidence: h.options.Evidence,
		call: collector.Call{
			Team:    c.view.Configuration().Team(),
			Route:   c.route.Name,
			Rollout: rollout,
			ToNew:   version == 1,
		},
	}
}

// markCounted records that the call was counted at a version, so that retries do not
// count twice.
func (s *rolloutState) markCounted(toNew bool) {
	if toNew {
		s.counted[1] = true
		return
	}
	s.counted[0] = true
}

// recordError records a try without a response. It does not count if it did not run,
// or if the caller is the reason.
func (o *observation) recordError(ctx context.Context, c *call, outcome fireflymoor.Outcome) {
	if o == nil || outcome != fireflymoor.Unknown || c.canceledEarly(ctx) || c.body.failed() || c.body.overflowed() {
		return
	}
	c.rollout.markCounted(o.call.ToNew)
	o.record(true)
}

// recordResponse records a try with a response: at once if that is a failure, else
// once its body has ended.
func (o *observation) recordResponse(ctx context.Context, c *call, response *http.Response, took time.Duration) {
	if o == nil {
		return
	}
	c.rollout.markCounted(o.call.ToNew)
	o.call.Took = took
	if response.StatusCode >= http.StatusInternalServerError {
		o.record(true)
		return
	}
	response.Body = &observedBody{
		ReadCloser:  response.Body,
		ctx:         ctx,
		observation: o,
	}
}

func (o *observation) record(failed bool) {
	o.once.Do(func() {
		o.call.Failed = failed
		o.evidence.Record(o.call)
	})
}

// observedBody is a response body whose end is recorded.
type observedBody struct {
	io.ReadCloser
	ctx         context.Context
	observation *observation
	aborted     bool
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.observation.record(false)
	case errors.Is(b.ctx.Err(), context.Canceled):
		b.aborted = true
	default:
		b.observation.record(true)
	}
	return n, err
}

// Close implements io.Closer. A response that its caller did not wait for counts as
// good, as it had begun, unless its connection ended with the caller's.
func (b *observedBody) Close() error {
	if !b.aborted {
		b.observation.record(false)
	}
	return b.ReadCloser.Close()
}
