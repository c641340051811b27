// Package cicadafile keeps uploaded files in the platform's Object API. A file
// is cut into parts of whole lines, each one object, and is there once its
// description is written. The id of a file follows from its content, so a file
// that is uploaded twice is kept once.
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
// An upload streams: at most one part is in memory.
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
	// MaxLine is the longest line of a file, in bytes.
	MaxLine = 1 << 20
	// MaxLines is how many lines a file may have.
	MaxLines = 1 << 20
	// partBytes is the size of a part before compression.
	partBytes  = 512 << 10
	partLimit  = 1000 << 10
	readBuffer = 64 << 10
	idBytes    = 16
	listPage   = 100
)

// Files are the files of all customers.
type Files struct {
	store *cicadaplatform.Client
	nonce func() uint64
	now   func() time.Time
}

// New returns the files of a platform; nonce returns numbers that do not
// repeat.
func New(store *cicadaplatform.Client, nonce func() uint64) *Files {
	return &Files{store: store, nonce: nonce, now: time.Now}
}

func metaPrefix(customer string) string { return "file/" + customer + "/meta/" }

func metaName(customer, id string) string { return metaPrefix(customer) + id }

func partName(customer, upload string, part int64) string {
	return fmt.Sprintf("file/%s/part/%s/%06d", customer, upload, part)
}

// Upload stores a file. A file of the same content and purpose that is there
// already is returned instead.
func (f *Files) Upload(ctx context.Context, customer, name, purpose string, r io.Reader) (*cicadawire.FileMeta, error) {
	meta := &cicadawire.FileMeta{
		Customer:  customer,
		Name:      name,
		Purpose:   purpose,
		CreatedMs: f.now().UnixMilli(),
		Upload:    fmt.Sprintf("%016x", f.nonce()),
	}
	sum := sha256.New()
	_, _ = io.WriteString(sum, customer+"\x00"+purpose+"\x00")
	if err := f.writeParts(ctx, meta, io.TeeReader(r, sum)); err != nil {
		f.discard(context.WithoutCancel(ctx), meta)
		return nil, err
	}
	meta.Id = "file-" + hex.EncodeToString(sum.Sum(nil)[:idBytes])
	return f.publish(ctx, meta)
}

func (f *Files) publish(ctx context.Context, meta *cicadawire.FileMeta) (*cicadawire.FileMeta, error) {
	value, err := proto.Marshal(meta)
	if err != nil {
		return nil, merry.Errorf("encode file: %w", err)
	}
	_, err = f.store.Create(ctx, cicadaplatform.ClassUpload, metaName(meta.GetCustomer(), meta.GetId()), value)
	if errors.Is(err, cicadaplatform.ErrExists) {
		f.discard(ctx, meta)
		return f.Get(ctx, meta.GetCustomer(), meta.GetId())
	}
	if err != nil {
		return nil, storeError(err)
	}
	return meta, nil
}

func storeError(err error) error {
	return cicadaerror.New(cicadaerror.Unavailable, "the platform's store does not answer: %w", err).RetryAfter(time.Second)
}

