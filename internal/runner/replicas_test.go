package runner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// TestFindReplicas checks which replicas a node asks. If all are suspected, which
// may be false, it must ask these and not none.
func TestFindReplicas(t *testing.T) {
	is := is.New(t)
	fact := func(name string, state messenger.MemberState) *messenger.Fact {
		return &messenger.Fact{
			Name:           name,
			OverlayAddress: name + ":1",
			State:          state,
		}
	}
	names := func(replicas []loader.Replica) string {
		text := ""
		for _, r := range replicas {
			text += r.Address + " "
		}
		return text
	}
	alive, suspected := messenger.MemberState_MEMBER_ALIVE, messenger.MemberState_MEMBER_SUSPECT
	facts := []*messenger.Fact{fact("a", alive), fact("b", suspected)}
	is.Equal(names(findReplicas(facts, []string{"b:1", "c:1"})), "a:1 c:1 ")
	facts = []*messenger.Fact{fact("a", suspected), fact("b", suspected)}
	is.Equal(names(findReplicas(facts, []string{"a:1", "b:1"})), "a:1 b:1 ")
	is.Equal(names(findReplicas(nil, nil)), "")
}
