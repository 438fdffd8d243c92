package linker

import (
	"storj.io/drpc/drpcwire"
)

const (
	// maxFrameBytes is the maximum number of data bytes of a frame that this process
	// sends. The reader of drpc keeps a buffer of more than the longest frame that it
	// has received until its connection is closed.
	maxFrameBytes = 4 << 10
	// maxMethodBytes bounds the name of a method.
	maxMethodBytes = 256
	// quietPackets is the number of successive small packets after which the reader of
	// drpc has released the buffer for a large one before them.
	quietPackets = 11
	// quietDivisor divides the length of a packet to give the maximum length of those
	// that count as small after it.
	quietDivisor = 4
)

// frameField is a part of a frame on the wire.
type frameField int

const (
	fieldControl frameField = iota
	fieldStream
	fieldMessage
	fieldLength
	fieldData
)

// frameScanner follows the frames on a connection as the reader of drpc does, and
// estimates the memory that this reader takes. Its fields hold no data except the name
// of the first method.
type frameScanner struct {
	// methods holds the names of the methods that may be called.
	methods map[string]bool
	field   frameField
	value   uint64
	shift   uint
	kind    drpcwire.Kind
	done    bool
	id      drpcwire.ID
	// remaining is the number of data bytes of the frame that have not arrived, and
	// arrived the number of those that have.
	remaining uint64
	arrived   uint64
	// packet is the ID of the last packet, and size the number of its data bytes so
	// far, or 0 once it is complete.
	packet     drpcwire.ID
	incomplete bool
	size       uint64
	// longest is the number of data bytes of the longest frame, and retained the size
	// of the buffer for packets that the reader keeps.
	longest  uint64
	retained uint64
	quiet    int
	name     []byte
	// opened is set once the first frame was valid, and message once a message of the
	// last call is complete.
	opened  bool
	message bool
}

// scan reads the next bytes. It reports false if they are no valid frame, or not the
// first frame of a call to a known method.
func (s *frameScanner) scan(p []byte) bool {
	for len(p) > 0 {
		if s.field == fieldData {
			n := min(uint64(len(p)), s.remaining)
			if !s.opened {
				s.name = append(s.name, p[:n]...)
			}
			s.addData(n)
			p = p[n:]
		} else {
			if !s.scanHeader(p[0]) {
				return false
			}
			p = p[1:]
		}
		if s.field == fieldData && s.remaining == 0 && !s.endFrame() {
			return false
		}
	}
	return true
}

// scanHeader reads one byte before the data of a frame.
func (s *frameScanner) scanHeader(c byte) bool {
	if s.field == fieldControl {
		s.kind = drpcwire.Kind(c & 0b01111110 >> 1)
		s.done = c&1 != 0
		s.field = fieldStream
		return s.opened || c == byte(drpcwire.KindInvoke)<<1|1
	}
	if s.shift >= 64 {
		return false
	}
	s.value |= uint64(c&127) << s.shift
	s.shift += 7
	if c >= 128 {
		return true
	}
	value := s.value
	s.value, s.shift = 0, 0
	switch s.field {
	case fieldStream:
		s.id.Stream = value
	case fieldMessage:
		s.id.Message = value
	case fieldLength:
		return s.beginData(value)
	}
	s.field++
	return true
}

// beginData begins the data of a frame.
func (s *frameScanner) beginData(length uint64) bool {
	s.field = fieldData
	s.remaining = length
	s.arrived = 0
	if !s.incomplete || s.id != s.packet {
		s.packet = s.id
		s.size = 0
		s.incomplete = true
	}
	if !s.opened {
		return length <= maxMethodBytes
	}
	return length <= maxMessageBytes
}

func (s *frameScanner) addData(n uint64) {
	s.remaining -= n
	s.arrived += n
	s.size += n
	s.longest = max(s.longest, s.arrived)
}

// endFrame ends a frame. It reports false if that was the first one and it does not
// name a known method.
func (s *frameScanner) endFrame() bool {
	s.field = fieldControl
	if !s.opened {
		s.opened = s.methods[string(s.name)]
		s.name = nil
	}
	if s.done {
		s.endPacket()
	}
	return s.opened
}

func (s *frameScanner) endPacket() {
	switch s.kind {
	case drpcwire.KindInvoke:
		s.message = false
	case drpcwire.KindMessage:
		s.message = true
	}
	if s.size < s.retained/quietDivisor {
		s.quiet++
	} else {
		s.quiet = 0
		s.retained = max(s.retained, s.size)
	}
	s.incomplete = false
	s.size = 0
}

// settle records that the reader has passed on all packets that were complete in the
// bytes so far.
func (s *frameScanner) settle() {
	if s.quiet >= quietPackets {
		s.quiet = 0
		s.retained = 0
	}
}

// cost returns the number of bytes that the reader holds for packets, and for frames
// beyond the usual length.
func (s *frameScanner) cost() int64 {
	cost := max(s.retained, s.size)
	if s.longest > maxFrameBytes {
		cost += s.longest
	}
	return int64(cost)
}
