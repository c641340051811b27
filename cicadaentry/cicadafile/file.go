// Package cicadafile stores uploaded files in the platform's Object API. A file
// is split at line ends into compressed parts, each of which is one object, and
// becomes visible when its metadata object is written. A file's ID is a hash of
// its content, so a file that is uploaded twice is stored once.
//
// # Usage
//
//	files := cicadafile.New(store, nonce)
//	meta, err := files.Upload(ctx, "mallet-shop", "cards.jsonl", "batch", body)
//	lines := files.Lines(meta)
//	for {
//		line, err := lines.Next(ctx) // io.EOF at the end
//	}
//
// Uploads are streamed, with at most one part in memory.
package cicadafile

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadalog"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	// MaxLineBytes is the length of the longest line that a file may have,
	// including its newline.
	MaxLineBytes = 1 << 20
	// MaxLines is the number of non-blank lines that a file may have.
	MaxLines = 1 << 20
	// targetPartBytes is the size of a part before compression, unless a single
	// line is longer.
	targetPartBytes = 512 << 10
	// maxCompressedPartBytes is the largest size of a part as it is stored. A
	// larger one is split.
	maxCompressedPartBytes = 1000 << 10
	readBufferBytes        = 64 << 10
	idBytes                = 16
	listPageSize           = 100
)

// A Store stores the files of all customers.
type Store struct {
	objects *cicadaplatform.Client
	nonce   func() uint64
	now     func() time.Time
}

// New returns a Store that uses a platform client. The numbers that nonce returns
// identify uploads and must be unique across all entries.
func New(objects *cicadaplatform.Client, nonce func() uint64) *Store {
	return &Store{objects: objects, nonce: nonce, now: time.Now}
}

func metaPrefix(customer string) string { return "file/" + customer + "/meta/" }

func metaName(customer, id string) string { return metaPrefix(customer) + id }

func partName(customer, upload string, part int64) string {
	return fmt.Sprintf("file/%s/part/%s/%06d", customer, upload, part)
}

// Upload stores a file and returns its metadata. If a file with the same content
// and purpose exists already, it returns that file's metadata.
func (s *Store) Upload(ctx context.Context, customer, name, purpose string, r io.Reader) (*cicadawire.FileMeta, error) {
	meta := &cicadawire.FileMeta{
		Customer:  customer,
		Name:      name,
		Purpose:   purpose,
		CreatedMs: s.now().UnixMilli(),
		Upload:    fmt.Sprintf("%016x", s.nonce()),
	}
	hash := sha256.New()
	_, _ = io.WriteString(hash, customer+"\x00"+purpose+"\x00")
	if err := s.writeParts(ctx, meta, io.TeeReader(r, hash)); err != nil {
		s.deleteParts(context.WithoutCancel(ctx), meta)
		return nil, err
	}
	meta.Id = "file-" + hex.EncodeToString(hash.Sum(nil)[:idBytes])
	return s.writeMeta(ctx, meta)
}

func (s *Store) writeMeta(ctx context.Context, meta *cicadawire.FileMeta) (*cicadawire.FileMeta, error) {
	data, err := proto.Marshal(meta)
	if err != nil {
		return nil, merry.Errorf("encode file metadata: %w", err)
	}
	_, err = s.objects.Create(ctx, cicadaplatform.ClassUpload, metaName(meta.GetCustomer(), meta.GetId()), data)
	if errors.Is(err, cicadaplatform.ErrExists) {
		s.deleteParts(ctx, meta)
		return s.Get(ctx, meta.GetCustomer(), meta.GetId())
	}
	if err != nil {
		return nil, storeError(err)
	}
	return meta, nil
}

func storeError(err error) error {
	return cicadaerror.New(cicadaerror.Unavailable, "the platform's Object API is unavailable: %w", err).RetryAfter(time.Second)
}

func (s *Store) writeParts(ctx context.Context, meta *cicadawire.FileMeta, r io.Reader) error {
	lines := bufio.NewReaderSize(r, readBufferBytes)
	var part bytes.Buffer
	for {
		line, err := readLine(lines)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		atEOF := errors.Is(err, io.EOF)
		if part.Len() > 0 && (atEOF || part.Len()+len(line) > targetPartBytes) {
			if err := s.writePart(ctx, meta, part.Bytes()); err != nil {
				return err
			}
			part.Reset()
		}
		if atEOF {
			return nil
		}
		meta.Bytes += int64(len(line))
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		meta.Lines++
		if meta.GetLines() > MaxLines {
			return cicadaerror.New(cicadaerror.TooLarge, "file has more than %d lines", MaxLines)
		}
		part.Write(line)
	}
}

// readLine returns the next line including its newline. It adds a newline to a last
// line that has none.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.ReadSlice('\n')
		line = append(line, chunk...)
		if len(line) > MaxLineBytes {
			return nil, cicadaerror.New(cicadaerror.TooLarge, "a line is longer than %d bytes", MaxLineBytes)
		}
		switch {
		case err == nil:
			return line, nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(line) > 0:
			return append(line, '\n'), nil
		case errors.Is(err, io.EOF):
			return nil, io.EOF
		}
		return nil, cicadaerror.New(cicadaerror.BadRequest, "upload was interrupted: %w", err)
	}
}

