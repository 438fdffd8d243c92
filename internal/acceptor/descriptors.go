package acceptor

import (
	"golang.org/x/sys/unix"
)

const (
	// maxDefaultConnections bounds the default number of connections of a listener. A
	// connection without a request takes some 20 KiB.
	maxDefaultConnections = 2000
	// descriptorDivisor divides the process's limit on descriptors to give the default
	// number of connections of a listener. A node has up to six listeners, and most of
	// their connections are those of two.
	descriptorDivisor = 6
)

// Connections returns the maximum number of connections of a listener: the number in
// the settings, or the default if that is 0.
func Connections(setting int) int {
	if setting > 0 {
		return setting
	}
	limit := unix.Rlimit{}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxDefaultConnections
	}
	return int(min(limit.Cur/descriptorDivisor, maxDefaultConnections))
}
