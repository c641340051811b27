// Package cicadacheckpoint stores records in a directory from which they can be restored
// after a crash of the process or its VM.
//
// Records are appended to numbered files. Each is preceded by its length and a checksum.
// A power loss can leave the last writes complete, torn or missing, so each file is read
// up to its first incomplete or damaged record. The directory is a cache: its records may
// be outdated or missing, and callers must be able to work without them.
//
// # Usage
//
//	log, err := cicadacheckpoint.Open("/data/owner", func(record []byte) { ... })
//	err = log.Append(record)         // returns once the record is on disk
//	if log.Size() > limit {
//		err = log.Replace(record)    // the record contains everything still needed
//	}
package cicadacheckpoint

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
)

const (
	fileSuffix = ".checkpoint"
	headerSize = 8 // bytes: length and checksum
	fileMode   = 0o600
	dirMode    = 0o700
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errTorn    = merry.Sentinel("cicadacheckpoint: torn record")
)

// A Log is a directory of records that is open for writing. It must not be used by more
// than one goroutine at a time.
type Log struct {
	dir        string
	fileNumber int // of the file being written
	file       *os.File
	fileSize   int64
	tornFiles  int
}

// Open reads the records of a directory, which it creates if it does not exist, and
// starts a new file. It calls handle for each record in the order in which they were
// appended. Earlier files remain until the next Replace.
func Open(dir string, handle func(record []byte)) (*Log, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, merry.Errorf("create checkpoint directory: %w", err)
	}
	l := &Log{dir: dir}
	numbers, err := l.fileNumbers()
	if err != nil {
		return nil, err
	}
	for _, n := range numbers {
		if err := l.readFile(n, handle); err != nil {
			return nil, err
		}
		l.fileNumber = n
	}
	if err := l.startFile(); err != nil {
		return nil, err
	}
	return l, nil
}

// TornFiles returns the number of files that Open found to end in an incomplete or damaged
// record.
func (l *Log) TornFiles() int { return l.tornFiles }

// Size returns the size of the file being written, in bytes.
func (l *Log) Size() int64 { return l.fileSize }

// Append appends a record and returns once it is synced to disk. After an error only
// Replace may be called next, since the file may end in a partial record.
func (l *Log) Append(record []byte) error {
	if l.file == nil {
		return merry.Errorf("append checkpoint: %w", os.ErrClosed)
	}
	frame := make([]byte, headerSize, headerSize+len(record))
	binary.LittleEndian.PutUint32(frame, uint32(len(record)))
	binary.LittleEndian.PutUint32(frame[4:], checksum(frame[:4], record))
	frame = append(frame, record...)
	if _, err := l.file.Write(frame); err != nil {
		return merry.Errorf("append checkpoint: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return merry.Errorf("sync checkpoint: %w", err)
	}
	l.fileSize += int64(len(frame))
	return nil
}

// Replace starts a new file with a record, and removes all earlier files once the record
// is synced to disk.
func (l *Log) Replace(record []byte) error {
	if err := l.startFile(); err != nil {
		return err
	}
	if err := l.Append(record); err != nil {
		return err
	}
	numbers, err := l.fileNumbers()
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= l.fileNumber {
			continue
		}
		if err := os.Remove(l.filePath(n)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return merry.Errorf("remove old checkpoint: %w", err)
		}
	}
	return nil
}

// Close closes the file being written.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if err != nil {
		return merry.Errorf("close checkpoint: %w", err)
	}
	return nil
}

func (l *Log) filePath(number int) string {
	return filepath.Join(l.dir, fmt.Sprintf("%08d%s", number, fileSuffix))
}

// fileNumbers returns the numbers of the files, the oldest first.
func (l *Log) fileNumbers() ([]int, error) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, merry.Errorf("list checkpoints: %w", err)
	}
	var numbers []int
	for _, entry := range entries { // sorted by name and so by number, as all names have the same length
		n := 0
		if _, err := fmt.Sscanf(entry.Name(), "%08d"+fileSuffix, &n); err == nil && entry.Name() == filepath.Base(l.filePath(n)) {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// startFile creates the next file and directs writes to it.
func (l *Log) startFile() error {
	_ = l.Close() // after a failed write or close, the file is readable up to its first torn record
	l.fileNumber++
	file, err := os.OpenFile(l.filePath(l.fileNumber), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return merry.Errorf("create checkpoint file: %w", err)
	}
	l.file, l.fileSize = file, 0
	return nil
}

func (l *Log) readFile(number int, handle func([]byte)) error {
	file, err := os.Open(l.filePath(number))
	if err != nil {
		return merry.Errorf("open checkpoint file: %w", err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return merry.Errorf("read checkpoint: %w", err)
	}
	r, remaining := bufio.NewReader(file), info.Size()
	for {
		record, err := readRecord(r, remaining)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, errTorn):
			l.tornFiles++
			return nil
		case err != nil:
			return merry.Errorf("read checkpoint: %w", err)
		}
		remaining -= int64(headerSize + len(record))
		handle(record)
	}
}

// readRecord reads the next record of a file that has the given number of bytes remaining.
// It returns errTorn if the record is incomplete or damaged.
func readRecord(r io.Reader, remaining int64) ([]byte, error) {
	var header [headerSize]byte
	switch _, err := io.ReadFull(r, header[:]); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errTorn
	case err != nil:
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if int64(length) > remaining-headerSize {
		return nil, errTorn
	}
	record := make([]byte, length)
	switch _, err := io.ReadFull(r, record); {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return nil, errTorn
	case err != nil:
		return nil, err
	}
	if checksum(header[:4], record) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, errTorn
	}
	return record, nil
}

// checksum covers the length as well, so that a run of zero bytes is not a valid record.
func checksum(length, record []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, record)
}