func (f *Files) writeParts(ctx context.Context, meta *cicadawire.FileMeta, r io.Reader) error {
	lines := bufio.NewReaderSize(r, readBuffer)
	var part bytes.Buffer
	for {
		line, err := readLine(lines)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		last := errors.Is(err, io.EOF)
		if part.Len() > 0 && (last || part.Len()+len(line) > partBytes) {
			if err := f.writePart(ctx, meta, part.Bytes()); err != nil {
				return err
			}
			part.Reset()
		}
		if last {
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

// readLine returns the next line with its newline, which it adds to a last line
// without one.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.ReadSlice('\n')
		line = append(line, chunk...)
		if len(line) > MaxLine {
			return nil, cicadaerror.New(cicadaerror.TooLarge, "a line is longer than %d bytes", MaxLine)
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
		return nil, cicadaerror.New(cicadaerror.BadRequest, "upload broke off: %w", err)
	}
}

func (f *Files) writePart(ctx context.Context, meta *cicadawire.FileMeta, data []byte) error {
	packed := cicadalog.Compress(data)
	if len(packed) > partLimit {
		return f.writeHalves(ctx, meta, data)
	}
	_, err := f.store.Create(ctx, cicadaplatform.ClassUpload, partName(meta.GetCustomer(), meta.GetUpload(), meta.GetParts()), packed)
	if err != nil {
		return storeError(err)
	}
	meta.Parts++
	return nil
}

// writeHalves splits a part that does not compress at a line in its middle.
func (f *Files) writeHalves(ctx context.Context, meta *cicadawire.FileMeta, data []byte) error {
	middle := bytes.IndexByte(data[len(data)/2:], '\n') + len(data)/2 + 1
	if middle >= len(data) {
		middle = bytes.LastIndexByte(data[:len(data)/2], '\n') + 1
	}
	if middle <= 0 || middle >= len(data) {
		return cicadaerror.New(cicadaerror.TooLarge, "a line does not fit into the store")
	}
	if err := f.writePart(ctx, meta, data[:middle]); err != nil {
		return err
	}
	return f.writePart(ctx, meta, data[middle:])
}

// discard deletes the parts of an upload that is not used. Parts that it cannot
// delete are only a waste of space.
func (f *Files) discard(ctx context.Context, meta *cicadawire.FileMeta) {
	for part := range meta.GetParts() {
		name := partName(meta.GetCustomer(), meta.GetUpload(), part)
		obj, err := f.store.Get(ctx, name)
		if err != nil {
			continue
		}
		_ = f.store.Delete(ctx, cicadaplatform.ClassUpload, name, obj.Version())
	}
}

// Get returns the description of a file.
func (f *Files) Get(ctx context.Context, customer, id string) (*cicadawire.FileMeta, error) {
	obj, err := f.store.Get(ctx, metaName(customer, id))
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return nil, cicadaerror.New(cicadaerror.NotFound, "no file %q", id)
	}
	if err != nil {
		return nil, storeError(err)
	}
	meta := &cicadawire.FileMeta{}
	if err := proto.Unmarshal(obj.Value(), meta); err != nil {
		return nil, merry.Errorf("decode file %s: %w", id, err)
	}
	return meta, nil
}

// List returns the descriptions of a customer's files.
func (f *Files) List(ctx context.Context, customer string) ([]*cicadawire.FileMeta, error) {
	var found []*cicadawire.FileMeta
	after := ""
	for {
		page, err := f.store.List(ctx, metaPrefix(customer), after, listPage)
		if err != nil {
			return nil, storeError(err)
		}
		for _, obj := range page.Objects() {
			meta := &cicadawire.FileMeta{}
			if err := proto.Unmarshal(obj.Value(), meta); err != nil {
				return nil, merry.Errorf("decode file %s: %w", obj.Name(), err)
			}
			found = append(found, meta)
			after = obj.Name()
		}
		if !page.More() {
			return found, nil
		}
	}
}

// Delete removes a file's description and then its parts.
func (f *Files) Delete(ctx context.Context, customer, id string) error {
	obj, err := f.store.Get(ctx, metaName(customer, id))
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return cicadaerror.New(cicadaerror.NotFound, "no file %q", id)
	}
	if err != nil {
		return storeError(err)
	}
	meta := &cicadawire.FileMeta{}
	if err := proto.Unmarshal(obj.Value(), meta); err != nil {
		return merry.Errorf("decode file %s: %w", id, err)
	}
	if err := f.store.Delete(ctx, cicadaplatform.ClassUpload, obj.Name(), obj.Version()); err != nil {
		return storeError(err)
	}
	f.discard(ctx, meta)
	return nil
}

// Lines returns a reader of a file's lines.
func (f *Files) Lines(meta *cicadawire.FileMeta) *Lines {
	return &Lines{files: f, meta: meta}
}

// Lines reads a file line by line. It holds one part in memory.
type Lines struct {
	files *Files
	meta  *cicadawire.FileMeta
	part  int64
	data  []byte
}

// Next returns the next line without its newline, or io.EOF. After another
// error it may be called again.
func (l *Lines) Next(ctx context.Context) ([]byte, error) {
	for len(l.data) == 0 {
		if l.part >= l.meta.GetParts() {
			return nil, io.EOF
		}
		obj, err := l.files.store.Get(ctx, partName(l.meta.GetCustomer(), l.meta.GetUpload(), l.part))
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

// Copy writes the file's content to w.
func (l *Lines) Copy(ctx context.Context, w io.Writer) error {
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
