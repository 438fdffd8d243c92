package fireflymoor

import "time"

// A TargetLoad is the load that a target itself reports with a response. It is the
// zero value if the target reports none.
type TargetLoad struct {
	// Running and Waiting are the calls that the target runs and that wait in it.
	Running, Waiting int
	// Slots is the number of calls that the target says it serves at once, or 0 if
	// it does not report a load.
	Slots int
	// Pace is how long work currently takes at the target as a multiple of the usual
	// time there, or 0 if it does not report that.
	Pace float64
}

// A LoadReport is the load of a target as its node reports it to other nodes.
type LoadReport struct {
	// Load is the number of calls in flight and waiting as a multiple of the
	// slots. It is usually above 1 while calls wait.
	Load float64
	// Hold is how long calls have recently held a slot of the target, or 0 if no
	// call has ended yet.
	Hold time.Duration
	// Pace is how long work currently takes as a multiple of the usual time. It is
	// 1 if the target does not report it.
	Pace float64
}
