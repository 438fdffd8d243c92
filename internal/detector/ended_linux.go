package detector

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// hasEnded reports whether the peer of a connection has ended it, or its sending side.
func hasEnded(fd int) bool {
	polled := []unix.PollFd{{
		Fd:     int32(fd),
		Events: unix.POLLRDHUP, // a reset is always reported
	}}
	for {
		n, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return n > 0
		}
	}
}
