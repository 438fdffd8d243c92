//go:build race

package coordinator

// fleetSize is smaller than the users' large deployment, as the race detector
// supports 8,128 goroutines at a time.
const fleetSize = 50
