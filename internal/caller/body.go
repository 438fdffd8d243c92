package caller

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// keptBody is how much of a body is kept to send it again, in bytes.
const keptBody = 64 << 10

var (
	errTooLarge = errors.New("caller: the body is too large")
	errPast     = errors.New("caller: the try is past")
)

// body is a call's body. As much as fits is kept, so that a try that was not
// run can be made elsewhere.
type body struct {
	lock     sync.Mutex
	try      int
	source   io.Reader
	length   int64
	left     int64
	kept     bytes.Buffer
	replay   int
	spent    bool
	tooLarge bool
}

func newBody(source io.Reader, length, most int64) *body {
	return &body{
		source: source,
		length: length,
		left:   most,
	}
}

// reader returns the body from its start, and its length or -1. Earlier
// readers, which a transport may still hold, get no more of it.
func (b *body) reader() (io.ReadCloser, int64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.try++
	b.replay = 0
	return io.NopCloser(&bodyReader{
		body: b,
		try:  b.try,
	}), b.length
}

// replayable says whether all that was read is kept.
func (b *body) replayable() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return !b.spent && !b.tooLarge
}

func (b *body) overflowed() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.tooLarge
}

type bodyReader struct {
	body *body
	try  int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.lock.Lock()
	defer b.lock.Unlock()
	if r.try != b.try {
		return 0, errPast
	}
	if b.replay < b.kept.Len() {
		n := copy(p, b.kept.Bytes()[b.replay:])
		b.replay += n
		return n, nil
	}
	return b.read(p)
}

// read takes the next bytes from the caller.
func (b *body) read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		b.tooLarge = true
		return 0, errTooLarge
	}
	if b.kept.Len()+n > keptBody {
		b.spent = true
	}
	if !b.spent {
		b.kept.Write(p[:n])
		b.replay = b.kept.Len()
	}
	return n, err
}
