package acceptor

import (
	"testing"

	"github.com/matryer/is"
)

// TestSmallHeadsAreServedWhileLargeOnesFillTheirPart guards against large header
// sections that crowd out ordinary ones.
func TestSmallHeadsAreServedWhileLargeOnesFillTheirPart(t *testing.T) {
	is := is.New(t)
	b := NewBudget(MinHeadMemory)
	for _, address := range []string{"a", "b", "c"} {
		for b.NewCharge(address).Resize(1 << 20) {
		}
	}
	is.True(b.Used() <= MinHeadMemory/largeDivisor)
	is.True(b.Used() > MinHeadMemory/largeDivisor-1<<20)
	served := 0
	for b.NewCharge("a").AddHead(2000, 20) {
		served++
	}
	is.True(served > 500)
	is.True(b.Used() <= MinHeadMemory)
}

// TestAddressGetsOnlyItsShare guards against one client that takes the whole part for
// large header sections, by many of them or by one that grows.
func TestAddressGetsOnlyItsShare(t *testing.T) {
	is := is.New(t)
	b := NewBudget(MinHeadMemory)
	charges := []*Charge{}
	for {
		c := b.NewCharge("a")
		if !c.Resize(1 << 20) {
			break
		}
		charges = append(charges, c)
	}
	is.True(!charges[0].Resize(10 << 20))
	is.True(b.NewCharge("b").Resize(MinHeadMemory / largeDivisor / addressDivisor))
	is.True(!b.NewCharge("a").Resize(1 << 20))
	for _, c := range charges {
		c.Release()
	}
	is.True(b.NewCharge("a").Resize(1 << 20))
}

// TestLargestHeadIsAccepted checks that a header section of the largest legal size with
// the largest number of lines is accepted when there is no other, as its bytes arrive.
func TestLargestHeadIsAccepted(t *testing.T) {
	is := is.New(t)
	b := NewBudget(MinHeadMemory)
	c := b.NewCharge("a")
	for range 64 << 10 / len("a:\r\n") {
		is.True(c.AddHead(len("a:\r\n"), 1))
	}
	c.Release()
	is.Equal(b.Used(), int64(0))
}

// TestChargesAreReleased checks that what grows and shrinks across the border between
// small and large header sections leaves nothing behind.
func TestChargesAreReleased(t *testing.T) {
	is := is.New(t)
	b := NewBudget(MinHeadMemory)
	c := b.NewCharge("a")
	for _, bytes := range []int64{smallCost, smallCost + 1, 1 << 20, smallCost + 1, 100, 2 << 20, 0, 1 << 20} {
		is.True(c.Resize(bytes))
		is.Equal(b.Used(), bytes)
	}
	is.True(!c.Resize(MinHeadMemory))
	is.Equal(b.Used(), int64(1<<20))
	c.Release()
	c.Release()
	is.Equal(b.Used(), int64(0))
	is.Equal(b.large, int64(0))
	is.Equal(len(b.byAddress), 0)
}
