package linker

import (
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// tolerantStream is a stream that does not end with a frame that cannot be encoded or
// decoded. Only the records at fault are lost.
type tolerantStream struct {
	stream

	// onInvalid is called with the error of each such frame.
	onInvalid func(direction string, err error)
}

// The directions of invalid frames.
const (
	directionOut = "out"
	directionIn  = "in"
)

// Send implements stream. It leaves out the records that cannot be encoded, and the whole
// frame if that is one.
func (s *tolerantStream) Send(frame *messenger.Frame) error {
	err := s.stream.Send(frame)
	if !errors.Is(err, proto.Error) {
		return err
	}
	s.onInvalid(directionOut, err)
	rest := proto.CloneOf(frame)
	if !prune(rest.ProtoReflect()) {
		return nil
	}
	return s.stream.Send(rest)
}

// Recv implements stream. It skips frames that cannot be decoded.
func (s *tolerantStream) Recv() (*messenger.Frame, error) {
	for {
		frame, err := s.stream.Recv()
		if !errors.Is(err, proto.Error) {
			return frame, err
		}
		s.onInvalid(directionIn, err)
	}
}

// prune removes the messages that cannot be encoded from the lists in a message, because
// they have a text that is not UTF-8. It reports whether the rest can be encoded.
func prune(m protoreflect.Message) bool {
	valid := true
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList():
			valid = pruneList(field, value.List()) && valid
		case field.Kind() == protoreflect.StringKind:
			valid = utf8.ValidString(value.String()) && valid
		case field.Kind() == protoreflect.MessageKind && !field.IsMap():
			valid = prune(value.Message()) && valid
		}
		return true
	})
	return valid
}

// pruneList does the same for the elements of a list. A list of texts is valid as a whole or
// not at all.
func pruneList(field protoreflect.FieldDescriptor, list protoreflect.List) bool {
	kept := 0
	for i := range list.Len() {
		value := list.Get(i)
		switch {
		case field.Kind() == protoreflect.StringKind && !utf8.ValidString(value.String()):
			return false
		case field.Kind() == protoreflect.MessageKind && !prune(value.Message()):
			continue
		}
		list.Set(kept, value)
		kept++
	}
	list.Truncate(kept)
	return true
}
