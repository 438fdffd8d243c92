package sender

// headScanner finds the end of the head of a response.
type headScanner struct {
	lineBytes int
	ended     bool
}

// scan reads the next bytes and returns how many of them belong to the head, and how
// many lines end in these.
func (s *headScanner) scan(p []byte) (n, lines int) {
	for i, c := range p {
		if s.ended {
			return i, lines
		}
		switch c {
		case '\n':
			lines++
			s.ended = s.lineBytes == 0
			s.lineBytes = 0
		case '\r':
		default:
			s.lineBytes++
		}
	}
	return len(p), lines
}
