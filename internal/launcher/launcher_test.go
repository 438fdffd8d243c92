package launcher

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBlockStaysReserved guards against two clusters of processes that run at the same
// time and use the same addresses.
func TestBlockStaysReserved(t *testing.T) {
	is := is.New(t)
	c := &Cluster{}
	is.NoErr(c.reserveBlock())
	for range 3 { // finalizers run after a collection
		runtime.GC()
		time.Sleep(10 * time.Millisecond)
	}
	_, err := net.Listen("tcp", fmt.Sprintf("%d.%d.255.254:7000", firstOctet, c.block))
	is.True(err != nil)
	runtime.KeepAlive(c)
}
