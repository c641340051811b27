package cicadawire

import (
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc/drpcwire"

	"cicadalink.example/cicadakernel/cicadamemory"
)

const (
	// maxFrameHeader is the size of the longest header of a frame, in bytes: its control byte and
	// three variable-length integers.
	maxFrameHeader = 1 + 3*10
	// messageMemory is how many times its bytes a message takes in memory: as it is received and
	// as it is decoded.
	messageMemory = 2
)

// A receivedListener accepts connections that reserve the memory of received messages.
type receivedListener struct {
	net.Listener
	memory *cicadamemory.Budget
}

// Accept implements net.Listener.
func (l receivedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &receivedConn{Conn: conn, held: l.memory.Reserve()}, nil
}

// A receivedConn reserves the memory of the message that is received, until something is sent
// after it was complete or the next message begins.
type receivedConn struct {
	net.Conn
	mu     sync.Mutex
	closed bool
	held   *cicadamemory.Reservation
	frames frameScanner
}

// Read implements net.Conn. It closes the connection if there is no memory for a message.
func (c *receivedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if memoryErr := c.reserve(p[:n]); memoryErr != nil {
		_ = c.Close()
		return 0, memoryErr
	}
	return n, err
}

func (c *receivedConn) reserve(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if err := c.frames.scan(b); err != nil {
		return err
	}
	if err := c.held.Resize(int64(messageMemory * c.frames.size)); err != nil {
		return merry.Errorf("receive message: %w", err)
	}
	return nil
}

// Write implements net.Conn.
func (c *receivedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.frames.complete {
		c.held.Release()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *receivedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.held.Release()
	return err
}

// A frameScanner follows the frames of messages as their bytes arrive.
type frameScanner struct {
	header   []byte // of a frame, until it is complete
	payload  uint64 // bytes of the frame that are still to come
	last     bool   // whether the frame is the last of its message
	size     int    // bytes of the message so far
	complete bool   // whether the message is complete
}

// scan takes the next bytes of a connection.
func (s *frameScanner) scan(b []byte) error {
	for len(b) > 0 {
		if s.complete {
			s.size, s.complete = 0, false
		}
		if s.payload == 0 {
			s.header = append(s.header, b[0])
			s.size++
			b = b[1:]
			if err := s.parseHeader(); err != nil {
				return err
			}
			continue
		}
		n := min(s.payload, uint64(len(b)))
		s.size += int(n)
		s.payload -= n
		b = b[n:]
		s.complete = s.payload == 0 && s.last
	}
	return nil
}

// parseHeader begins a frame once its header is complete.
func (s *frameScanner) parseHeader() error {
	rest := s.header[1:]
	var value uint64
	for range 3 { // the ids of stream and message, and the length
		var ok bool
		var err error
		if rest, value, ok, err = drpcwire.ReadVarint(rest); err != nil {
			return merry.Errorf("read frame: %w", err)
		}
		if !ok && len(s.header) >= maxFrameHeader {
			return merry.New("frame header too long")
		}
		if !ok {
			return nil
		}
	}
	s.last = s.header[0]&1 != 0
	s.payload, s.header = value, s.header[:0]
	s.complete = value == 0 && s.last
	return nil
}
