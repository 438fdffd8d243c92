package operator

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/recorder"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

// twoReplicas simulates a leader and a follower that serves the operators' reads
// and may lag behind the leader.
type twoReplicas struct {
	Replica

	leader     *recorder.Recorder
	follower   *recorder.Recorder
	unapplied  []*messenger.Change
	lastChange *messenger.Change
}

func newTwoReplicas() *twoReplicas {
	return &twoReplicas{
		leader:   recorder.New(),
		follower: recorder.New(),
	}
}

// Change implements Replica.
func (r *twoReplicas) Change(_ context.Context, change *messenger.Change) (*messenger.ChangeRecord, error) {
	r.lastChange = change
	record, _ := r.leader.Apply(change)
	r.unapplied = append(r.unapplied, change)
	return record, nil
}

// Read implements Replica.
func (r *twoReplicas) Read(_ context.Context, read func(accepted *recorder.Recorder)) error {
	read(r.follower)
	return nil
}

// catchUp applies to the follower the changes that only the leader has applied.
func (r *twoReplicas) catchUp() {
	for _, change := range r.unapplied {
		r.follower.Apply(change)
	}
	r.unapplied = nil
}

const (
	firstTemplate  = "parameter n integer default=1\n---\n[service a]\nslots = {{ value \"n\" }}\n"
	secondTemplate = "parameter n integer default=1\n---\n[service b]\nslots = {{ value \"n\" }}\n"
	firstValues    = "[values]\nn = 1\n"
	secondValues   = "[values]\nn = 2\n"
)

func newRequest(id string, parent uint64, template, values string) administrator.ChangeRequest {
	request := administrator.ChangeRequest{
		Team:     "team",
		ChangeID: id,
		Parent:   parent,
	}
	if template != "" {
		request.Template = &template
	}
	if values != "" {
		request.Values = &values
	}
	return request
}

func newTestService(r Replica) *Service {
	return NewService(r, renderer.New(parser.New()))
}

// newTestReplicas returns two replicas that both hold a first version, and a
// service that reads from the follower.
func newTestReplicas(t *testing.T) (*twoReplicas, *Service) {
	t.Helper()
	r := newTwoReplicas()
	s := newTestService(r)
	_, err := s.change(t.Context(), newRequest("1", 0, firstTemplate, firstValues))
	is.New(t).NoErr(err)
	r.catchUp()
	return r, s
}

// TestValuesOnlyOnALaggingReplica changes only the values, through a replica that
// does not hold the parent yet. The result must have the parent's template, not
// the older one that the replica holds.
func TestValuesOnlyOnALaggingReplica(t *testing.T) {
	is := is.New(t)
	r, s := newTestReplicas(t)
	_, err := s.change(t.Context(), newRequest("2", 1, secondTemplate, firstValues))
	is.NoErr(err) // the follower lags
	_, err = s.change(t.Context(), newRequest("3", 2, "", secondValues))
	apiErr := &administrator.Error{}
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.State, administrator.NotTaken)
	r.catchUp()
	_, err = s.change(t.Context(), newRequest("3", 2, "", secondValues))
	is.NoErr(err)
	inputs, _ := r.leader.Inputs("team")
	is.Equal(inputs, fireflymoor.Inputs{
		Template: secondTemplate,
		Values:   secondValues,
	})
	rendered, err := renderer.New(parser.New()).Render("team", inputs)
	is.NoErr(err)
	entry, _ := r.leader.Manifest().Team("team")
	is.Equal(entry.Rendered, fireflymoor.HashOf(rendered.Text)) // what nodes will render
}

// TestResendOfValuesOnly sends a change of only the values again after other
// changes. It must get its first outcome.
func TestResendOfValuesOnly(t *testing.T) {
	is := is.New(t)
	r := newTwoReplicas()
	s := newTestService(r)
	for i, request := range []administrator.ChangeRequest{
		newRequest("1", 0, firstTemplate, firstValues),
		newRequest("2", 1, "", secondValues),
		newRequest("3", 2, "---\n[service c]\n", "[values]\n"),
	} {
		response, err := s.change(t.Context(), request)
		is.NoErr(err)
		is.Equal(response.Number, uint64(i+1))
		r.catchUp()
	}
	response, err := s.change(t.Context(), newRequest("2", 1, "", secondValues))
	is.NoErr(err)
	is.Equal(response.Number, uint64(2))
	_, err = s.change(t.Context(), newRequest("4", 1, "", secondValues))
	apiErr := &administrator.Error{}
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Code, administrator.CodeConflict) // a new change on an old parent
	is.Equal(apiErr.Parent, uint64(3))
}

// TestUnchangedInputsOmitted sends a request with an unchanged template. Only the
// values must be written to the log.
func TestUnchangedInputsOmitted(t *testing.T) {
	is := is.New(t)
	r, s := newTestReplicas(t)
	_, err := s.change(t.Context(), newRequest("2", 1, firstTemplate, secondValues))
	is.NoErr(err)
	is.Equal(r.lastChange.GetTemplate(), "")
	is.Equal(r.lastChange.GetValues(), secondValues)
	r.catchUp()
	is.Equal(r.follower.Manifest().Hash(), r.leader.Manifest().Hash())
	inputs, _ := r.follower.Inputs("team")
	is.Equal(inputs.Template, firstTemplate)
}

// TestUnknownParent sends a request with all inputs and a parent that was never
// accepted. It must get a conflict without waiting for the parent.
func TestUnknownParent(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	_, err := newTestService(newTwoReplicas()).change(t.Context(), newRequest("1", 7, firstTemplate, firstValues))
	apiErr := &administrator.Error{}
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Code, administrator.CodeConflict)
	is.True(time.Since(began) < parentWaitTimeout)
}

// TestLabelledChangePacked changes one of many lines, through a replica that holds
// the parent and through one that lags. The message for the log must be small if
// the replica holds the parent, and the replicas must converge in both cases.
func TestLabelledChangePacked(t *testing.T) {
	is := is.New(t)
	r := newTwoReplicas()
	s := newTestService(r)
	long := &strings.Builder{}
	long.WriteString("---\n")
	for i := range 300 {
		fmt.Fprintf(long, "[service s%d]\nslots = %d\n", i, 1+i)
	}
	accept := func(id string, parent, label uint64, template string) {
		t.Helper()
		_, err := s.Accept(t.Context(), LabelledChange{
			ID:          id,
			Team:        "team",
			Label:       label,
			ParentLabel: parent,
			Inputs: fireflymoor.Inputs{
				Template: template,
			},
		})
		is.NoErr(err)
	}
	accept("1", 0, 5, long.String())
	r.catchUp()
	second := strings.Replace(long.String(), "slots = 100\n", "slots = 9\n", 1)
	accept("2", 5, 7, second)
	is.True(proto.Size(r.lastChange) < 1000)
	third := strings.Replace(second, "slots = 200\n", "slots = 8\n", 1)
	accept("3", 7, 9, third) // the follower does not hold the parent
	r.catchUp()
	is.Equal(r.follower.Manifest().Hash(), r.leader.Manifest().Hash())
	inputs, _ := r.follower.Inputs("team")
	is.Equal(inputs.Template, third)
}
