package cicadaexplain

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// TestExplain compares the timeline of an ID with the expected one. Each archive in
// testdata holds log files, the ID and the expected timeline.
func TestExplain(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 4)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			dir := t.TempDir()
			var logs []string
			id, want := "", ""
			for _, f := range txtar.Parse(data).Files {
				switch f.Name {
				case "id":
					id = strings.TrimSpace(string(f.Data))
				case "timeline":
					want = string(f.Data)
				default:
					name := filepath.Join(dir, f.Name)
					assert.NilError(t, os.WriteFile(name, f.Data, 0o600))
					logs = append(logs, name)
				}
			}
			timeline, err := Read(id, logs...)
			if strings.TrimSpace(want) == "not found" {
				assert.Assert(t, errors.Is(err, ErrNotFound), "%v", err)
				return
			}
			assert.NilError(t, err)
			var out strings.Builder
			assert.NilError(t, timeline.Write(&out))
			assert.Equal(t, out.String(), want)
		})
	}
}
