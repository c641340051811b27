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

// The test cases are in a txtar archive: each is a settings file and, if it is
// invalid, a file of the same name ending in .error with the texts that the error
// must contain, one a line.
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
			want, invalid := expected[file.Name]
			if !invalid {
				assert.NilError(t, err)
				return
			}
			for text := range strings.Lines(want) {
				assert.ErrorContains(t, err, strings.TrimSpace(text))
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
