// Package cicadacheckpoint keeps records in a folder, so that a process finds them
// after a crash of the process or of its VM.
//
// Records stand in numbered files, each with its length and a checksum. What a
// power loss leaves of the last writes, whole, torn or nothing, is read up to the
// first record that is not whole. The folder is a cache: what it holds may be old
// or gone, and whoever uses it must do without.
//
// # Usage
//
//	log, err := cicadacheckpoint.Open("/data/owner", func(record []byte) { ... })
//	err = log.Append(record)         // returns when the record lasts
//	if log.Size() > limit {
//		err = log.Replace(record)    // the record holds all that is still needed
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
	suffix     = ".checkpoint"
	headerSize = 8 // bytes: length and checksum
	fileMode   = 0o600
	folderMode = 0o700
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errTorn    = merry.Sentinel("cicadacheckpoint: torn record")
)

// A Log is the folder, open for writing. It is used by one goroutine at a time.
type Log struct {
	dir    string
	number int // of the newest file
	file   *os.File
	size   int64
	torn   int
}

// Open reads the records of a folder, which it makes if there is none, in the order
// in which they were appended, and begins a new file. The records of earlier files
// stay until Replace.
func Open(dir string, each func(record []byte)) (*Log, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, merry.Errorf("make checkpoint folder: %w", err)
	}
	l := &Log{dir: dir}
	numbers, err := l.files()
	if err != nil {
		return nil, err
	}
	for _, n := range numbers {
		if err := l.read(n, each); err != nil {
			return nil, err
		}
		l.number = n
	}
	if err := l.begin(); err != nil {
		return nil, err
	}
	return l, nil
}

// Torn returns how many files ended in a record that was not whole when the folder
// was opened.
func (l *Log) Torn() int { return l.torn }

// Size returns the bytes in the newest file.
func (l *Log) Size() int64 { return l.size }

// Append adds a record and returns when it lasts. After an error only Replace may
// follow, since the file may end in a part of the record.
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
	l.size += int64(len(frame))
	return nil
}

// Replace begins a new file with a record and removes all earlier ones once the
// record lasts.
func (l *Log) Replace(record []byte) error {
	if err := l.begin(); err != nil {
		return err
	}
	if err := l.Append(record); err != nil {
		return err
	}
	numbers, err := l.files()
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= l.number {
			continue
		}
		if err := os.Remove(l.path(n)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return merry.Errorf("remove old checkpoint: %w", err)
		}
	}
	return nil
}

// Close closes the newest file.
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

func (l *Log) path(number int) string {
	return filepath.Join(l.dir, fmt.Sprintf("%08d%s", number, suffix))
}

// files returns the numbers of the files, the oldest first.
func (l *Log) files() ([]int, error) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, merry.Errorf("list checkpoints: %w", err)
	}
	var numbers []int
	for _, entry := range entries { // sorted by name, and the names have equal length
		n := 0
		if _, err := fmt.Sscanf(entry.Name(), "%08d"+suffix, &n); err == nil && entry.Name() == filepath.Base(l.path(n)) {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// begin makes the next file the one that is written.
func (l *Log) begin() error {
	_ = l.Close() // what a file that failed holds is read up to its first torn record
	l.number++
	file, err := os.OpenFile(l.path(l.number), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return merry.Errorf("begin checkpoint file: %w", err)
	}
	l.file, l.size = file, 0
	return nil
}

func (l *Log) read(number int, each func([]byte)) error {
	file, err := os.Open(l.path(number))
	if err != nil {
		return merry.Errorf("open checkpoint: %w", err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return merry.Errorf("read checkpoint: %w", err)
	}
	r, left := bufio.NewReader(file), info.Size()
	for {
		record, err := readRecord(r, left)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, errTorn):
			l.torn++
			return nil
		case err != nil:
			return merry.Errorf("read checkpoint: %w", err)
		}
		left -= int64(headerSize + len(record))
		each(record)
	}
}

// readRecord reads the next record of a file of which so many bytes are left.
func readRecord(r io.Reader, left int64) ([]byte, error) {
	var header [headerSize]byte
	switch _, err := io.ReadFull(r, header[:]); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errTorn
	case err != nil:
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if int64(length) > left-headerSize {
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

// checksum covers the length too, so that zeroes are no record.
func checksum(length, record []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, record)
}
