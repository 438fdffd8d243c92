package acceptor

import (
	"sync"
)

const (
	// lineCost and byteFactor estimate the memory that a header section takes, in
	// bytes: for each line, and for each byte of it. A line costs several map
	// entries, strings and slices, because the header is cloned for the request to
	// the target, and garbage until the next collection.
	lineCost   = 1 << 10
	byteFactor = 4
	// smallCost is the cost up to which a header section counts as small. It
	// allows for some 50 lines.
	smallCost = 64 << 10
	// largeDivisor divides the budget to give the part that large header sections
	// may take, so that they cannot crowd out small ones.
	largeDivisor = 2
	// addressDivisor divides that part to give what the large header sections of one
	// address may take.
	addressDivisor = 2
)

// MinHeadMemory is the minimum size of a Budget, in bytes. It allows for one header
// section of 64 KiB with the largest possible number of lines, which have three bytes.
const MinHeadMemory = 48 << 20

// A Budget bounds the memory for the header sections that are being read or whose
// requests are in progress. It is safe for concurrent use.
type Budget struct {
	lock  sync.Mutex
	total int64
	used  int64
	// large is the part of used that large header sections take, and byAddress what
	// those of each client address take.
	large     int64
	byAddress map[string]int64
}

// NewBudget returns a new Budget of total bytes.
func NewBudget(total int64) *Budget {
	return &Budget{
		total:     total,
		byAddress: map[string]int64{},
	}
}

// charge is what one header section takes of a budget.
type charge struct {
	address string
	cost    int64
	// reserve is the number of bytes by which it may exceed the budget.
	reserve int64
}

// isLarge reports whether a header section with a cost counts as large.
func isLarge(cost int64) bool {
	return cost > smallCost
}

// grow raises the cost of a header section and reports whether the budget allows
// it. If it does not, the charge stays as it was.
func (b *Budget) grow(c *charge, by int64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.growLocked(c, by)
}

// growLocked is like grow, and requires that the lock is held.
func (b *Budget) growLocked(c *charge, by int64) bool {
	if b.used+by > b.total+c.reserve {
		return false
	}
	cost := c.cost + by
	if isLarge(cost) {
		added := by
		if !isLarge(c.cost) {
			added = cost
		}
		if b.large+added > b.total/largeDivisor || b.exceedsShare(c, added) {
			return false
		}
		b.large += added
		b.byAddress[c.address] += added
	}
	b.used += by
	c.cost = cost
	return true
}

// exceedsShare reports whether an address would take more than its share for large
// header sections. A single one is always allowed.
func (b *Budget) exceedsShare(c *charge, added int64) bool {
	held := b.byAddress[c.address]
	if isLarge(c.cost) && held == c.cost || held == 0 {
		return false
	}
	return held+added > b.total/largeDivisor/addressDivisor
}

// release returns the cost of a header section to the budget.
func (b *Budget) release(c *charge) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.releaseLocked(c)
}

// resize changes a cost. It reports false and leaves the cost as it was if it would
// grow and the budget does not allow that.
func (b *Budget) resize(c *charge, cost int64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if cost >= c.cost {
		return b.growLocked(c, cost-c.cost)
	}
	b.releaseLocked(c)
	b.used += cost
	if isLarge(cost) {
		b.large += cost
		b.byAddress[c.address] += cost
	}
	c.cost = cost
	return true
}

// releaseLocked is like release, and requires that the lock is held.
func (b *Budget) releaseLocked(c *charge) {
	b.used -= c.cost
	if isLarge(c.cost) {
		b.large -= c.cost
		b.byAddress[c.address] -= c.cost
		if b.byAddress[c.address] == 0 {
			delete(b.byAddress, c.address)
		}
	}
	c.cost = 0
}

// Used returns the number of bytes taken.
func (b *Budget) Used() int64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.used
}
