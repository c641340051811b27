package cicadareport

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	adapter "cicadalink.example/platform"
)

// TestReports compares the reports of testdata/journal with the expected ones in
// testdata/reports.txtar.
func TestReports(t *testing.T) {
	runs, err := Load("testdata/journal")
	assert.NilError(t, err)
	archive, err := txtar.ParseFile("testdata/reports.txtar")
	assert.NilError(t, err)
	writers := map[string]func(io.Writer, []adapter.BenchRun) error{"runs": WriteRuns, "days": WriteRepeatedDays, "broken": WriteFailedDays}
	assert.Equal(t, len(archive.Files), len(writers))
	for _, file := range archive.Files {
		var got bytes.Buffer
		assert.NilError(t, writers[file.Name](&got, runs))
		assert.Equal(t, got.String(), string(file.Data), file.Name)
	}
}

func TestFilter(t *testing.T) {
	runs, err := Load("testdata/journal")
	assert.NilError(t, err)
	assert.Equal(t, len(Filter(runs, "", "")), 4)
	assert.Equal(t, len(Filter(runs, "score", "")), 3)
	assert.Equal(t, len(Filter(runs, "score", "vdb-leest")), 2)
}

func TestPlotWritesOneFilePerSite(t *testing.T) {
	runs, err := Load("testdata/journal")
	assert.NilError(t, err)
	dir := filepath.Join(t.TempDir(), "plots")
	assert.NilError(t, Plot(dir, runs))
	text, err := os.ReadFile(filepath.Join(dir, "vdb-leest.svg"))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(text, []byte("trouble-1")))
}

// TestLoadErrorNamesFile checks the errors for an empty journal and for an entry that
// can't be decoded.
func TestLoadErrorNamesFile(t *testing.T) {
	dir := t.TempDir()
	_, err := Load(dir)
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "odd.json"), []byte(`{"id":"a","at":["noon"]}`), 0o600))
	_, err = Load(dir)
	assert.ErrorIs(t, err, adapter.ErrMalformed)
	assert.ErrorContains(t, err, "odd.json")
}
