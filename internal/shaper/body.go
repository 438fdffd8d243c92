package shaper

import (
	"io"
)

// Body is a response body that is read at the rate of the link.
type Body struct {
	io.Reader
	io.Closer
}

// Closer returns an io.Closer that releases the reservation and closes a response body.
func (r *Reservation) Closer(body io.Closer) io.Closer {
	return &closer{
		reservation: r,
		body:        body,
	}
}

type closer struct {
	reservation *Reservation
	body        io.Closer
}

// Close implements io.Closer.
func (c *closer) Close() error {
	c.reservation.Release()
	return c.body.Close()
}
