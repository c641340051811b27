package cicadacheckpoint

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// openLog opens a directory and returns the records in it.
func openLog(t assert.TestingT, dir string) (*Log, []string) {
	var found []string
	l, err := Open(dir, func(record []byte) { found = append(found, string(record)) })
	assert.NilError(t, err)
	return l, found
}

func TestReopenReturnsAllRecords(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	l, found := openLog(t, dir)
	assert.Equal(t, len(found), 0)
	assert.NilError(t, l.Append([]byte("one")))
	assert.NilError(t, l.Append(nil))
	assert.NilError(t, l.Close())
	l, found = openLog(t, dir)
	assert.DeepEqual(t, found, []string{"one", ""})
	assert.NilError(t, l.Append([]byte("three")))
	assert.NilError(t, l.Close())
	l, found = openLog(t, dir)
	assert.DeepEqual(t, found, []string{"one", "", "three"})
	assert.NilError(t, l.Replace([]byte("all")))
	assert.NilError(t, l.Append([]byte("more")))
	assert.NilError(t, l.Close())
	l, found = openLog(t, dir)
	assert.DeepEqual(t, found, []string{"all", "more"})
	assert.NilError(t, l.Close())
}

func TestAppendAfterClose(t *testing.T) {
	l, _ := openLog(t, t.TempDir())
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, l.Append([]byte("x")), os.ErrClosed)
}

func TestOpenCannotCreateDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(file, nil, fileMode))
	_, err := Open(filepath.Join(file, "folder"), func([]byte) {})
	assert.ErrorContains(t, err, "create checkpoint directory")
}

// TestDamagedTail truncates the newest file at a random position or changes one byte of
// it. Only the records before the damage must be found, and the log must stay usable.
func TestDamagedTail(t *testing.T) {
	root := t.TempDir()
	iteration := 0
	rapid.Check(t, func(t *rapid.T) {
		iteration++
		dir := filepath.Join(root, fmt.Sprint(iteration))
		l, _ := openLog(t, dir)
		var written []string
		for i := range rapid.IntRange(1, 6).Draw(t, "records") {
			record := bytes.Repeat([]byte{byte('a' + i)}, rapid.IntRange(0, 300).Draw(t, "size"))
			assert.NilError(t, l.Append(record))
			written = append(written, string(record))
		}
		path := l.filePath(l.fileNumber)
		assert.NilError(t, l.Close())
		content, err := os.ReadFile(path)
		assert.NilError(t, err)
		offset := rapid.IntRange(0, len(content)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			content = content[:offset]
		} else {
			content[offset] ^= 0x41
		}
		assert.NilError(t, os.WriteFile(path, content, fileMode))
		l, found := openLog(t, dir)
		assert.Assert(t, len(found) < len(written) || offset == len(content))
		for i := range found {
			assert.Equal(t, found[i], written[i])
		}
		assert.NilError(t, l.Append([]byte("after")))
		assert.NilError(t, l.Close())
		l, reopened := openLog(t, dir)
		assert.DeepEqual(t, reopened, append(found, "after"))
		assert.NilError(t, l.Close())
	})
}

// TestZeroedTail covers a file system that has extended a file but lost the data, so that
// the file ends in zero bytes.
func TestZeroedTail(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "00000001"+fileSuffix), make([]byte, 4096), fileMode))
	l, found := openLog(t, dir)
	assert.Equal(t, len(found), 0)
	assert.Equal(t, l.TornFiles(), 1)
	assert.NilError(t, l.Close())
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte("\x03\x00\x00\x00\x00\x00\x00\x00abc"))
	f.Add([]byte("\xff\xff\xff\xff\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, content []byte) {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "00000001"+fileSuffix), content, fileMode))
		size := 0
		l, err := Open(dir, func(record []byte) { size += headerSize + len(record) })
		assert.NilError(t, err)
		assert.Assert(t, size <= len(content))
		assert.NilError(t, l.Close())
	})
}
