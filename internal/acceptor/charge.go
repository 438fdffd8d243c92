package acceptor

// responseDivisor divides a budget to give what header sections of responses may take
// beyond it. A refused response is a lost call, whereas a refused request can be
// repeated, so that clients that exhaust the budget must not cause responses to be
// refused.
const responseDivisor = 2

// A Charge is what one connection takes of a Budget. It is safe for concurrent use.
type Charge struct {
	budget *Budget
	charge charge
}

// NewCharge returns an empty charge for the peer at an address.
func (b *Budget) NewCharge(address string) *Charge {
	return &Charge{
		budget: b,
		charge: charge{
			address: address,
		},
	}
}

// NewResponseCharge returns an empty charge for header sections of responses of the
// peer at an address. It may grow beyond the size of the budget by a part of it.
func (b *Budget) NewResponseCharge(address string) *Charge {
	c := b.NewCharge(address)
	c.charge.reserve = b.total / responseDivisor
	return c
}

// Resize changes the charge to a number of bytes. It reports false and leaves the
// charge as it was if it would grow and the budget does not allow that.
func (c *Charge) Resize(bytes int64) bool {
	return c.budget.resize(&c.charge, bytes)
}

// AddHead adds the cost of a number of bytes and lines of a header section. It reports
// false and leaves the charge as it was if the budget does not allow that.
func (c *Charge) AddHead(bytes, lines int) bool {
	return c.budget.grow(&c.charge, int64(bytes*byteFactor+lines*lineCost))
}

// Release returns the charge to the budget.
func (c *Charge) Release() {
	c.budget.release(&c.charge)
}

// Refuse counts and logs a client of a listener that exceeded a limit.
func (a *Acceptor) Refuse(listener, limit, address string) {
	a.refused.WithLabelValues(listener, limit).Inc()
	a.options.Log.Warn().Str("listener", listener).Str("limit", limit).Str("address", address).Msg("clients: refused")
}
