//go:build !race

package coordinator

// fleetSize is the size of the users' large deployment.
const fleetSize = 200
