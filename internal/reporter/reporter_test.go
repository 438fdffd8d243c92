package reporter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// TestReportBeforeFact hears a node's report before its fact, as it happens
// when a zone is joined again. The report counts once the node is known.
func TestReportBeforeFact(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	r := New("zone", "a")
	own := &messenger.Fact{Name: "a", Boot: 1}
	other := &messenger.Fact{Name: "b", Boot: 1}
	r.Hear(&messenger.HeldReport{Name: "a", Boot: 1, Held: 2}, now)
	r.Hear(&messenger.HeldReport{Name: "b", Boot: 1, Held: 2}, now)
	is.Equal(r.Sum(2, []*messenger.Fact{own}, now).GetHolding(), uint32(1))
	sum := r.Sum(2, []*messenger.Fact{own, other}, now)
	is.Equal(sum.GetNodes(), uint32(2))
	is.Equal(sum.GetHolding(), uint32(2))
}
