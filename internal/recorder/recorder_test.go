package recorder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

func labelled(id string, parent, label uint64) *messenger.Change {
	return &messenger.Change{
		Id:          id,
		Team:        "team",
		Template:    id,
		Label:       label,
		ParentLabel: parent,
	}
}

// TestLabels applies changes whose operators number them in uneven steps. Of
// two on the same parent one wins, a label must be above the accepted one, and
// a resend gets the first outcome, also after a restart from a snapshot.
func TestLabels(t *testing.T) {
	is := is.New(t)
	r := New()
	apply := func(c *messenger.Change) (number uint64, conflict bool) {
		record, _ := r.Apply(c)
		return record.GetNumber(), record.GetConflict()
	}
	number, conflict := apply(labelled("a", 0, 5))
	is.Equal(number, uint64(1))
	is.True(!conflict)
	number, _ = apply(labelled("b", 5, 7))
	is.Equal(number, uint64(2))
	_, conflict = apply(labelled("c", 5, 7))
	is.True(conflict) // the other change with the number 7 won
	_, conflict = apply(labelled("d", 7, 7))
	is.True(conflict) // not above
	_, conflict = apply(labelled("e", 9, 12))
	is.True(conflict) // no such parent yet
	number, _ = apply(labelled("f", 7, 9))
	is.Equal(number, uint64(3))

	state, err := r.Snapshot()
	is.NoErr(err)
	r = New()
	is.NoErr(r.Restore(state))
	is.Equal(r.Label("team"), uint64(9))
	number, conflict = apply(labelled("a", 0, 5))
	is.Equal(number, uint64(1))
	is.True(!conflict)
	_, conflict = apply(labelled("e", 9, 12))
	is.True(conflict) // what was refused is never in force
}
