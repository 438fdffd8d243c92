package runner

import (
	"runtime/debug"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/applier"
)

// VersionStored implements coordinator.Watcher. The throttle limits the rate of
// applied versions: of many versions in quick succession only the newest is put
// in force.
func (n *node) VersionStored() {
	if n.applyPending {
		return
	}
	if n.rendering {
		n.applyAgain = true
		return
	}
	n.storedAt = time.Now()
	wait := n.throttle.Wait(time.Now())
	if wait == 0 {
		n.apply()
		return
	}
	n.applyPending = true
	time.AfterFunc(wait, func() {
		n.sequencer.Post(func() {
			n.applyPending = false
			n.apply()
		})
	})
}

// apply begins to put the newest stored version in force. It is rendered beside the
// sequencer: a large version takes a small instance half a second, and neighbors
// request it meanwhile.
func (n *node) apply() {
	distributor := n.coordinator.Distributor()
	inputs, _ := distributor.Inputs(n.settings.Team)
	p := n.applier.Begin(distributor.Manifest(), inputs)
	if p == nil {
		n.logRefusal()
		return
	}
	n.rendering = true
	began := time.Now()
	go func() {
		defer n.sequencer.Post(func() { n.finishApply(p, began) })
		defer func() {
			if value := recover(); value != nil {
				n.recordPanic(value, debug.Stack())
			}
		}()
		p.Render()
	}()
}

// finishApply puts a rendered version in force, unless the applier refuses it.
func (n *node) finishApply(p *applier.Preparation, began time.Time) {
	n.rendering = false
	if n.applier.Finish(p) {
		n.putInForce(began)
	} else {
		n.logRefusal()
	}
	n.throttle.Applied(began, time.Now())
	if n.applyAgain {
		n.applyAgain = false
		n.VersionStored()
	}
}

// putInForce makes the applier's current version the one that calls are routed by.
func (n *node) putInForce(began time.Time) {
	current := n.applier.Current().WithDefaultBalance(n.settings.Balance)
	n.coordinator.SetHeldVersion(current.Number())
	view := n.View().WithConfiguration(current)
	n.view.Store(&view)
	n.targets.Configure(current)
	n.limits.configure(current)
	n.refusedVersion.Set(0)
	n.log.Info().Uint64("version", current.Number()).Dur("waited", began.Sub(n.storedAt)).
		Dur("took", time.Since(began)).Msg("config: in force")
}

// logRefusal logs why the newest stored version was not put in force, if it was refused.
func (n *node) logRefusal() {
	if err := n.applier.Refusal(); err != nil {
		n.refusedVersion.Set(float64(n.coordinator.Distributor().Manifest().Number()))
		n.log.Warn().Err(err).Uint64("version", n.coordinator.Distributor().Manifest().Number()).Msg("config: kept the version before")
	}
}
