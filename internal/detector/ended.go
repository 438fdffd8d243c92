package detector

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// hasEnded reports whether the peer of a connection has ended it, or its sending side.
func hasEnded(fd int) bool {
	n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == nil && n > 0 {
		return hasEndedBehind(fd)
	}
	return err == nil || errors.IsAny(err, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT)
}
