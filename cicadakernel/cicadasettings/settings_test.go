package cicadasettings

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

type testSettings struct {
	Listen string   `yaml:"listen"`
	Idle   Duration `yaml:"idle"`
	Limit  Size     `yaml:"limit"`
	TLS    TLS      `yaml:"tls"`
}

func (s *testSettings) Validate() error {
	if s.Listen == "" {
		return Expected("listen", "an address")
	}
	return s.TLS.Validate()
}

// TestParse reads its cases from a data file: each has the settings and, in a
// file of the same name that ends in .error, what the error must say.
func TestParse(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/settings.txtar")
	assert.NilError(t, err)
	expected := make(map[string]string)
	for _, file := range archive.Files {
		if name, ok := strings.CutSuffix(file.Name, ".error"); ok {
			expected[name] = strings.TrimSpace(string(file.Data))
		}
	}
	for _, file := range archive.Files {
		if strings.HasSuffix(file.Name, ".error") {
			continue
		}
		t.Run(file.Name, func(t *testing.T) {
			var s testSettings
			err := Parse(file.Name, file.Data, &s)
			want, fails := expected[file.Name]
			if !fails {
				assert.NilError(t, err)
				return
			}
			for part := range strings.Lines(want) {
				assert.ErrorContains(t, err, strings.TrimSpace(part))
			}
		})
	}
}

func TestUnits(t *testing.T) {
	var s testSettings
	assert.NilError(t, Parse("x.yaml", []byte("listen: a\nidle: 1500ms\nlimit: 8MiB\n"), &s))
	assert.Equal(t, time.Duration(s.Idle), 1500*time.Millisecond)
	assert.Equal(t, int64(s.Limit), int64(8<<20))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("listen: a\nidle: 5s\n"))
	f.Add([]byte("listen: [a\n"))
	f.Add([]byte("limit: -1KiB\nidle: 5\n"))
	f.Add([]byte("a: &x {b: *x}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s testSettings
		if err := Parse("fuzz.yaml", data, &s); err == nil && s.Listen == "" {
			t.Fatal("settings without a required field were accepted")
		}
	})
}
