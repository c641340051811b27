package cicadamemory

import (
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	minChunkSize = 1 << 10  // bytes
	maxChunkSize = 64 << 10 // bytes
	growth       = 4        // a Buffer grows by this part of its size
)

// ErrTooLarge reports more bytes than the limit of ReadAll.
var ErrTooLarge = merry.Sentinel("cicadamemory: too many bytes")

// A Buffer holds bytes in chunks, each of which is reserved before it is allocated. It does not
// copy what it holds to grow.
type Buffer struct {
	chunks   [][]byte
	size     int
	reserved *Reservation
}

// NewBuffer returns an empty Buffer.
func (b *Budget) NewBuffer() *Buffer { return &Buffer{reserved: b.Reserve()} }

// ReadAll is like Buffer.ReadAll with a new Buffer. After an error nothing is held.
func (b *Budget) ReadAll(r io.Reader, limit int64) (*Buffer, error) {
	buffer := b.NewBuffer()
	if err := buffer.ReadAll(r, limit); err != nil {
		buffer.Release()
		return nil, err
	}
	return buffer, nil
}

// ReadAll appends what r has until its end. It fails with ErrTooLarge if the Buffer would hold
// more than limit bytes and with ErrExhausted if the budget has no room for them. Whatever was
// read is held until Release, also after an error.
func (b *Buffer) ReadAll(r io.Reader, limit int64) error {
	for {
		err := b.readChunk(r, min(max(b.size/growth, minChunkSize), maxChunkSize))
		if int64(b.size) > limit && (err == nil || err == io.EOF) {
			return merry.Errorf("more than %d bytes: %w", limit, ErrTooLarge)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readChunk adds a chunk and fills it. Its error is that of the reader, unchanged, if it cannot be
// filled.
func (b *Buffer) readChunk(r io.Reader, size int) error {
	if err := b.reserved.Grow(int64(size)); err != nil {
		return err
	}
	chunk, n := make([]byte, size), 0
	var err error
	for n < size && err == nil {
		var read int
		read, err = r.Read(chunk[n:])
		n += read
	}
	b.chunks = append(b.chunks, chunk[:n])
	b.size += n
	return err
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.size }

// Bytes returns all bytes in one slice, which is valid until Release.
func (b *Buffer) Bytes() []byte {
	switch len(b.chunks) {
	case 0:
		return nil
	case 1:
		return b.chunks[0]
	}
	joined := make([]byte, 0, b.size)
	for _, chunk := range b.chunks {
		joined = append(joined, chunk...)
	}
	b.chunks = [][]byte{joined}
	return joined
}

// WriteTo writes all bytes. It implements io.WriterTo.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, chunk := range b.chunks {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, merry.Errorf("write buffer: %w", err)
		}
	}
	return written, nil
}

// Release gives the memory back to the budget.
func (b *Buffer) Release() {
	b.chunks, b.size = nil, 0
	b.reserved.Release()
}