func (s *Store) writePart(ctx context.Context, meta *cicadawire.FileMeta, data []byte) error {
	compressed := cicadalog.Compress(data)
	if len(compressed) > maxCompressedPartBytes {
		return s.splitPart(ctx, meta, data)
	}
	_, err := s.objects.Create(ctx, cicadaplatform.ClassUpload, partName(meta.GetCustomer(), meta.GetUpload(), meta.GetParts()), compressed)
	if err != nil {
		return storeError(err)
	}
	meta.Parts++
	return nil
}

// splitPart splits a part that is too large after compression at a line end near
// its middle, and writes both halves.
func (s *Store) splitPart(ctx context.Context, meta *cicadawire.FileMeta, data []byte) error {
	middle := bytes.IndexByte(data[len(data)/2:], '\n') + len(data)/2 + 1
	if middle >= len(data) {
		middle = bytes.LastIndexByte(data[:len(data)/2], '\n') + 1
	}
	if middle <= 0 || middle >= len(data) {
		return cicadaerror.New(cicadaerror.TooLarge, "a line is too long to be stored")
	}
	if err := s.writePart(ctx, meta, data[:middle]); err != nil {
		return err
	}
	return s.writePart(ctx, meta, data[middle:])
}

// deleteParts deletes the parts of an upload. It ignores errors, because parts that
// remain only use space.
func (s *Store) deleteParts(ctx context.Context, meta *cicadawire.FileMeta) {
	for part := range meta.GetParts() {
		name := partName(meta.GetCustomer(), meta.GetUpload(), part)
		obj, err := s.objects.Get(ctx, name)
		if err != nil {
			continue
		}
		_ = s.objects.Delete(ctx, cicadaplatform.ClassUpload, name, obj.Version())
	}
}

// Get returns the metadata of a file.
func (s *Store) Get(ctx context.Context, customer, id string) (*cicadawire.FileMeta, error) {
	obj, err := s.objects.Get(ctx, metaName(customer, id))
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return nil, cicadaerror.New(cicadaerror.NotFound, "no file %q", id)
	}
	if err != nil {
		return nil, storeError(err)
	}
	meta := &cicadawire.FileMeta{}
	if err := proto.Unmarshal(obj.Value(), meta); err != nil {
		return nil, merry.Errorf("decode metadata of file %s: %w", id, err)
	}
	return meta, nil
}

// List returns the metadata of a customer's files.
func (s *Store) List(ctx context.Context, customer string) ([]*cicadawire.FileMeta, error) {
	var metas []*cicadawire.FileMeta
	after := ""
	for {
		page, err := s.objects.List(ctx, metaPrefix(customer), after, listPageSize)
		if err != nil {
			return nil, storeError(err)
		}
		for _, obj := range page.Objects() {
			meta := &cicadawire.FileMeta{}
			if err := proto.Unmarshal(obj.Value(), meta); err != nil {
				return nil, merry.Errorf("decode metadata of file %s: %w", obj.Name(), err)
			}
			metas = append(metas, meta)
			after = obj.Name()
		}
		if !page.More() {
			return metas, nil
		}
	}
}

// Delete deletes a file's metadata and then its parts.
func (s *Store) Delete(ctx context.Context, customer, id string) error {
	obj, err := s.objects.Get(ctx, metaName(customer, id))
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return cicadaerror.New(cicadaerror.NotFound, "no file %q", id)
	}
	if err != nil {
		return storeError(err)
	}
	meta := &cicadawire.FileMeta{}
	if err := proto.Unmarshal(obj.Value(), meta); err != nil {
		return merry.Errorf("decode metadata of file %s: %w", id, err)
	}
	if err := s.objects.Delete(ctx, cicadaplatform.ClassUpload, obj.Name(), obj.Version()); err != nil {
		return storeError(err)
	}
	s.deleteParts(ctx, meta)
	return nil
}

// Lines returns a LineReader at the first line of a file.
func (s *Store) Lines(meta *cicadawire.FileMeta) *LineReader {
	return &LineReader{store: s, meta: meta}
}

// A LineReader reads a file line by line, with one part in memory.
type LineReader struct {
	store *Store
	meta  *cicadawire.FileMeta
	part  int64
	data  []byte
}

// Next returns the next line without its newline, or io.EOF after the last one. A
// call that failed with another error may be repeated.
func (l *LineReader) Next(ctx context.Context) ([]byte, error) {
	for len(l.data) == 0 {
		if l.part >= l.meta.GetParts() {
			return nil, io.EOF
		}
		obj, err := l.store.objects.Get(ctx, partName(l.meta.GetCustomer(), l.meta.GetUpload(), l.part))
		if err != nil {
			return nil, merry.Errorf("read part %d of file %s: %w", l.part, l.meta.GetId(), err)
		}
		data, err := cicadalog.Decompress(obj.Value())
		if err != nil {
			return nil, merry.Errorf("read part %d of file %s: %w", l.part, l.meta.GetId(), err)
		}
		l.data = data
		l.part++
	}
	line, rest, _ := bytes.Cut(l.data, []byte("\n"))
	l.data = rest
	return line, nil
}

// Copy writes the remaining lines to w.
func (l *LineReader) Copy(ctx context.Context, w io.Writer) error {
	for {
		line, err := l.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return storeError(err)
		}
		if _, err := w.Write(append(line[:len(line):len(line)], '\n')); err != nil {
			return merry.Errorf("write file: %w", err)
		}
	}
}
