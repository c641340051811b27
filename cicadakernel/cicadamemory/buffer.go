package cicadamemory

import (
	"io"
	"sync"

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
	joined   bool // whether chunks is one slice that Bytes has returned
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
	chunk, n := newChunk(size), 0
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

// chunkPool has chunks of maxChunkSize. Endless responses would otherwise leave more garbage than
// the collector keeps up with.
var chunkPool = sync.Pool{New: func() any { return new([maxChunkSize]byte) }}

func newChunk(size int) []byte {
	if size < maxChunkSize {
		return make([]byte, size)
	}
	return chunkPool.Get().(*[maxChunkSize]byte)[:]
}

// dropChunks drops the chunks and reuses the largest. Bytes has returned none of those: it returns a
// chunk only if it is the first, which is small.
func (b *Buffer) dropChunks() {
	for _, chunk := range b.chunks {
		if cap(chunk) == maxChunkSize && !b.joined {
			chunkPool.Put((*[maxChunkSize]byte)(chunk[:maxChunkSize]))
		}
	}
	b.chunks = nil
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
	b.dropChunks()
	b.chunks, b.joined = [][]byte{joined}, true
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
	b.dropChunks()
	b.size, b.joined = 0, false
	b.reserved.Release()
}
