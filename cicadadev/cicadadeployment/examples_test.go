package cicadadeployment

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaagent/cicadaendpoint"
	"cicadalink.example/cicadaentry/cicadanode"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadasettings"
)

// TestExamples loads every settings and resource file of the two deployments in
// the examples directory.
func TestExamples(t *testing.T) {
	wantProcesses := map[string]int{"ee-north": 4 + 24, "be-fl": 3 + 13}
	for region, want := range wantProcesses {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", region, "*.yaml"))
		assert.NilError(t, err)
		processes := 0
		for _, file := range files {
			switch name := filepath.Base(file); {
			case strings.HasPrefix(name, "entry-"):
				processes++
				assert.NilError(t, cicadasettings.Load(file, &cicadanode.Settings{}))
			case strings.HasPrefix(name, "agent-"):
				processes++
				assert.NilError(t, cicadasettings.Load(file, &cicadaendpoint.Settings{}))
			default:
				applyExample(t, file)
			}
		}
		assert.Equal(t, processes, want, region)
	}
}

func applyExample(t *testing.T, file string) {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	resources, err := cicadaconfig.ParseResources(file, data)
	assert.NilError(t, err)
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend()), rand.Uint64)
	_, err = store.Apply(t.Context(), cicadaconfig.Request{Operator: "test", Resources: resources})
	assert.NilError(t, err)
	snapshot, err := store.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, snapshot.CustomerCount(), 2)
}
