package cicadakernel

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadasettings"
)

type testSettings struct {
	Common `yaml:",inline"`
	Role   string `yaml:"role"`
}

func (s *testSettings) Validate() error {
	if s.Role != "entry" {
		return cicadasettings.Expected("role", "entry")
	}
	return s.Common.Validate()
}

// runWith runs a program with arguments and returns what it printed and its exit
// status.
func runWith(t *testing.T, args ...string) (printed string, status int) {
	t.Helper()
	var text bytes.Buffer
	exiter, errors := cli.OsExiter, cli.ErrWriter
	cli.OsExiter, cli.ErrWriter = func(code int) { status = code }, &text
	defer func() { cli.OsExiter, cli.ErrWriter = exiter, errors }()
	cmd := Command("cicadatest", "test", &testSettings{}, func(context.Context, *Process) error { return nil })
	cmd.Writer, cmd.ErrWriter = &text, &text
	_ = cmd.Run(t.Context(), append([]string{"cicadatest"}, args...))
	return text.String(), status
}

func TestBadSettingsAreOneLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("log:\n  level: info\nrole: both\n"), 0o600))
	printed, status := runWith(t, "--config", file)
	assert.Equal(t, status, ExitUsage)
	assert.Equal(t, printed, "cicadatest: invalid settings: "+file+":3: key role: expected entry\n")
	printed, status = runWith(t, "--config", file, "--debug")
	assert.Equal(t, status, ExitUsage)
	assert.Assert(t, strings.Count(printed, "\n") > 3, "the call stack: %s", printed)
	printed, status = runWith(t, "--config", file+".none")
	assert.Equal(t, status, ExitUsage)
	assert.Equal(t, strings.Count(printed, "\n"), 1, "%s", printed)
	assert.NilError(t, os.WriteFile(file, []byte("role: entry\n"), 0o600))
	printed, status = runWith(t, "--config", file, "--check")
	assert.Equal(t, status, 0)
	assert.Equal(t, printed, file+": settings are valid\n")
}
