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

// open opens a folder and returns the records in it.
func open(t assert.TestingT, dir string) (*Log, []string) {
	var found []string
	l, err := Open(dir, func(record []byte) { found = append(found, string(record)) })
	assert.NilError(t, err)
	return l, found
}

func TestRecordsAreFoundAgain(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	l, found := open(t, dir)
	assert.Equal(t, len(found), 0)
	assert.NilError(t, l.Append([]byte("one")))
	assert.NilError(t, l.Append(nil))
	assert.NilError(t, l.Close())
	l, found = open(t, dir)
	assert.DeepEqual(t, found, []string{"one", ""})
	assert.NilError(t, l.Append([]byte("three")))
	assert.NilError(t, l.Close())
	l, found = open(t, dir)
	assert.DeepEqual(t, found, []string{"one", "", "three"})
	assert.NilError(t, l.Replace([]byte("all")))
	assert.NilError(t, l.Append([]byte("more")))
	assert.NilError(t, l.Close())
	l, found = open(t, dir)
	assert.DeepEqual(t, found, []string{"all", "more"})
	assert.NilError(t, l.Close())
}

func TestClosedLogRefuses(t *testing.T) {
	l, _ := open(t, t.TempDir())
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, l.Append([]byte("x")), os.ErrClosed)
}

func TestFolderThatCannotBeMade(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(file, nil, fileMode))
	_, err := Open(filepath.Join(file, "folder"), func([]byte) {})
	assert.ErrorContains(t, err, "make checkpoint folder")
}

// TestTornTail cuts the newest file anywhere, or changes a byte of it: the records
// before the damage are found, nothing else is, and the log goes on.
func TestTornTail(t *testing.T) {
	root := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		dir := filepath.Join(root, fmt.Sprint(run))
		l, _ := open(t, dir)
		var written []string
		for i := range rapid.IntRange(1, 6).Draw(t, "records") {
			record := bytes.Repeat([]byte{byte('a' + i)}, rapid.IntRange(0, 300).Draw(t, "size"))
			assert.NilError(t, l.Append(record))
			written = append(written, string(record))
		}
		path := l.path(l.number)
		assert.NilError(t, l.Close())
		content, err := os.ReadFile(path)
		assert.NilError(t, err)
		at := rapid.IntRange(0, len(content)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			content = content[:at]
		} else {
			content[at] ^= 0x41
		}
		assert.NilError(t, os.WriteFile(path, content, fileMode))
		l, found := open(t, dir)
		assert.Assert(t, len(found) < len(written) || at == len(content))
		for i := range found {
			assert.Equal(t, found[i], written[i])
		}
		assert.NilError(t, l.Append([]byte("after")))
		assert.NilError(t, l.Close())
		l, again := open(t, dir)
		assert.DeepEqual(t, again, append(found, "after"))
		assert.NilError(t, l.Close())
	})
}

// TestZeroedTail answers a file system that lengthened a file and lost what was
// written there.
func TestZeroedTail(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "00000001"+suffix), make([]byte, 4096), fileMode))
	l, found := open(t, dir)
	assert.Equal(t, len(found), 0)
	assert.Equal(t, l.Torn(), 1)
	assert.NilError(t, l.Close())
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte("\x03\x00\x00\x00\x00\x00\x00\x00abc"))
	f.Add([]byte("\xff\xff\xff\xff\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, content []byte) {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "00000001"+suffix), content, fileMode))
		size := 0
		l, err := Open(dir, func(record []byte) { size += headerSize + len(record) })
		assert.NilError(t, err)
		assert.Assert(t, size <= len(content))
		assert.NilError(t, l.Close())
	})
}
