package detector

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// hasEndedBehind reports whether there is an end behind the unread bytes of a connection.
func hasEndedBehind(fd int) bool {
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
