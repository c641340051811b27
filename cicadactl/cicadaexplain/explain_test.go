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

// TestExplain reads, from each file of testdata, log files, an id, and the chain
// that must come out.
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
				case "chain":
					want = string(f.Data)
				default:
					name := filepath.Join(dir, f.Name)
					assert.NilError(t, os.WriteFile(name, f.Data, 0o600))
					logs = append(logs, name)
				}
			}
			chain, err := Read(id, logs...)
			if strings.TrimSpace(want) == "not found" {
				assert.Assert(t, errors.Is(err, ErrNotFound), "%v", err)
				return
			}
			assert.NilError(t, err)
			var out strings.Builder
			assert.NilError(t, chain.Write(&out))
			assert.Equal(t, out.String(), want)
		})
	}
}
