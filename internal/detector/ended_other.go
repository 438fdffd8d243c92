//go:build !linux

package detector

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// hasEnded reports whether the peer of a connection has ended it. An end behind bytes
// that have not been read is not seen.
func hasEnded(fd int) bool {
	n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n == 0 || errors.IsAny(err, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT)
}
